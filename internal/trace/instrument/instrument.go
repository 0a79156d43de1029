// Package instrument adapts a trace recorder to a dispatcher, so that the recorder and dispatch
// packages do not import each other.
package instrument

import (
	"garnetline/internal/dispatch"
	"garnetline/internal/trace/recorder"
	"garnetline/routing"
)

// Dispatcher returns a tracer that records traces with the given recorder. The tracer is an
// argument for dispatch.Dispatcher.SetTracer.
func Dispatcher(r *recorder.Recorder) dispatch.Tracer { return dispatchTracer{r} }

// dispatchTracer implements dispatch.Tracer with a trace recorder.
type dispatchTracer struct{ recorder *recorder.Recorder }

// Open begins the trace of a request at the time now, in Unix ms. The trace of a request with a
// client starts when the router received the request. Any other trace starts at now.
func (t dispatchTracer) Open(now float64, request *dispatch.Request, class *routing.Class) dispatch.RequestTrace {
	traced := recorder.Request{
		TransactionID:  request.TransactionID,
		IdempotencyKey: request.IdempotencyKey,
		Object:         request.Object,
		Chunk:          request.Chunk,
		PurgeGroup:     request.PurgeGroup,
		ReceivedAt:     now,
	}
	if client := request.Client; client != nil {
		traced.ReceivedAt = client.ReceivedAt
		traced.TraceParent = client.TraceParent
		traced.ClientAddress = client.Address
	}
	return t.recorder.Open(now, traced, class)
}

// Close ends the trace of a request at the time now, in Unix ms. Open must have returned the
// given trace.
func (t dispatchTracer) Close(now float64, opened dispatch.RequestTrace) {
	t.recorder.Close(now, opened.(*recorder.RequestTrace))
}
