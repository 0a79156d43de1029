package dispatch

import (
	"math"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// Attempt sends a request to one server once; a retry is another Attempt. The dispatcher sets the
// exported fields before it passes the attempt to the transport. After that, only MayRetry and
// TransportState change.
type Attempt struct {
	Request         *Request
	Index           int // position among the attempts of its request, from 0
	Decision        routing.SendAttempt
	ExpiresAt       float64 // the dispatcher cancels the attempt at this time
	SendDeadline    float64 // the transport must not write the attempt at or after this time; 0: only ExpiresAt applies
	Class           *routing.Class
	RequestDeadline float64 // copy of Request.Deadline for transports, which must not read the Request's field

	// MayRetry tells the transport that a retry may follow this attempt, because the request is
	// still open. The dispatcher sets MayRetry before it calls TransportState.Cancel.
	MayRetry bool
	// The transport sets TransportState when it accepts the attempt. Before that, TransportState is
	// nil.
	TransportState TransportState
	Trace          *AttemptTrace // nil: the request is not traced

	sentAt            float64
	expiryTimer       timer
	accepted          bool // the transport accepted the attempt
	ended             bool
	completionDelayed bool           // its completion was delayed by cancelTransit; the delay may be over
	notExecuted       bool           // the attempt ended, and its result proves that the server did not execute it
	cancelRequested   bool           // TransportState.Cancel was called
	cancelResult      routing.Result // if cancelRequested is set: replaces the result Canceled
}

// Completion is a transport's report that an attempt has ended.
type Completion struct {
	Attempt     *Attempt
	Result      routing.Result // Canceled: the attempt ended because TransportState.Cancel was called
	Response    Response       // set if Result is Served or Final is true
	Load        routing.LoadReport
	CacheStatus routing.CacheStatus // where the server found the object; unknown if the server does not report it
	FillWait    float64             // ms until the fill source sent its first byte or failed; 0: unknown
	Final       bool                // Response ends the request, even if Result is not Served
}

// Unsent returns the completion of an attempt that was not sent. The completion has the given
// result.
func Unsent(attempt *Attempt, result routing.Result) *Completion {
	return &Completion{Attempt: attempt, Result: result, Load: UnknownLoad()}
}

// Resolved returns the completion of an attempt that only selects a server, as a DNS lookup does.
// The response names the server, and the client connects to that server itself.
//
// The decision module counts the load that the client will cause on the server. It learns nothing
// about the health of the server, because nobody reports whether the server served the client.
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

// Transport sends attempts to servers. Send is called on the dispatcher's goroutine. It must
// neither block nor call the dispatcher.
type Transport interface {
	// Send accepts an attempt: it sets the TransportState of the attempt and returns nil. When the
	// attempt ends later, the transport calls Dispatcher.Complete. If the attempt ends immediately,
	// Send does not accept the attempt and returns its completion.
	Send(*Attempt) *Completion
}

// TransportState is the state that a transport keeps for an accepted attempt, such as the
// connections to the chosen server. Its methods are called on the dispatcher's goroutine. They must
// neither block nor call the dispatcher.
type TransportState interface {
	// Cancel starts the cancellation of the attempt. The transport reports the completion of the
	// attempt after it has written the cancel command. The result of the completion is Canceled,
	// unless the attempt ended with another result first.
	Cancel(*Attempt)
	// Release tells the transport that the dispatcher has received the completion of the attempt.
	// The dispatcher does not use the TransportState of the attempt again.
	Release(*Attempt)
}

// cancelTransit is the delay, in milliseconds, between the cancel of an attempt, or the end of its
// connection, and the retry of the request. The cancel or the end of the connection needs up to a
// few milliseconds to reach the cache. Without the delay, a retry on another connection could
// overtake the cancel of the previous attempt, and the caches would execute the request twice at
// the same time.
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

// mayStart reports whether an attempt may be sent. The attempt must not be in request.attempts yet.
// The decision module has already checked the most important rules. mayStart checks them again, so
// that a wrong decision of the module cannot break them.
func (d *Dispatcher) mayStart(attempt *Attempt) bool {
	request := attempt.Request
	switch {
	case request.ClientDisconnected(), request.responded:
		return false
	case attempt.retryForbidden():
		return false
	case !request.lastAttemptEnded():
		return false // a request has only one attempt in flight
	}
	return attempt.Index < d.settings.MaxAttempts && attempt.sentAt < attempt.ExpiresAt && d.claimExecution(request)
}

// retryForbidden reports whether the request's class forbids the attempt because a server may have
// executed an earlier attempt.
//
// If the class permits retries within the window of an idempotency key, retryForbidden also sets
// SendDeadline to the end of that window. After the window, the server has forgotten the key. An
// attempt that is still waiting for a connection at that time must not be written.
func (a *Attempt) retryForbidden() bool {
	executedAt, executed := a.Request.firstExecution()
	if !executed {
		return false
	}
	switch a.Class.Idempotency {
	case routing.IdempotentWithKey:
		a.SendDeadline = executedAt + keyWindowMs(a.Class)
		return a.sentAt >= a.SendDeadline
	case routing.NonIdempotent:
		return true
	default:
		return false
	}
}

// keyWindowMs returns for how many milliseconds a server remembers the idempotency keys of a class.
func keyWindowMs(class *routing.Class) float64 { return clock.Millis(class.KeyWindow) }

// cancelAttempt asks the transport to cancel an attempt. The attempt ends when the transport
// reports its completion. If the completion has the result Canceled, the dispatcher replaces that
// result by the given result.
func (d *Dispatcher) cancelAttempt(attempt *Attempt, result routing.Result) {
	if attempt.ended || attempt.cancelRequested {
		return
	}
	attempt.cancelRequested = true
	d.timers.cancel(&attempt.expiryTimer)
	attempt.cancelResult = result
	attempt.MayRetry = !attempt.Request.responded
	if attempt.TransportState != nil {
		attempt.TransportState.Cancel(attempt)
	}
}

// handleCompletion ends an attempt and reports its outcome to the decision module. If the attempt
// was served, or if its completion is final, handleCompletion responds to the request. Otherwise
// the module decides whether a retry or a response follows.
func (d *Dispatcher) handleCompletion(completion *Completion) {
	attempt := completion.Attempt
	request := attempt.Request
	if attempt.ended {
		completion.Response.Memory.Release()
		return
	}
	if d.delayCompletion(completion) {
		return
	}
	attempt.ended = true
	d.timers.cancel(&attempt.expiryTimer)
	if attempt.accepted && attempt.TransportState != nil {
		attempt.TransportState.Release(attempt)
	}
	if completion.Result == routing.Canceled && attempt.cancelRequested {
		completion.Result = attempt.cancelResult
	}
	d.metrics.Add(completionCounter(completion), 1)
	attempt.notExecuted = completion.Result.NotExecuted()
	d.traceCompletion(completion)
	if completion.Result == routing.Served || completion.Final {
		d.respond(request, completion.Response)
	} else {
		completion.Response.Memory.Release()
	}
	d.notifyRouter(d.outcome(completion))
	if request.responded {
		d.removeRequest(request)
		request.releaseBody()
	}
}

// delayCompletion reports whether the handling of a completion must be delayed by cancelTransit,
// the time that a cancel needs to reach the cache. If it must, delayCompletion schedules the
// handling. If the attempt expires before the delay ends, the completion is handled without delay:
// no retry can follow, and waiting would only delay the response.
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

// outcome converts a completion to the routing.Outcome that the decision module expects.
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

// resolvedCounter is the name of the counter of attempts that ended as soon as their server was
// chosen; see Resolved.
const resolvedCounter = "attempts_named"

// resultCounters are the names of the counters of the attempts that resolvedCounter does not count,
// indexed by result.
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
