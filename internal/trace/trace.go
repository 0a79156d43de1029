// Package trace is the data model of request traces. It defines spans and the partial traces
// that routers record. It encodes partial traces for storage and merges them. It does no I/O and
// reads no clock: callers pass times in Unix milliseconds.
//
// A trace covers a client's request and all retries of the request by the client. The request
// and its retries may reach different routers. For each request or retry, the router that
// handles it records a partial trace, a value of type Trace. Merge combines the partial traces.
// The ID of the root span is derived from the ID of the trace, so that routers agree on the root
// span without sharing state.
package trace

import (
	"slices"

	"garnetline/routing"
)

// Outcome tells how a request ended at a router. Its numeric values are stored in records, so
// they must not change.
type Outcome uint8

// The outcomes of a request.
const (
	Failed Outcome = iota
	Rejected
	Served
	NotModified        // the copy that the client already has is still valid
	ClientDisconnected // the client disconnected before the response
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	Failed:             "failed",
	Rejected:           "refused",
	Served:             "served",
	NotModified:        "same",
	ClientDisconnected: "left",
}

// String returns the name of the outcome, as shown by commands and in exported traces.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// ParseOutcome parses a name that Outcome.String returns. It reports false if no outcome has the
// given name.
func ParseOutcome(name string) (Outcome, bool) {
	i := slices.Index(outcomeNames[:], name)
	return Outcome(max(i, 0)), i >= 0
}

// Reason is a set of bits, one for each reason why a trace is retained. The bits are stored in
// records, so they must not change.
type Reason uint8

// The reasons for which a trace is retained.
const (
	ReasonFailed        Reason = 1 << iota // the request failed, or its client disconnected
	ReasonRejected                         // the request was rejected
	ReasonRetried                          // the request took several attempts, or is a retry by the client
	ReasonSlow                             // the request was slower than the latency objective of its class
	ReasonSampled                          // there is no other reason, but the trace was sampled
	ReasonIdempotent                       // the class has idempotency keys, so all its traces are retained
	ReasonClientSampled                    // the sampled flag is set in the client's traceparent header
)

// Trace is a partial trace. It contains the data that one router, or one server with tracing
// support, recorded for one request of a client. Each retry by the client has its own Trace with
// the same ID.
type Trace struct {
	ID            ID
	ClientSpan    SpanID // the client's span from its traceparent header; zero if there is none
	Router        string // name of the router or server
	TransactionID string // ID that the client chose for this request or retry
	Class         string
	Object        uint64 // keyed hash of the object's ID
	Chunk         uint32
	PurgeGroup    uint16
	Retry         uint8 // number of earlier requests of the trace that are known to the router
	Outcome       Outcome
	Start         float64 // Unix ms, when the request had been received completely
	End           float64 // Unix ms, when the response was sent or the client disconnected
	Reasons       Reason
	Weight        float64 // number of traces of the class that this trace represents; 1 unless this trace was sampled
	LostBefore    uint32  // number of traces lost since the previous retained trace
	Attempts      uint8
	Spans         []Span
	Links         []Link
	SizeAllowance float64 // ms added to the latency objective for the size of the response; not stored
	ClientSampled bool    // the client samples the trace, and the settings retain traces that clients sample; not stored
}

// Duration returns how long the request took at this router, in ms.
func (t *Trace) Duration() float64 { return t.End - t.Start }

// FromServer reports whether a server recorded the partial trace. In that case the times in the
// trace come from the server's clock.
func (t *Trace) FromServer() bool { return len(t.Spans) > 0 && t.Spans[0].Kind >= ServerWork }

const (
	traceMemory = 220 // bytes of memory of a Trace without its strings and spans
	spanMemory  = 80  // bytes of memory of a Span
)

// Size returns an estimate of the memory that the trace occupies, in bytes.
func (t *Trace) Size() int {
	return traceMemory + len(t.Router) + len(t.Class) + len(t.TransactionID) + cap(t.Spans)*spanMemory
}

// Involves reports whether the given server is the target or the fill source of at least one
// attempt.
func (t *Trace) Involves(server routing.ServerID) bool {
	return slices.ContainsFunc(t.Spans, func(span Span) bool {
		return span.Kind == Attempt && (span.Server == server || span.FillSource == server)
	})
}
