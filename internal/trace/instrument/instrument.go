// Package instrument connects a trace recorder to a dispatcher, so that neither of the two
// imports the other.
package instrument

import (
	"garnetline/internal/dispatch"
	"garnetline/internal/trace/recorder"
	"garnetline/routing"
)

// Dispatcher returns a recorder as the tracer of a dispatcher, for dispatch.Dispatcher.SetTracer.
func Dispatcher(r *recorder.Recorder) dispatch.Tracer { return dispatchTracer{r} }

// dispatchTracer implements dispatch.Tracer.
type dispatchTracer struct{ recorder *recorder.Recorder }

// Open begins the trace of a request.
func (t dispatchTracer) Open(now float64, request *dispatch.Request, class *routing.Class) dispatch.RequestTrace {
	traced := recorder.Request{
		TransactionID:  request.TransactionID,
		IdempotencyKey: request.IdempotencyKey,
		Object:         request.Object,
		Chunk:          request.Chunk,
		PurgeGroup:     request.Group,
		ReceivedAt:     now,
	}
	if client := request.Client; client != nil {
		traced.ReceivedAt = client.ReceivedAt
		traced.TraceParent = client.TraceParent
		traced.ClientAddress = client.Address
	}
	return t.recorder.Open(now, traced, class)
}

// Close ends the trace of a request that is done, which Open returned.
func (t dispatchTracer) Close(now float64, done dispatch.RequestTrace) {
	t.recorder.Close(now, done.(*recorder.RequestTrace))
}
