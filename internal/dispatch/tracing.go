package dispatch

import (
	"garnetline/internal/trace"
	"garnetline/routing"
)

// Tracer follows the requests of a dispatcher. Its methods are called on the dispatcher's
// goroutine and must not block.
type Tracer interface {
	// Open begins the trace of a request.
	Open(now float64, request *Request, class *routing.Class) RequestTrace
	// Close takes the trace of a request when it is done.
	Close(now float64, requestTrace RequestTrace)
}

// RequestTrace is what a Tracer keeps of one request. Its methods are called on the
// dispatcher's goroutine and must not block.
type RequestTrace interface {
	// AttemptStarted returns the context that is passed on with the attempt.
	AttemptStarted(now float64, decision routing.SendAttempt) trace.SpanContext
	AttemptEnded(now float64, result routing.Result, bytes int, load routing.LoadReport, timing trace.WireTimes)
	Responded(now float64, outcome trace.Outcome)
	// Done reports whether the request has been answered and no attempt is in flight.
	Done() bool
}

// AttemptTrace is the part that an attempt's transport has in a trace.
type AttemptTrace struct {
	Context trace.SpanContext // passed on where the transport's wire has a place for it
	Timing  trace.WireTimes   // written by the transport before it reports the completion
}

// traceOutcomes are the kinds of responses as traces name them.
var traceOutcomes = [...]trace.Outcome{
	Failed:      trace.Failed,
	Rejected:    trace.Rejected,
	Served:      trace.Served,
	NotModified: trace.NotModified,
	DuplicateID: trace.Failed,
}

// traceResponse records how a request ended, if it is traced.
func (d *Dispatcher) traceResponse(request *Request, outcome trace.Outcome) {
	if request.trace == nil {
		return
	}
	request.trace.Responded(d.clock.Now(), outcome)
	d.closeTrace(request)
}

// traceCompletion records how an attempt ended, if its request is traced.
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

// closeTrace gives the trace of a request back to the tracer if it is done.
func (d *Dispatcher) closeTrace(request *Request) {
	if request.trace.Done() {
		d.tracer.Close(d.clock.Now(), request.trace)
		request.trace = nil
	}
}
