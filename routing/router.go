package routing

import (
	"time"
)

// handleRequest takes in a client's request: it is sent on, queued or answered at once.
func (r *Router) handleRequest(event Request) {
	if r.requests[event.ID] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(r.settings.Classes) {
		r.emit(Reject{ID: event.ID}) // never announced; nothing was sent, so a retry is harmless
		return
	}
	class := &r.settings.Classes[event.Class]
	req := &request{Request: event, class: class, deadline: r.now + event.Timeout}
	req.meanTransferTime = &r.meanTransferTimes[event.Class]
	stretch := time.Duration(class.ObjectiveTransferFactor * float64(r.transferTime(req)))
	req.objectiveAt = r.now + min(event.Timeout, class.LatencyObjective+stretch)
	if r.hasSize(req) { // rejected ones count too: the larger are rejected more often
		r.learnMeanTransferTime(req, event.SizeKB/r.settings.TransferKBPerSecond)
	}
	if !class.Write {
		req.popularity = r.recordRequestFor(event.Object)
	}
	r.requests[event.ID] = req
	r.dispatch(req)
}

// dispatch sends the next attempt of a request, queues the request or ends it.
func (r *Router) dispatch(request *request) {
	route := r.selectRoute(request)
	switch {
	case route.target == nil || !r.mayAttempt(request):
		r.rejectOrFail(request)
	case route.admitted:
		r.sendAttempt(request, route)
	default:
		r.enqueue(request)
	}
}

// handleOutcome records the end of an attempt and continues its request. Outcomes of unknown or
// ended attempts change nothing.
func (r *Router) handleOutcome(outcome Outcome) {
	request := r.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) {
		return
	}
	attempt := request.attempts[outcome.Attempt]
	if attempt.ended {
		return
	}
	attempt.notExecuted = outcome.Result.NotExecuted()
	r.track(attempt, -1)
	if attempt.target.role == cache && outcome.Load.LinkUtilization >= 0 {
		r.recordLinkLoad(outcome.Load)
	}
	r.recordOutcome(attempt, outcome)
	if outcome.Result == Served || outcome.RequestDone {
		r.finish(request)
	} else if request.inflight == 0 {
		r.retry(request, attempt, outcome)
	}
	r.dispatchQueue()
}
