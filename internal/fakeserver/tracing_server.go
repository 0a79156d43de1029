package fakeserver

import (
	"strings"
	"sync"
	"time"

	"garnetline/internal/trace"
	"garnetline/internal/trace/serverspans"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// Speaker is a stand-in box that takes the fields trace and kept: it holds its spans and
// keeps them in a folder of its own. Its clock is an hour ahead.
type TracingServer struct {
	Name     string
	Parent   *TracingServer // what it fills from; nil: it is a hub, and fills from the archive
	Verdicts int            // verdicts; to be read after Close

	mu     sync.Mutex
	buffer      *serverspans.Buffer
	writer      *store.Writer
	fills  map[string]trace.Link // by object; one stays under way to the end
	nextSpan   uint64
	erringRequests int
}

// NewSpeaker returns a speaker that keeps its spans in a folder; span ids begin at first.
func NewTracingServer(name, folder string, parent *TracingServer, firstSpan uint64) (*TracingServer, error) {
	writer, err := store.Open(folder, 1<<20, 1<<30)
	return &TracingServer{Name: name, Parent: parent, buffer: serverspans.New(60_000, 1<<20), writer: writer, fills: map[string]trace.Link{}, nextSpan: firstSpan}, err
}

// Close lets the limit of all that is held pass, and returns how many pieces that kept.
func (s *TracingServer) Close() (own int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(s.buffer.Tick(s.now() + 1e6))
	return int(s.buffer.Counts.RetainedFailed), s.writer.Close(s.now())
}

// ask has a hub fill for a span of a box, which hands on the verdicts that it was told.
func (s *TracingServer) fill(p trace.SpanContext, class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextSpan++
	start := s.now()
	work := trace.Span{ID: p.Trace.Span(s.nextSpan), Parent: p.Span, Kind: trace.ServerWork, Start: start, Result: uint8(routing.FilledByOrigin)}
	fetch := trace.Span{ID: p.Trace.Span(s.nextSpan | 1<<40), Parent: work.ID, Kind: trace.Fill, Start: s.now(), End: s.now(), Result: uint8(routing.FilledByOrigin)}
	work.End = s.now()
	s.write(s.buffer.Add(work.End, &trace.Trace{ID: p.Trace, Router: s.Name, Class: class, Start: start, End: work.End, Weight: 1, Outcome: trace.Served,
		Spans: []trace.Span{work, fetch}}, false))
}

func (s *TracingServer) handleVerdict(id trace.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Verdicts++
	s.write(s.buffer.Retain(id))
}

// Ahead is by how much, in ms, a speaker's clock is off.
const ClockSkew = 3_600_000.0

func (s *TracingServer) now() float64 { return float64(time.Now().UnixMicro())/1000 + ClockSkew }

func (s *TracingServer) write(kept []*trace.Trace) {
	for _, t := range kept {
		s.writer.Add(t)
	}
}

// Serve answers one request, as a Reply: a hit, an error, or a fill, which others may ride while it
// is under way. It has the lock except while a fill is.
func (s *TracingServer) Serve(id, fields string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string]string{}
	for item := range strings.SplitSeq(fields, ",") {
		k, v, _ := strings.Cut(item, "=")
		values[k] = v
	}
	start := s.now()
	s.write(s.buffer.Tick(start))
	if v := values["kept"]; v != "" {
		for item := range strings.SplitSeq(v, "+") {
			if id, ok := trace.ParseID(item); ok {
				s.Verdicts++
				kept := s.buffer.Retain(id)
				for _, record := range kept { // a fill that a rider keeps is of another trace
					s.Parent.handleVerdict(record.ID)
				}
				s.write(kept)
			}
		}
	}
	parent, traced := trace.ParseTraceparent(values["trace"])
	s.nextSpan++
	work := trace.Span{ID: parent.Trace.Span(s.nextSpan), Parent: parent.Span, Kind: trace.ServerWork, Start: start, Result: uint8(routing.Hit)}
	record := &trace.Trace{ID: parent.Trace, Router: s.Name, TransactionID: id, Class: values["sort"], Start: start, Weight: 1, Outcome: trace.Served}
	failed := false
	switch asset := values["asset"]; {
	case strings.HasSuffix(asset, "e"): // an error now and then
		if s.erringRequests++; s.erringRequests%2 == 1 {
			failed, record.Outcome, work.Result = true, trace.Failed, uint8(routing.OriginFailed)
		}
	case strings.HasSuffix(asset, "f"):
		if l, ok := s.fills[asset]; ok {
			work.Result = uint8(routing.JoinedFill)
			record.Links = append(record.Links, trace.Link{From: work.ID, Trace: l.Trace, To: l.To})
			break
		}
		work.Result = uint8(routing.Filled)
		fill := trace.Span{ID: parent.Trace.Span(s.nextSpan | 1<<40), Parent: work.ID, Kind: trace.Fill, Start: s.now(), Result: uint8(routing.FilledByOrigin)}
		s.fills[asset] = trace.Link{Trace: parent.Trace, To: fill.ID}
		if traced {
			s.Parent.fill(trace.SpanContext{Trace: parent.Trace, Span: fill.ID}, values["sort"])
		}
		fill.End = s.now()
		record.Spans = append(record.Spans, fill)
	}
	work.End = s.now()
	record.End = work.End
	record.Spans = append([]trace.Span{work}, record.Spans...)
	if traced {
		s.write(s.buffer.Add(record.End, record, failed))
	}
	if failed {
		return Answer(id, "BROKE", "-", "")
	}
	return Answer(id, "DONE", "tag=t1,minted=1", "bytes")
}
