// Package instrument ties a recorder to a core, so that neither knows the other.
package instrument

import (
	"garnetline/internal/dispatch"
	"garnetline/internal/trace/recorder"
	"garnetline/routing"
)

// Core returns a recorder as a core's tracer.
func Dispatcher(r *recorder.Recorder) dispatch.Tracer { return dispatchTracer{r} }

type dispatchTracer struct{ recorder *recorder.Recorder }

// Open begins to follow a request.
func (t dispatchTracer) Open(now float64, q *dispatch.Request, class *routing.Class) dispatch.RequestTrace {
	a := recorder.Request{TransactionID: q.TransactionID, IdempotencyKey: q.IdempotencyKey, Object: q.Object, Chunk: q.Chunk, PurgeGroup: q.Group, ReceivedAt: now}
	if o := q.Client; o != nil {
		a.ReceivedAt, a.TraceParent, a.ClientAddress = o.ReceivedAt, o.TraceParent, o.Address
	}
	return t.recorder.Open(now, a, class)
}

// Close takes a request that is done.
func (t dispatchTracer) Close(now float64, done dispatch.RequestTrace) {
	t.recorder.Close(now, done.(*recorder.RequestTrace))
}
