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

// ClockSkew is the time, in ms, by which the clock of a TracingServer is ahead of the machine's
// clock.
const ClockSkew = 3_600_000.0

// Limits for the spans of a TracingServer. A verdict is a router's request to retain a trace.
const (
	verdictTimeout   = 60_000.0 // ms that spans wait for a verdict
	bufferSize       = 1 << 20  // bytes of spans without a verdict
	maxSegmentSize   = 1 << 20  // bytes
	maxStoreSize     = 1 << 30  // bytes
	closeTimeAdvance = 1e6      // ms; longer than verdictTimeout, so that all waiting spans time out
)

// fillSpanBit is set in the number of a fill span. The other bits are those of its work span's
// number.
const fillSpanBit = 1 << 40

// Names of the request fields that a TracingServer reads.
const (
	fieldTrace    = "trace"
	fieldVerdicts = "kept"
	fieldAsset    = "asset"
	fieldClass    = "sort"
)

// Suffixes of asset names. A request for an asset whose name has neither suffix is a hit.
const (
	suffixFailing = "e" // every other request for assets with this suffix fails
	suffixFilled  = "f" // the first request fills the asset, later requests join that fill
)

// TracingServer is a fake cache that records traces. It reads the request fields trace and kept, and
// buffers its spans until the router sends a verdict, that is, a request to retain a trace. It
// stores the spans of retained traces in its own directory. Its clock is ahead by ClockSkew.
type TracingServer struct {
	Name     string
	Parent   *TracingServer // fill source; nil: the server is a parent itself and fills from the origin
	Verdicts int            // number of verdicts received; read it after Close

	mu                   sync.Mutex
	buffer               *serverspans.Buffer
	writer               *store.Writer
	writeErr             error
	fills                map[string]trace.Link // by asset; a fill stays in progress until the server is closed
	nextSpan             uint64
	failingAssetRequests int
}

// NewTracingServer returns a server that stores its spans in the directory folder. It numbers its
// spans from firstSpan+1 on.
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

// Close times out all spans that wait for a verdict, that is, for a router's request to retain
// their trace, and closes the store. The result retainedFailed is the number of traces that the
// server retained without a verdict because its own part of the request failed. The error joins
// the errors of all writes to the store, including earlier ones.
func (s *TracingServer) Close() (retainedFailed int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(s.buffer.Tick(s.now() + closeTimeAdvance))
	return int(s.buffer.Counts.RetainedFailed), errors.Join(s.writeErr, s.writer.Close(s.now()))
}

// now returns the time by the server's clock, in Unix ms.
func (s *TracingServer) now() float64 { return float64(time.Now().UnixMicro())/1000 + ClockSkew }

// store writes retained traces to the store. The caller holds s.mu.
func (s *TracingServer) store(retained []*trace.Trace) {
	for _, record := range retained {
		if err := s.writer.Add(record); err != nil {
			s.writeErr = errors.Join(s.writeErr, err)
		}
	}
}

// newWorkSpan returns a span, with a new number, for the work on a request. The caller holds s.mu.
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

// newFillSpan returns a new span for the fill that belongs to the newest work span. The caller
// holds s.mu.
func (s *TracingServer) newFillSpan(work trace.Span, traceID trace.ID) trace.Span {
	return trace.Span{
		ID:     traceID.Span(s.nextSpan | fillSpanBit),
		Parent: work.ID,
		Kind:   trace.Fill,
		Start:  s.now(),
		Result: uint8(routing.FilledByOrigin),
	}
}

// handleFill records that this server filled an object from the origin because a child server
// requested the object. A child server is a TracingServer whose Parent is this server.
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

// handleVerdict retains a trace after a child server has received a verdict on it. A verdict is a
// router's request to retain a trace.
func (s *TracingServer) handleVerdict(id trace.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Verdicts++
	s.store(s.buffer.Retain(id))
}

// Serve is the Reply of the server. It answers a request with a hit, with an error, or with an
// object from a fill. Later requests for the same asset join the fill. The server handles one
// request at a time.
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

// tracedRequest is a request that a TracingServer serves, with the trace that the server records
// for it.
type tracedRequest struct {
	asset  string
	parent trace.SpanContext // the router's span; zero unless traced
	traced bool
	record *trace.Trace // its spans include work only after recordRequest
	work   trace.Span
}

func (r *tracedRequest) failed() bool { return r.record.Outcome == trace.Failed }

// newRequest returns a request whose recorded result is a hit. The method serveAsset replaces the
// result of a request that fails or needs a fill. The caller holds s.mu.
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

// parseFields returns the values of request fields by their keys.
func parseFields(fields string) map[string]string {
	values := map[string]string{}
	for field := range strings.SplitSeq(fields, ",") {
		key, value, _ := strings.Cut(field, "=")
		values[key] = value
	}
	return values
}

// handleVerdicts retains the traces whose IDs a router sent as verdicts, both in this server and in
// its parent. If a retained request has joined a fill, the trace of the fill is retained too. The ID
// of that trace may differ from the ID in the verdict, so handleVerdicts passes the ID of each
// retained trace to the parent. The caller holds s.mu.
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

// serveAsset serves a request according to the suffix of the asset's name. The caller holds s.mu.
func (s *TracingServer) serveAsset(request *tracedRequest) {
	switch {
	case strings.HasSuffix(request.asset, suffixFailing):
		s.failingAssetRequests++
		if s.failingAssetRequests%2 == 1 {
			request.record.Outcome = trace.Failed
			request.work.Result = uint8(routing.OriginFailed)
		}
	case strings.HasSuffix(request.asset, suffixFilled):
		s.serveFilledAsset(request)
	}
}

// serveFilledAsset joins the asset's fill, or starts one. The caller holds s.mu.
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

// recordRequest ends the work on a request and buffers its trace until a verdict arrives, that is,
// a router's request to retain the trace. The caller holds s.mu.
func (s *TracingServer) recordRequest(request *tracedRequest) {
	request.work.End = s.now()
	record := request.record
	record.End = request.work.End
	record.Spans = append([]trace.Span{request.work}, record.Spans...)
	s.store(s.buffer.Add(record.End, record, request.failed()))
}
