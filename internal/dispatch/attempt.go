package dispatch

import (
	"container/heap"
	"math"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// Attempt is one sending of a request.
type Attempt struct {
	Request         *Request
	Index           int
	Decision        routing.SendAttempt
	ExpiresAt       float64 // it is given up then
	SendDeadline    float64 // it may be written until then; 0: until it is given up
	Class           *routing.Class
	RequestDeadline float64 // of its request

	MayRetry       bool          // it is given up while its request is open: another may follow
	TransportState any           // the carrier's own
	Trace          *AttemptTrace // nil: its request is not traced

	sentAt            float64
	accepted          bool // by its carrier
	ended             bool
	completionDelayed bool           // it was given up or lost; its end waits for wayFor
	notExecuted       bool           // it ended and is proved not to have run
	cancelRequested   bool           // the carrier has been asked to give it up
	cancelResult      routing.Result // what it is called then
}

// Completion is how a carrier says that an attempt is over. Result Cancelled says
// that it was given up, where that was asked for.
type Completion struct {
	Attempt  *Attempt
	Result   routing.Result
	Response Response
	Load     routing.LoadReport
	Note     routing.CacheStatus // how it met its object, where that is told
	FillWait float64             // ms for the source's first byte or failure; 0: not told
	Final    bool                // the request is over though nothing was served by the attempt
}

// Unsent is the end of an attempt that never left.
func Unsent(a *Attempt, r routing.Result) *Completion {
	return &Completion{Attempt: a, Result: r, Load: UnknownLoad()}
}

// Resolved is the end of an attempt that is over once its server is named: the
// request is answered with it. The module books what it sent as work and
// learns nothing, since how the client fares there is not told here.
func Resolved(a *Attempt) *Completion {
	return &Completion{Attempt: a, Result: routing.Canceled, Final: true, Load: UnknownLoad(),
		Response: Response{Kind: Served, Server: a.Decision.Server}}
}

// Transport carries attempts out. No call may block or call back: how an attempt
// that was taken ended comes to the core's mailbox as an End.
type Transport interface {
	// Send takes an attempt, or returns how it ended at once.
	Send(*Attempt) *Completion
	// Cancel gives an attempt up. Its End follows once it is given up on the
	// wire, with that or another result.
	Cancel(*Attempt)
	// Release says that the core has taken the End of an attempt that was sent.
	Release(*Attempt)
}

// UnknownLoad is a load report without values.
func UnknownLoad() routing.LoadReport {
	nan := math.NaN()
	return routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
}

// cancelTransit is how long giving an attempt up, by a cancel or the end of its connection, has to
// arrive before the request is sent again: a way to a cache takes a few ms at the most.
//
// Symptom guarded against: what was sent on at once overtook the cancel, on another
// connection, and the request was out twice.
const cancelTransit = 5.0

// handleCompletion books the end of an attempt.
func (c *Dispatcher) handleCompletion(e Completion) {
	a := e.Attempt
	if a.ended {
		return
	}
	at := c.clock.Now() + cancelTransit // past its time nothing is sent on, and the answer is not held back
	if left := e.Result == routing.Canceled || e.Result == routing.ConnectionLost; left && a.accepted && !a.completionDelayed && !a.Request.responded && at < a.ExpiresAt {
		a.completionDelayed = true
		heap.Push(&c.timers, timer{at: at, completion: &e})
		return
	}
	a.ended = true
	if a.accepted {
		a.Request.Transport.Release(a)
	}
	if e.Result == routing.Canceled && a.cancelRequested {
		e.Result = a.cancelResult
	}
	if e.Final {
		c.metrics.Add("attempts_named", 1)
	} else {
		c.metrics.Add("attempts_"+resultNames[e.Result], 1)
	}
	a.notExecuted = e.Result.NotExecuted()
	r := a.Request
	if r.trace != nil {
		r.trace.AttemptEnded(c.clock.Now(), e.Result, len(e.Response.Body), e.Load, a.Trace.Timing)
		if r.responded {
			c.closeTrace(r)
		}
	}
	if !r.responded && (e.Result == routing.Served || e.Final) {
		c.respond(r, e.Response)
	}
	c.handleEvent(routing.Outcome{ID: r.id, Attempt: a.Index, Server: a.Decision.Server, Result: e.Result,
		Duration: clock.Duration(c.clock.Now() - a.sentAt), BodyBytes: len(e.Response.Body), RequestDone: r.responded, Load: e.Load,
		CacheStatus: e.Note, SourceWait: clock.Duration(e.FillWait)})
	if r.responded {
		c.removeRequest(r)
		r.releaseBody()
	}
}

var resultNames = [...]string{routing.Served: "served", routing.ServerError: "errored", routing.Rejected: "full",
	routing.TimedOut: "timed_out", routing.ConnectFailed: "unreached", routing.ConnectionLost: "broken",
	routing.Canceled: "cancelled", routing.NotSent: "not_sent", routing.NotCached: "miss"}

// startAttempt makes an attempt of a decision.
func (c *Dispatcher) startAttempt(g routing.SendAttempt) {
	r := c.openRequests[g.ID]
	if r == nil {
		return
	}
	a := &Attempt{Request: r, Index: len(r.attempts), Decision: g, Class: &c.settings.Classes[r.Class], sentAt: c.clock.Now(),
		ExpiresAt: min(clock.Millis(g.Deadline), r.Deadline), RequestDeadline: r.Deadline}
	if g.Deadline == 0 {
		a.ExpiresAt = r.Deadline
	}
	if r.trace != nil {
		a.Trace = &AttemptTrace{Context: r.trace.AttemptStarted(a.sentAt, g)}
	}
	busy := len(r.attempts) > 0 && !r.attempts[len(r.attempts)-1].ended
	barred := r.ClientDisconnected() || c.retryForbidden(r, a)
	r.attempts = append(r.attempts, a)
	over := Unsent(a, routing.NotSent)
	if !r.responded && !busy && !barred && a.Index < c.settings.MaxAttempts && a.sentAt < a.ExpiresAt {
		over = r.Transport.Send(a)
	}
	if over != nil {
		c.handleCompletion(*over)
		return
	}
	a.accepted = true
	c.metrics.Add("attempts_sent", 1)
	c.schedule(a.ExpiresAt, 0, a, nil)
}

// retryForbidden tells whether the class of a request bars what may run a second time, and bounds
// the time at which the attempt may be written: the module decided before it was queued.
//
// Symptom guarded against: a repeat that waited for a connection was written after the
// window in which its key is known.
func (c *Dispatcher) retryForbidden(r *Request, a *Attempt) bool {
	for _, t := range r.attempts {
		if t.notExecuted {
			continue
		}
		switch a.Class.Idempotency {
		case routing.IdempotentWithKey:
			a.SendDeadline = t.sentAt + clock.Millis(a.Class.KeyWindow)
			return a.sentAt >= a.SendDeadline
		case routing.NonIdempotent:
			return true
		}
		break
	}
	return false
}

// cancelAttempt has an attempt given up. It is over when its carrier says so.
func (c *Dispatcher) cancelAttempt(a *Attempt, as routing.Result) {
	if a.ended || a.cancelRequested {
		return
	}
	a.cancelRequested, a.cancelResult, a.MayRetry = true, as, !a.Request.responded
	a.Request.Transport.Cancel(a)
}
