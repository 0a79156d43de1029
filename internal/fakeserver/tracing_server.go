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
	h      *serverspans.Buffer
	w      *store.Writer
	fills  map[string]trace.Link // by object; one stays under way to the end
	next   uint64
	errors int
}

// NewSpeaker returns a speaker that keeps its spans in a folder; span ids begin at first.
func NewTracingServer(name, folder string, hub *TracingServer, first uint64) (*TracingServer, error) {
	w, err := store.Open(folder, 1<<20, 1<<30)
	return &TracingServer{Name: name, Parent: hub, h: serverspans.New(60_000, 1<<20), w: w, fills: map[string]trace.Link{}, next: first}, err
}

// Close lets the limit of all that is held pass, and returns how many pieces that kept.
func (s *TracingServer) Close() (own int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep(s.h.Tick(s.now() + 1e6))
	return int(s.h.Counts.RetainedFailed), s.w.Close(s.now())
}

// ask has a hub fill for a span of a box, which hands on the verdicts that it was told.
func (s *TracingServer) ask(p trace.SpanContext, class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	start := s.now()
	work := trace.Span{ID: p.Trace.Span(s.next), Parent: p.Span, Kind: trace.ServerWork, Start: start, Result: uint8(routing.FilledByOrigin)}
	fetch := trace.Span{ID: p.Trace.Span(s.next | 1<<40), Parent: work.ID, Kind: trace.Fill, Start: s.now(), End: s.now(), Result: uint8(routing.FilledByOrigin)}
	work.End = s.now()
	s.keep(s.h.Add(work.End, &trace.Trace{ID: p.Trace, Router: s.Name, Class: class, Start: start, End: work.End, Weight: 1, Outcome: trace.Served,
		Spans: []trace.Span{work, fetch}}, false))
}

func (s *TracingServer) hear(id trace.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Verdicts++
	s.keep(s.h.Retain(id))
}

// Ahead is by how much, in ms, a speaker's clock is off.
const ClockSkew = 3_600_000.0

func (s *TracingServer) now() float64 { return float64(time.Now().UnixMicro())/1000 + ClockSkew }

func (s *TracingServer) keep(kept []*trace.Trace) {
	for _, t := range kept {
		s.w.Add(t)
	}
}

// Serve answers one request, as a Reply: a hit, an error, or a fill, which others may ride while it
// is under way. It has the lock except while a fill is.
func (s *TracingServer) Serve(id, fields string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := map[string]string{}
	for x := range strings.SplitSeq(fields, ",") {
		k, v, _ := strings.Cut(x, "=")
		f[k] = v
	}
	start := s.now()
	s.keep(s.h.Tick(start))
	if v := f["kept"]; v != "" {
		for x := range strings.SplitSeq(v, "+") {
			if id, ok := trace.ParseID(x); ok {
				s.Verdicts++
				kept := s.h.Retain(id)
				for _, t := range kept { // a fill that a rider keeps is of another trace
					s.Parent.hear(t.ID)
				}
				s.keep(kept)
			}
		}
	}
	p, traced := trace.ParseTraceparent(f["trace"])
	s.next++
	work := trace.Span{ID: p.Trace.Span(s.next), Parent: p.Span, Kind: trace.ServerWork, Start: start, Result: uint8(routing.Hit)}
	t := &trace.Trace{ID: p.Trace, Router: s.Name, TransactionID: id, Class: f["sort"], Start: start, Weight: 1, Outcome: trace.Served}
	failed := false
	switch asset := f["asset"]; {
	case strings.HasSuffix(asset, "e"): // an error now and then
		if s.errors++; s.errors%2 == 1 {
			failed, t.Outcome, work.Result = true, trace.Failed, uint8(routing.OriginFailed)
		}
	case strings.HasSuffix(asset, "f"):
		if l, ok := s.fills[asset]; ok {
			work.Result = uint8(routing.JoinedFill)
			t.Links = append(t.Links, trace.Link{From: work.ID, Trace: l.Trace, To: l.To})
			break
		}
		work.Result = uint8(routing.Filled)
		fill := trace.Span{ID: p.Trace.Span(s.next | 1<<40), Parent: work.ID, Kind: trace.Fill, Start: s.now(), Result: uint8(routing.FilledByOrigin)}
		s.fills[asset] = trace.Link{Trace: p.Trace, To: fill.ID}
		if traced {
			s.Parent.ask(trace.SpanContext{Trace: p.Trace, Span: fill.ID}, f["sort"])
		}
		fill.End = s.now()
		t.Spans = append(t.Spans, fill)
	}
	work.End = s.now()
	t.End = work.End
	t.Spans = append([]trace.Span{work}, t.Spans...)
	if traced {
		s.keep(s.h.Add(t.End, t, failed))
	}
	if failed {
		return Answer(id, "BROKE", "-", "")
	}
	return Answer(id, "DONE", "tag=t1,minted=1", "bytes")
}
