package recorder

import (
	"garnetline/internal/trace"
	"garnetline/internal/trace/propagation"
	"garnetline/routing"
)

// Request describes a client's request for Recorder.Open.
type Request struct {
	TransactionID  string // chosen by the client
	IdempotencyKey string // used only for classes with idempotency keys; never stored
	Object         routing.ObjectID
	Chunk          int
	PurgeGroup     int
	ReceivedAt     float64 // Unix ms, when the last byte of the request was received; zero means the time of Open
	TraceParent    string  // the traceparent header as received, not validated
	ClientAddress  string  // without the port; empty if unknown
}

// propagationRequest returns the properties of the request that determine its trace.
func (q *Request) propagationRequest(class *routing.Class) propagation.Request {
	request := propagation.Request{
		TraceParent:   q.TraceParent,
		ClientAddress: q.ClientAddress,
		Class:         class.Name,
		Object:        uint64(q.Object),
		Chunk:         q.Chunk,
	}
	if class.Idempotency == routing.IdempotentWithKey {
		request.IdempotencyKey = q.IdempotencyKey
	}
	return request
}

// RequestTrace is the trace of one request in flight. Its methods must be called on the
// dispatcher's goroutine. They never block.
type RequestTrace struct {
	*trace.ActiveTrace
	correlator     *propagation.Correlator
	correlation    propagation.Correlation
	spansReserved  bool    // whether memory is reserved for the spans; if not, attempts are only counted
	transferFactor float64 // routing.Class.ObjectiveTransferFactor
	responseBytes  int     // bytes received in the last attempt
}

// AttemptStarted records that an attempt started at the time now, in Unix ms. It returns the
// span context to send with the attempt. The span context is empty if the request is not traced.
func (t *RequestTrace) AttemptStarted(now float64, decision routing.SendAttempt) trace.SpanContext {
	if t.spansReserved {
		return t.ActiveTrace.AttemptStarted(now, decision)
	}
	t.UntracedAttemptStarted()
	return trace.SpanContext{}
}

// AttemptEnded records that the attempt in flight ended at the time now, in Unix ms. The
// argument bytes is the number of bytes received from the server.
func (t *RequestTrace) AttemptEnded(now float64, result routing.Result, bytes int, load routing.LoadReport, timing trace.WireTimes) {
	t.responseBytes = bytes
	if t.spansReserved {
		t.ActiveTrace.AttemptEnded(now, result, bytes, load, timing)
		return
	}
	t.UntracedAttemptEnded()
}

// Responded records that the router responded, or that the client disconnected, at the time now,
// in Unix ms. It also reports the end of the request to the correlator, because the client may
// retry after this time, even while an attempt is still in flight.
func (t *RequestTrace) Responded(now float64, outcome trace.Outcome) {
	t.ActiveTrace.Responded(now, outcome)
	t.correlator.RequestEnded(now, t.correlation, isServed(outcome))
}

// isServed returns true if the client received the object, and also if the client was told that
// its copy is still valid.
func isServed(outcome trace.Outcome) bool {
	return outcome == trace.Served || outcome == trace.NotModified
}
