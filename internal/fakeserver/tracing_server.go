package fakeserver

import (
	"errors"
	"strings"
	"sync"
	"time"

	"garnetline/internal/trace"
	"garnetline/internal/trace/serverspans"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// ClockSkew is by how much the clock of a TracingServer is ahead, ms.
const ClockSkew = 3_600_000.0

// Limits of a TracingServer's spans.
const (
	verdictTimeout  = 60_000.0 // ms that spans wait for a verdict
	bufferSize      = 1 << 20  // bytes of spans without a verdict
	maxSegmentSize  = 1 << 20  // bytes
	maxStoreSize    = 1 << 30  // bytes
	afterAllTimeout = 1e6      // ms: later than the timeout of every span
)

// fillSpanBit tells the numbers of fill spans from those of the work that they belong to.
const fillSpanBit = 1 << 40

// Fields of a request that a TracingServer reads.
const (
	fieldTrace    = "trace"
	fieldVerdicts = "kept"
	fieldAsset    = "asset"
	fieldClass    = "sort"
)

// Endings of the names of assets that are not plain hits.
const (
	suffixErring = "e" // every other request fails
	suffixFilled = "f" // the first request fills it, later ones join that fill
)

// TracingServer is a fake cache that reads the fields trace and kept of requests: it holds its
// spans until the router's verdict comes, and stores those to retain in a folder of its own. Its
// clock is ahead by ClockSkew.
type TracingServer struct {
	Name     string
	Parent   *TracingServer // what it fills from; nil: it is a parent, and fills from the origin
	Verdicts int            // that it received; to be read after Close

	mu             sync.Mutex
	buffer         *serverspans.Buffer
	writer         *store.Writer
	writeErr       error
	fills          map[string]trace.Link // by asset; a fill stays under way to the end
	nextSpan       uint64
	erringRequests int
}

// NewTracingServer returns a server that stores its spans in a folder. The numbers of its spans
// follow firstSpan.
func NewTracingServer(name, folder string, parent *TracingServer, firstSpan uint64) (*TracingServer, error) {
	writer, err := store.Open(folder, maxSegmentSize, maxStoreSize)
	server := &TracingServer{
		Name:     name,
		Parent:   parent,
		buffer:   serverspans.New(verdictTimeout, bufferSize),
		writer:   writer,
		fills:    map[string]trace.Link{},
		nextSpan: firstSpan,
	}
	return server, err
}

// Close lets all spans that wait for a verdict time out, and closes the store. It returns how
// many traces the server has retained without a verdict, since its own part failed. An error is
// of this or of an earlier write to the store.
func (s *TracingServer) Close() (retainedFailed int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(s.buffer.Tick(s.now() + afterAllTimeout))
	return int(s.buffer.Counts.RetainedFailed), errors.Join(s.writeErr, s.writer.Close(s.now()))
}

// now is the server's time, Unix ms.
func (s *TracingServer) now() float64 { return float64(time.Now().UnixMicro())/1000 + ClockSkew }

// store writes traces that are to be retained; s.mu is held.
func (s *TracingServer) store(retained []*trace.Trace) {
	for _, record := range retained {
		if err := s.writer.Add(record); err != nil {
			s.writeErr = errors.Join(s.writeErr, err)
		}
	}
}

// newWorkSpan returns the span of the work on a request, under a new number; s.mu is held.
func (s *TracingServer) newWorkSpan(parent trace.SpanContext, start float64, status routing.CacheStatus) trace.Span {
	s.nextSpan++
	return trace.Span{
		ID:     parent.Trace.Span(s.nextSpan),
		Parent: parent.Span,
		Kind:   trace.ServerWork,
		Start:  start,
		Result: uint8(status),
	}
}

// newFillSpan returns the span of a fill for the newest work span; s.mu is held.
func (s *TracingServer) newFillSpan(work trace.Span, traceID trace.ID) trace.Span {
	return trace.Span{
		ID:     traceID.Span(s.nextSpan | fillSpanBit),
		Parent: work.ID,
		Kind:   trace.Fill,
		Start:  s.now(),
		Result: uint8(routing.FilledByOrigin),
	}
}

// handleFill answers a fill request of a server below, from the origin.
func (s *TracingServer) handleFill(parent trace.SpanContext, class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := s.newWorkSpan(parent, s.now(), routing.FilledByOrigin)
	fetch := s.newFillSpan(work, parent.Trace)
	fetch.End = s.now()
	work.End = s.now()
	s.store(s.buffer.Add(work.End, &trace.Trace{
		ID:      parent.Trace,
		Router:  s.Name,
		Class:   class,
		Start:   work.Start,
		End:     work.End,
		Weight:  1,
		Outcome: trace.Served,
		Spans:   []trace.Span{work, fetch},
	}, false))
}

// handleVerdict retains a trace on the word of a server below.
func (s *TracingServer) handleVerdict(id trace.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Verdicts++
	s.store(s.buffer.Retain(id))
}

// Serve answers one request, as a Reply: with a hit, with an error, or by a fill, which later
// requests for the same asset join. Requests are served one at a time.
func (s *TracingServer) Serve(id, fields string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := parseFields(fields)
	start := s.now()
	s.store(s.buffer.Tick(start))
	s.handleVerdicts(values[fieldVerdicts])
	request := s.newRequest(id, values, start)
	s.serveAsset(request)
	if request.traced {
		s.recordRequest(request)
	}
	if request.failed() {
		return Answer(id, "BROKE", "-", "")
	}
	return Answer(id, "DONE", "tag=t1,minted=1", "bytes")
}

// tracedRequest is a request that a TracingServer serves, with what it records of it.
type tracedRequest struct {
	asset  string
	parent trace.SpanContext // of the router; zero unless traced
	traced bool
	record *trace.Trace // without the work span until the end
	work   trace.Span
}

func (r *tracedRequest) failed() bool { return r.record.Outcome == trace.Failed }

// newRequest returns a request that is a hit unless serveAsset says otherwise; s.mu is held.
func (s *TracingServer) newRequest(id string, values map[string]string, start float64) *tracedRequest {
	parent, traced := trace.ParseTraceparent(values[fieldTrace])
	return &tracedRequest{
		asset:  values[fieldAsset],
		parent: parent,
		traced: traced,
		work:   s.newWorkSpan(parent, start, routing.Hit),
		record: &trace.Trace{
			ID:            parent.Trace,
			Router:        s.Name,
			TransactionID: id,
			Class:         values[fieldClass],
			Start:         start,
			Weight:        1,
			Outcome:       trace.Served,
		},
	}
}

// parseFields returns the values of a request's fields by their keys.
func parseFields(fields string) map[string]string {
	values := map[string]string{}
	for field := range strings.SplitSeq(fields, ",") {
		key, value, _ := strings.Cut(field, "=")
		values[key] = value
	}
	return values
}

// handleVerdicts retains the traces that a router names; s.mu is held. A fill that a joined
// request retains is of another trace, of which the parent has to be notified.
func (s *TracingServer) handleVerdicts(verdicts string) {
	for text := range strings.SplitSeq(verdicts, "+") {
		id, ok := trace.ParseID(text)
		if !ok {
			continue
		}
		s.Verdicts++
		retained := s.buffer.Retain(id)
		for _, record := range retained {
			s.Parent.handleVerdict(record.ID)
		}
		s.store(retained)
	}
}

// serveAsset does what the ending of the asset's name says; s.mu is held.
func (s *TracingServer) serveAsset(request *tracedRequest) {
	switch {
	case strings.HasSuffix(request.asset, suffixErring):
		s.erringRequests++
		if s.erringRequests%2 == 1 {
			request.record.Outcome = trace.Failed
			request.work.Result = uint8(routing.OriginFailed)
		}
	case strings.HasSuffix(request.asset, suffixFilled):
		s.serveFilledAsset(request)
	}
}

// serveFilledAsset joins the asset's fill, or starts it; s.mu is held.
func (s *TracingServer) serveFilledAsset(request *tracedRequest) {
	if fill, ok := s.fills[request.asset]; ok {
		request.work.Result = uint8(routing.JoinedFill)
		request.record.Links = append(request.record.Links, trace.Link{From: request.work.ID, Trace: fill.Trace, To: fill.To})
		return
	}
	request.work.Result = uint8(routing.Filled)
	fill := s.newFillSpan(request.work, request.parent.Trace)
	s.fills[request.asset] = trace.Link{Trace: request.parent.Trace, To: fill.ID}
	if request.traced {
		s.Parent.handleFill(trace.SpanContext{Trace: request.parent.Trace, Span: fill.ID}, request.record.Class)
	}
	fill.End = s.now()
	request.record.Spans = append(request.record.Spans, fill)
}

// recordRequest ends the work on a request and holds its trace for a verdict; s.mu is held.
func (s *TracingServer) recordRequest(request *tracedRequest) {
	request.work.End = s.now()
	record := request.record
	record.End = request.work.End
	record.Spans = append([]trace.Span{request.work}, record.Spans...)
	s.store(s.buffer.Add(record.End, record, request.failed()))
}
