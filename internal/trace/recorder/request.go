package recorder

import (
	"garnetline/internal/trace"
	"garnetline/internal/trace/propagation"
	"garnetline/routing"
)

// Request describes a request to Recorder.Open.
type Request struct {
	TransactionID  string // chosen by the client
	IdempotencyKey string // used only for classes with idempotency keys, and never stored
	Object         routing.ObjectID
	Chunk          int
	PurgeGroup     int
	ReceivedAt     float64 // Unix ms, when its last byte was received; 0: when it is opened
	TraceParent    string  // the traceparent header as received, not validated
	ClientAddress  string  // without the port; empty: not known
}

// propagationRequest returns what decides the trace of the request.
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

// RequestTrace is the trace of one request in flight. Its methods belong to the dispatcher's
// goroutine and never block.
type RequestTrace struct {
	*trace.ActiveTrace
	correlator     *propagation.Correlator
	correlation    propagation.Correlation
	spansReserved  bool    // there was memory for its spans; otherwise only attempts are counted
	transferFactor float64 // routing.Class.ObjectiveTransferFactor
	responseBytes  int     // received in the last attempt
}

// AttemptStarted records the start of an attempt at now, in Unix ms, and returns the context to
// send with it, which is empty if the request is not traced.
func (t *RequestTrace) AttemptStarted(now float64, decision routing.SendAttempt) trace.SpanContext {
	if t.spansReserved {
		return t.ActiveTrace.AttemptStarted(now, decision)
	}
	t.UntracedAttemptStarted()
	return trace.SpanContext{}
}

// AttemptEnded records the end, at now in Unix ms, of the attempt in flight, which received so
// many bytes.
func (t *RequestTrace) AttemptEnded(now float64, result routing.Result, bytes int, load routing.LoadReport, timing trace.WireTimes) {
	t.responseBytes = bytes
	if t.spansReserved {
		t.ActiveTrace.AttemptEnded(now, result, bytes, load, timing)
		return
	}
	t.UntracedAttemptEnded()
}

// Responded records the response at now, in Unix ms, or that the client disconnected. From here
// on the client may retry, although an attempt may still be in flight.
func (t *RequestTrace) Responded(now float64, outcome trace.Outcome) {
	t.ActiveTrace.Responded(now, outcome)
	t.correlator.RequestEnded(now, t.correlation, isServed(outcome))
}

// isServed reports whether the client got what it asked for.
func isServed(outcome trace.Outcome) bool {
	return outcome == trace.Served || outcome == trace.NotModified
}
