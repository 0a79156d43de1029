package routing

import "time"

func (r *Router) handleRequest(q Request) {
	if q.Class < 0 || q.Class >= len(r.settings.Classes) {
		r.emit(Reject{ID: q.ID}) // never announced; nothing was sent, so a retry is harmless
		return
	}
	c := &r.settings.Classes[q.Class]
	req := &request{Request: q, class: c, deadline: r.now + q.Timeout}
	req.meanTransferTime = &r.meanTransferTimes[q.Class]
	stretch := time.Duration(c.ObjectiveTransferFactor * float64(r.transferTime(req)))
	req.objectiveAt = r.now + min(q.Timeout, c.LatencyObjective+stretch)
	if r.hasSize(req) { // refused ones count too: the larger are refused more often
		seconds := q.SizeKB / r.settings.TransferKBPerSecond
		*req.meanTransferTime += (seconds - *req.meanTransferTime) * meanTransferTimeGain
	}
	if !c.Write {
		req.popularity = r.recordRequestFor(q.Object)
	}
	r.requests[q.ID] = req
	r.dispatch(req)
}

// dispatch gives a request its next attempt, holds it, or ends it.
func (r *Router) dispatch(q *request) {
	to, source, room := r.selectRoute(q)
	switch {
	case to == nil || !r.mayAttempt(q):
		r.rejectOrFail(q)
	case room:
		r.sendAttempt(q, to, source)
	default:
		r.enqueue(q)
	}
}

func (r *Router) handleOutcome(o Outcome) {
	q := r.requests[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].ended {
		return
	}
	a := q.attempts[o.Attempt]
	a.notExecuted = o.Result.NotExecuted()
	r.track(a, -1)
	if a.target.role == cache && o.Load.LinkUtilization >= 0 {
		r.linkLimiter.observe(r.now, o.Load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
	}
	r.recordOutcome(a, o)
	if o.Result == Served || o.RequestDone {
		r.finish(q)
	} else if q.inflight == 0 {
		r.retry(q, a, o)
	}
	r.dispatchQueue()
}
