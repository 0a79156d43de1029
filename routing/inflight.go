package routing

// startAttempt creates an attempt and counts it with all that limits it.
func (r *Router) startAttempt(request *request, route route) *attempt {
	started := &attempt{request: request, index: len(request.attempts), sentAt: r.now}
	started.target = route.target
	started.source = route.source
	request.attempts = append(request.attempts, started)
	toCache := route.target.role == cache
	started.cacheOnly = toCache && route.source == route.target
	started.fill = !request.class.Write && route.source.role != cache && (request.cacheMissed || !toCache)
	started.fromOrigin = request.sourceMissed || started.fill && route.source.role == origin
	r.track(started, 1)
	r.recordSentWork(route.target, *request.meanTransferTime)
	if route.source != route.target {
		r.recordSentWork(route.source, *request.meanTransferTime)
	}
	return started
}

// finish forgets a request and cancels what is in flight for it.
func (r *Router) finish(request *request) {
	delete(r.requests, request.ID)
	request.queued = false
	for _, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		r.track(attempt, -1)
		if r.settings.CanCancel {
			r.emit(CancelAttempt{request.ID, attempt.index})
		}
	}
}

// track counts an attempt as in flight (delta 1) or ended (delta -1) with its servers and limiters.
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

// firstMaybeExecuted returns the first attempt that may have been executed, or nil.
func (q *request) firstMaybeExecuted() *attempt {
	for _, attempt := range q.attempts {
		if !attempt.notExecuted {
			return attempt
		}
	}
	return nil
}
