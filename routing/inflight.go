package routing

// track adds delta to the counts of attempts in flight. The request, the servers and the limiters of an
// attempt each hold such a count. delta is 1 when the attempt starts and -1 when the attempt ends.
func (r *Router) track(attempt *attempt, delta int) {
	attempt.ended = delta < 0
	attempt.request.inflight += delta
	attempt.target.inflight += delta
	if attempt.source != attempt.target {
		attempt.source.inflight += delta
	}
	if attempt.target.role == cache {
		attempt.target.limiter.track(r.now, delta)
	}
	if attempt.request.class.Write {
		attempt.source.limiter.track(r.now, delta)
	}
	if attempt.fromOrigin {
		r.originLimiter.track(r.now, delta)
	}
	if attempt.fill {
		r.linkLimiter.track(r.now, delta)
		attempt.source.limiter.track(r.now, delta)
	}
}
