package dispatch

import (
	"math"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// Attempt is one sending of a request to a server. Its exported fields are set before the
// transport gets it and do not change, but for MayRetry and TransportState.
type Attempt struct {
	Request         *Request
	Index           int // place among the attempts of its request
	Decision        routing.SendAttempt
	ExpiresAt       float64 // it is canceled then
	SendDeadline    float64 // it must not be written later; 0: until it expires
	Class           *routing.Class
	RequestDeadline float64 // Request.Deadline, which the dispatcher alone may read

	// MayRetry is set before TransportState.Cancel: the request is still open, and another attempt
	// may follow this one.
	MayRetry bool
	// TransportState is set by the transport that accepted the attempt; nil until then.
	TransportState TransportState
	Trace          *AttemptTrace // nil: its request is not traced

	sentAt            float64
	accepted          bool // by its transport
	ended             bool
	completionDelayed bool           // for cancelTransit
	notExecuted       bool           // it ended, and provably was not executed
	cancelRequested   bool           // TransportState.Cancel was called
	cancelResult      routing.Result // what replaces Canceled as the result then
}

// Completion is a transport's report that an attempt has ended.
type Completion struct {
	Attempt  *Attempt
	Result   routing.Result // Canceled: it ended since TransportState.Cancel was called
	Response Response       // of Served, or where Final is set
	Load     routing.LoadReport
	Note     routing.CacheStatus // how the server found the object, where it says so
	FillWait float64             // ms until the fill source's first byte or failure; 0: unknown
	Final    bool                // Response ends the request whatever Result is
}

// Unsent returns the completion of an attempt that was not sent.
func Unsent(attempt *Attempt, result routing.Result) *Completion {
	return &Completion{Attempt: attempt, Result: result, Load: UnknownLoad()}
}

// Resolved returns the completion of an attempt that ends when its server is named: the server
// is the response, as in a DNS lookup. The module counts the work that the client will cause
// there but learns nothing from it, since nobody reports how the client fares.
func Resolved(attempt *Attempt) *Completion {
	return &Completion{
		Attempt:  attempt,
		Result:   routing.Canceled,
		Final:    true,
		Load:     UnknownLoad(),
		Response: Response{Kind: Served, Server: attempt.Decision.Server},
	}
}

// UnknownLoad returns a load report without values.
func UnknownLoad() routing.LoadReport {
	nan := math.NaN()
	return routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
}

// Transport carries out attempts. Send is called on the dispatcher's goroutine; it must
// neither block nor call the dispatcher.
type Transport interface {
	// Send accepts an attempt, sets its TransportState and returns nil, or returns how it ended
	// at once. How an accepted attempt ended is reported by Dispatcher.Complete.
	Send(*Attempt) *Completion
}

// TransportState is what a transport keeps with an attempt that it has accepted, such as the
// connections to the server that it chose. Its methods are called on the dispatcher's
// goroutine; they must neither block nor call the dispatcher.
type TransportState interface {
	// Cancel has the attempt canceled. Its completion follows when the cancel has been written,
	// with the result Canceled or another one.
	Cancel(*Attempt)
	// Release says that the dispatcher has handled the attempt's completion.
	Release(*Attempt)
}

// cancelTransit is how many ms a cancel, or the end of a connection, has to arrive at a server
// before the request is sent again: the way to a cache takes a few ms at the most.
//
// Symptom guarded against: a retry that was sent at once, on another connection, overtook the
// cancel of the attempt before, and the request was executed twice at a time.
const cancelTransit = 5.0

// startAttempt makes an attempt of a decision and hands it to the request's transport.
func (d *Dispatcher) startAttempt(decision routing.SendAttempt) {
	request := d.openRequests[decision.ID]
	if request == nil {
		return
	}
	attempt := d.newAttempt(request, decision)
	allowed := d.mayStart(attempt)
	request.attempts = append(request.attempts, attempt)
	if !allowed {
		d.handleCompletion(Unsent(attempt, routing.NotSent))
		return
	}
	if completion := request.Transport.Send(attempt); completion != nil {
		d.handleCompletion(completion)
		return
	}
	attempt.accepted = true
	d.metrics.Add("attempts_sent", 1)
	d.scheduleExpiry(attempt.ExpiresAt, attempt)
}

func (d *Dispatcher) newAttempt(request *Request, decision routing.SendAttempt) *Attempt {
	attempt := &Attempt{
		Request:         request,
		Index:           len(request.attempts),
		Decision:        decision,
		Class:           &d.settings.Classes[request.Class],
		ExpiresAt:       request.Deadline,
		RequestDeadline: request.Deadline,
		sentAt:          d.clock.Now(),
	}
	if decision.Deadline != 0 {
		attempt.ExpiresAt = min(clock.Millis(decision.Deadline), request.Deadline)
	}
	if request.trace != nil {
		attempt.Trace = &AttemptTrace{Context: request.trace.AttemptStarted(attempt.sentAt, decision)}
	}
	return attempt
}

// mayStart reports whether an attempt may be sent that is not yet among those of its request.
// What must not happen is checked here once more, whatever the module decided.
func (d *Dispatcher) mayStart(attempt *Attempt) bool {
	request := attempt.Request
	switch {
	case request.ClientDisconnected(), request.responded:
		return false
	case attempt.retryForbidden():
		return false
	case !request.lastAttemptEnded():
		return false // one attempt at a time
	}
	return attempt.Index < d.settings.MaxAttempts && attempt.sentAt < attempt.ExpiresAt
}

// retryForbidden reports whether the request's class forbids the attempt since an earlier one
// may have been executed. It sets SendDeadline where the class permits retries only within the
// window of an idempotency key: the attempt may wait for a connection.
//
// Symptom guarded against: a retry that waited for a connection was written after the window
// in which the server knows its key.
func (a *Attempt) retryForbidden() bool {
	earlier := a.Request.firstPossiblyExecuted()
	if earlier == nil {
		return false
	}
	switch a.Class.Idempotency {
	case routing.IdempotentWithKey:
		a.SendDeadline = earlier.sentAt + clock.Millis(a.Class.KeyWindow)
		return a.sentAt >= a.SendDeadline
	case routing.NonIdempotent:
		return true
	default:
		return false
	}
}

// cancelAttempt has an attempt canceled. It ends when its transport reports the completion,
// whose result, if that is Canceled, becomes the given one.
func (d *Dispatcher) cancelAttempt(attempt *Attempt, result routing.Result) {
	if attempt.ended || attempt.cancelRequested {
		return
	}
	attempt.cancelRequested = true
	attempt.cancelResult = result
	attempt.MayRetry = !attempt.Request.responded
	if attempt.TransportState != nil {
		attempt.TransportState.Cancel(attempt)
	}
}

// handleCompletion ends an attempt: its request is answered, or the module decides what
// follows.
func (d *Dispatcher) handleCompletion(completion *Completion) {
	attempt := completion.Attempt
	request := attempt.Request
	if attempt.ended || d.delayCompletion(completion) {
		return
	}
	attempt.ended = true
	if attempt.accepted && attempt.TransportState != nil {
		attempt.TransportState.Release(attempt)
	}
	if completion.Result == routing.Canceled && attempt.cancelRequested {
		completion.Result = attempt.cancelResult
	}
	d.metrics.Add(completionCounter(completion), 1)
	attempt.notExecuted = completion.Result.NotExecuted()
	d.traceCompletion(completion)
	if !request.responded && (completion.Result == routing.Served || completion.Final) {
		d.respond(request, completion.Response)
	}
	d.notifyRouter(d.outcome(completion))
	if request.responded {
		d.removeRequest(request)
		request.releaseBody()
	}
}

// delayCompletion reports whether a completion has to wait for cancelTransit, and has it
// handled then. Once the attempt's own time is over nothing is sent again, and the response
// need not wait.
func (d *Dispatcher) delayCompletion(completion *Completion) bool {
	attempt := completion.Attempt
	resumeAt := d.clock.Now() + cancelTransit
	switch {
	case completion.Result != routing.Canceled && completion.Result != routing.ConnectionLost:
		return false
	case !attempt.accepted, attempt.completionDelayed, attempt.Request.responded:
		return false
	case resumeAt >= attempt.ExpiresAt:
		return false
	}
	attempt.completionDelayed = true
	d.scheduleCompletion(resumeAt, completion)
	return true
}

// outcome is a completion as the decision module takes it.
func (d *Dispatcher) outcome(completion *Completion) routing.Outcome {
	attempt := completion.Attempt
	return routing.Outcome{
		ID:          attempt.Request.id,
		Attempt:     attempt.Index,
		Server:      attempt.Decision.Server,
		Result:      completion.Result,
		Duration:    clock.Duration(d.clock.Now() - attempt.sentAt),
		BodyBytes:   len(completion.Response.Body),
		RequestDone: attempt.Request.responded,
		Load:        completion.Load,
		CacheStatus: completion.Note,
		SourceWait:  clock.Duration(completion.FillWait),
	}
}

// resolvedCounter counts attempts that ended when their server was named.
const resolvedCounter = "attempts_named"

// resultCounters are the names of the counters of other attempts, by their results.
var resultCounters = [...]string{
	routing.Served:         "attempts_served",
	routing.ServerError:    "attempts_errored",
	routing.Rejected:       "attempts_full",
	routing.TimedOut:       "attempts_timed_out",
	routing.ConnectFailed:  "attempts_unreached",
	routing.ConnectionLost: "attempts_broken",
	routing.Canceled:       "attempts_cancelled",
	routing.NotSent:        "attempts_not_sent",
	routing.NotCached:      "attempts_miss",
}

// completionCounter returns the name of the counter of completions like this one.
func completionCounter(completion *Completion) string {
	if completion.Final {
		return resolvedCounter
	}
	return resultCounters[completion.Result]
}
