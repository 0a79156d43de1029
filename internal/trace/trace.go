// Package trace is the data model of request traces: spans, the partial trace that one
// router records, its stored form, and merging. It does no I/O and has no clock: times are
// Unix milliseconds that callers pass in.
//
// A trace covers all tries of one request of a client, which may reach several routers. Each
// router records a partial trace, a Trace, with the spans of the try that it handled; Merge
// combines them. The ID of the root span follows from the ID of the trace, so that routers
// agree on it without sharing state.
package trace

import (
	"slices"

	"garnetline/routing"
)

// Outcome is how a request ended at a router. Its numbers are stored.
type Outcome uint8

// The outcomes of a request.
const (
	Failed Outcome = iota
	Rejected
	Served
	NotModified        // the client's own copy is still valid
	ClientDisconnected // before it was answered
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	Failed:             "failed",
	Rejected:           "refused",
	Served:             "served",
	NotModified:        "same",
	ClientDisconnected: "left",
}

// String returns the name of the outcome, as commands and exports show it.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// ParseOutcome parses the form that String returns.
func ParseOutcome(name string) (Outcome, bool) {
	i := slices.Index(outcomeNames[:], name)
	return Outcome(max(i, 0)), i >= 0
}

// Reason is a set of bits that say why a trace is retained. They are stored.
type Reason uint8

// The reasons.
const (
	ReasonFailed        Reason = 1 << iota // it failed, or its client disconnected
	ReasonRejected                         // it was rejected
	ReasonRetried                          // it took several attempts, or is a client's retry
	ReasonSlow                             // it was slower than its class's latency objective
	ReasonSampled                          // it is ordinary, and was sampled within the budget
	ReasonIdempotent                       // its class has idempotency keys: all are retained
	ReasonClientSampled                    // its client samples it, as its traceparent says
)

// Trace is what one router, or one server that takes part in tracing, recorded of one try
// of a request: a partial trace.
type Trace struct {
	ID            ID
	ClientSpan    SpanID // the client's own span; zero if it sent none
	Router        string // name of the router or server
	TransactionID string // the ID that the client gave this try
	Class         string
	Object        uint64 // keyed hash
	Chunk         uint32
	PurgeGroup    uint16
	Retry         uint8 // number of earlier tries that the router knows of
	Outcome       Outcome
	Start         float64 // Unix ms, when the request had been received completely
	End           float64 // Unix ms, when it was answered
	Reasons       Reason
	Weight        float64 // how many traces of its class and kind it represents
	LostBefore    uint32  // traces lost since the previous retained one
	Attempts      uint8
	Spans         []Span
	Links         []Link
	SizeAllowance float64 // ms by which the latency objective grows with the response's size; not stored
	ClientSampled bool    // the client samples the trace; not stored
}

// Duration returns how long the request took at this router, in ms.
func (t *Trace) Duration() float64 { return t.End - t.Start }

// FromServer reports whether a server recorded the partial trace, by a clock of its own.
func (t *Trace) FromServer() bool { return len(t.Spans) > 0 && t.Spans[0].Kind >= ServerWork }

const (
	traceMemory = 220 // bytes that a Trace takes without its strings and spans
	spanMemory  = 80  // bytes that a Span takes
)

// Size returns about how many bytes of memory the trace takes.
func (t *Trace) Size() int {
	return traceMemory + len(t.Router) + len(t.Class) + len(t.TransactionID) + cap(t.Spans)*spanMemory
}

// Involves reports whether a server was the target or the fill source of an attempt.
func (t *Trace) Involves(server routing.ServerID) bool {
	return slices.ContainsFunc(t.Spans, func(span Span) bool {
		return span.Kind == Attempt && (span.Server == server || span.FillSource == server)
	})
}
