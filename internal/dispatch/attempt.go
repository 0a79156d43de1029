package dispatch

import (
	"math"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// Attempt is one sending of a request to a server. The dispatcher sets the exported fields before
// it passes the attempt to the transport. Only MayRetry and TransportState change after that.
type Attempt struct {
	Request         *Request
	Index           int // position among the attempts of its request, from 0
	Decision        routing.SendAttempt
	ExpiresAt       float64 // the dispatcher cancels the attempt at this time
	SendDeadline    float64 // the transport must not write the attempt later than this; 0: ExpiresAt is the only limit
	Class           *routing.Class
	RequestDeadline float64 // copy of Request.Deadline, which only the dispatcher may read

	// MayRetry is set before TransportState.Cancel is called. It is true if the request is still
	// open, so that another attempt may follow this one.
	MayRetry bool
	// TransportState is set by the transport when it accepts the attempt; nil before that.
	TransportState TransportState
	Trace          *AttemptTrace // nil: the request is not traced

	sentAt            float64
	accepted          bool // the transport accepted it
	ended             bool
	completionDelayed bool           // its completion waits, or has waited, for cancelTransit
	notExecuted       bool           // it ended, and the server provably did not execute it
	cancelRequested   bool           // TransportState.Cancel was called
	cancelResult      routing.Result // replaces the result Canceled if cancelRequested is set
}

// Completion is a transport's report that an attempt has ended.
type Completion struct {
	Attempt     *Attempt
	Result      routing.Result // Canceled: the attempt ended because TransportState.Cancel was called
	Response    Response       // set if Result is Served or Final is true
	Load        routing.LoadReport
	CacheStatus routing.CacheStatus // how the server found the object, if the server reports that
	FillWait    float64             // ms until the fill source sent its first byte or failed; 0: unknown
	Final       bool                // Response ends the request, whatever Result is
}

// Unsent returns the completion, with the given result, of an attempt that was not sent.
func Unsent(attempt *Attempt, result routing.Result) *Completion {
	return &Completion{Attempt: attempt, Result: result, Load: UnknownLoad()}
}

// Resolved returns the completion of an attempt that ends as soon as its server is chosen: the
// response names the server, as in a DNS lookup, and the client connects to it by itself. The
// decision module counts the load that the client will cause on the server, but learns nothing
// about the server, because nobody reports whether the client was served.
func Resolved(attempt *Attempt) *Completion {
	return &Completion{
		Attempt:  attempt,
		Result:   routing.Canceled,
		Final:    true,
		Load:     UnknownLoad(),
		Response: Response{Kind: Served, Server: attempt.Decision.Server},
	}
}

// UnknownLoad returns a load report in which all values are unknown (NaN).
func UnknownLoad() routing.LoadReport {
	nan := math.NaN()
	return routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
}

// Transport sends attempts to servers. Send is called on the dispatcher's goroutine; it must
// neither block nor call the dispatcher.
type Transport interface {
	// Send accepts an attempt, sets its TransportState and returns nil; the transport reports the
	// end of the attempt later, by Dispatcher.Complete. If the attempt ends at once, Send does not
	// accept it and returns its completion instead.
	Send(*Attempt) *Completion
}

// TransportState is the state that a transport keeps for an attempt that it has accepted, such as
// the connections to the chosen server. Its methods are called on the dispatcher's goroutine; they
// must neither block nor call the dispatcher.
type TransportState interface {
	// Cancel starts to cancel the attempt. The transport reports the completion when it has
	// written the cancel. The result is Canceled, or another one if the attempt ended otherwise.
	Cancel(*Attempt)
	// Release tells the transport that the dispatcher has received the attempt's completion and
	// will not use the TransportState again.
	Release(*Attempt)
}

// cancelTransit is the time, in milliseconds, that a cancel or the end of a connection gets to
// arrive at a server before the request is sent again. The way to a cache takes a few milliseconds
// at most. A retry that is sent at once on another connection can overtake the cancel of the
// previous attempt; the request is then executed twice at the same time.
const cancelTransit = 5.0

// startAttempt creates an attempt from a decision of the module and passes it to the request's
// transport.
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

// mayStart reports whether an attempt may be sent. The attempt must not be in the list of its
// request yet. Whatever the module decided, mayStart checks again the rules that must never be
// broken.
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

// retryForbidden reports whether the request's class forbids the attempt because an earlier one
// may have been executed. If the class permits retries only within the window of an idempotency
// key, retryForbidden sets SendDeadline to the end of the window: the attempt may wait for a
// connection, and it must not be written when the server no longer knows its key.
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

// cancelAttempt asks the transport to cancel an attempt. The attempt ends when the transport
// reports its completion; if the result of the completion is Canceled, the given result replaces
// it.
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

// handleCompletion ends an attempt. It responds to the request if the attempt was served or its
// completion is final, and reports the outcome to the decision module, which otherwise decides
// what follows.
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

// delayCompletion reports whether a completion must wait for cancelTransit, and schedules its
// handling if so. If the attempt expires within that time, the completion does not wait: no retry
// can follow, and the response need not be delayed.
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

// outcome converts a completion to the form that the decision module expects.
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
		CacheStatus: completion.CacheStatus,
		FillWait:    clock.Duration(completion.FillWait),
	}
}

// resolvedCounter is the name of the counter of attempts that ended when their server was chosen;
// see Resolved.
const resolvedCounter = "attempts_named"

// resultCounters are the names of the counters of all other attempts, by result.
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

// completionCounter returns the name of the counter that a completion increments.
func completionCounter(completion *Completion) string {
	if completion.Final {
		return resolvedCounter
	}
	return resultCounters[completion.Result]
}
