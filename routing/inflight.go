package routing

import "time"

// firstMaybeExecuted is the first attempt that may have run, or nil.
func (q *request) firstMaybeExecuted() *attempt {
	for _, a := range q.attempts {
		if !a.notExecuted {
			return a
		}
	}
	return nil
}

// finish forgets a request and cancels what is out for it.
func (r *Router) finish(q *request) {
	delete(r.requests, q.ID)
	q.queued = false
	for _, a := range q.attempts {
		if a.ended {
			continue
		}
		r.track(a, -1)
		if r.settings.CanCancel {
			r.emit(CancelAttempt{q.ID, a.index})
		}
	}
}

// track books an attempt as out, or no longer, with all that rations it.
func (r *Router) track(a *attempt, n int) {
	a.ended = n < 0
	a.request.inflight += n
	a.target.inflight += n
	a.source.inflight += choose(a.source == a.target, 0, n)
	if a.target.role == cache {
		a.target.limiter.track(r.now, n)
	}
	if a.request.class.Write {
		a.source.limiter.track(r.now, n)
	}
	if a.fromOrigin {
		r.originLimiter.track(r.now, n)
	}
	if a.fill {
		r.linkLimiter.track(r.now, n)
		a.source.limiter.track(r.now, n)
	}
}

// track books n more as out.
func (g *limiter) track(now time.Duration, n int) {
	if g.inflight += n; n > 0 {
		g.lastStartedAt = now
	} else if g.limit < 1 && g.active {
		g.pausedUntil = now + time.Duration(float64(now-g.lastStartedAt)*(1/g.limit-1))
	}
}
