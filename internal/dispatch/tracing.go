package dispatch

import (
	"garnetline/internal/trace"
	"garnetline/routing"
)

// AttemptTrace is the part that an attempt's carrier has in a trace.
type AttemptTrace struct {
	Context trace.Parent // to be passed on where the carrier's wire has a place for it
	Timing  trace.Wire   // the carrier's, until it reports the End
}

// RequestTrace is what a Tracer keeps of one request. Its methods are called on the core's
// goroutine.
type RequestTrace interface {
	AttemptStarted(now float64, g routing.SendAttempt) trace.Parent // of what is done for the attempt
	AttemptEnded(now float64, r routing.Result, bytes int, load routing.LoadReport, w trace.Wire)
	Responded(now float64, o trace.Outcome)
	Done() bool
}

// Tracer follows the requests of a core, on its goroutine.
type Tracer interface {
	Open(now float64, r *Request, class *routing.Class) RequestTrace
	Close(now float64, t RequestTrace) // t is done
}

// traceOutcomes are the kinds of answers as traces name them.
var traceOutcomes = [...]trace.Outcome{Failed: trace.Failed, Rejected: trace.Refused, Served: trace.Served, NotModified: trace.Same, DuplicateID: trace.Failed}

// traceResponse notes the answer to a request that is followed.
func (c *Dispatcher) traceResponse(r *Request, o trace.Outcome) {
	if r.trace != nil {
		r.trace.Responded(c.clock.Now(), o)
		c.closeTrace(r)
	}
}

// closeTrace gives the trail of a request back once it is answered and nothing is out.
func (c *Dispatcher) closeTrace(r *Request) {
	if r.trace.Done() {
		c.tracer.Close(c.clock.Now(), r.trace)
		r.trace = nil
	}
}
