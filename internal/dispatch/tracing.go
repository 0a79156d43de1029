package dispatch

import (
	"garnetline/internal/trace"
	"garnetline/routing"
)

// Tracer creates and collects the traces of a dispatcher's requests. Its methods are called on the
// dispatcher's goroutine and must not block.
type Tracer interface {
	// Open begins the trace of a request.
	Open(now float64, request *Request, class *routing.Class) RequestTrace
	// Close receives the trace of a request when RequestTrace.Done has returned true.
	Close(now float64, requestTrace RequestTrace)
}

// RequestTrace records the trace of one request. Its methods are called on the dispatcher's
// goroutine and must not block.
type RequestTrace interface {
	// AttemptStarted records the start of an attempt. It returns the span context that is sent
	// along with the attempt.
	AttemptStarted(now float64, decision routing.SendAttempt) trace.SpanContext
	AttemptEnded(now float64, result routing.Result, bytes int, load routing.LoadReport, timing trace.WireTimes)
	Responded(now float64, outcome trace.Outcome)
	// Done reports whether the request has been answered and no attempt is in flight.
	Done() bool
}

// AttemptTrace is the part of a trace that the transport of an attempt uses.
type AttemptTrace struct {
	Context trace.SpanContext // sent with the attempt if the transport's wire format has a field for it
	Timing  trace.WireTimes   // written by the transport before it reports the completion
}

// traceOutcomes are the outcomes that traces show, indexed by the kind of the response.
var traceOutcomes = [...]trace.Outcome{
	Failed:      trace.Failed,
	Rejected:    trace.Rejected,
	Served:      trace.Served,
	NotModified: trace.NotModified,
	DuplicateID: trace.Failed,
}

// traceResponse records how a request ended. It does nothing if the request is not traced.
func (d *Dispatcher) traceResponse(request *Request, outcome trace.Outcome) {
	if request.trace == nil {
		return
	}
	request.trace.Responded(d.clock.Now(), outcome)
	d.closeTrace(request)
}

// traceCompletion records how an attempt ended. It does nothing if the request of the attempt is
// not traced.
func (d *Dispatcher) traceCompletion(completion *Completion) {
	attempt := completion.Attempt
	request := attempt.Request
	if request.trace == nil {
		return
	}
	bytes := len(completion.Response.Body)
	request.trace.AttemptEnded(d.clock.Now(), completion.Result, bytes, completion.Load, attempt.Trace.Timing)
	if request.responded {
		d.closeTrace(request)
	}
}

// closeTrace passes the trace of a request to the tracer if the trace is done.
func (d *Dispatcher) closeTrace(request *Request) {
	if request.trace.Done() {
		d.tracer.Close(d.clock.Now(), request.trace)
		request.trace = nil
	}
}
