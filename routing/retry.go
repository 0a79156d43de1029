package routing

// failedWithSharedFill tells whether a look failed together with the fill for another request.
func (a *attempt) failedWithSharedFill(n CacheStatus) bool {
	return a.cacheOnly && n >= SourceRejected && n != FillRejected
}

// mayAttempt tells whether one more attempt of q is allowed: by the try limit, the
// time and what it may do twice.
func (r *Router) mayAttempt(q *request) bool {
	most := r.settings.MaxAttempts
	if !r.cacheStatusKnown && !q.class.Write {
		most = min(most, maxReadAttemptsUnknownStatus)
	}
	if len(q.attempts) >= most || r.now >= q.deadline {
		return false
	}
	a := q.firstMaybeExecuted()
	return a == nil || q.class.Idempotency == Idempotent ||
		q.class.Idempotency == IdempotentWithKey && r.now < a.sentAt+q.class.KeyWindow
}

// inKeyScope tells whether s discards repeats of what q may have run already.
func (q *request) inKeyScope(s *server) bool {
	a := q.firstMaybeExecuted()
	if a == nil || q.class.Idempotency != IdempotentWithKey {
		return true
	}
	return q.class.KeyScope == KeyScopeAll || q.class.KeyScope == KeyScopeZone && s.Zone == a.target.Zone ||
		q.class.KeyScope == KeyScopeCell && s.Zone == a.target.Zone && s.Cell == a.target.Cell
}

// rejectOrFail gives the final answer to a request that will not be served.
func (r *Router) rejectOrFail(q *request) {
	if q.inflight > 0 {
		return // an attempt is out; its outcome decides
	}
	if q.firstMaybeExecuted() != nil && q.class.Idempotency != Idempotent {
		r.emit(Fail{q.ID})
	} else {
		r.emit(Reject{q.ID, r.settings.MaxRetryAfter / 2})
	}
	r.finish(q)
}

// retry decides what follows a failed attempt.
func (r *Router) retry(q *request, a *attempt, o Outcome) {
	untold := !r.cacheStatusKnown && o.Result == Rejected && !q.class.Write // by the cache, or by its source
	switch {
	case a.cacheOnly && o.Result == NotCached || a.failedWithSharedFill(o.CacheStatus):
		q.cacheMissed = true
	case q.cacheMissed && !q.sourceMissed &&
		(o.CacheStatus == SourceMiss || a.onlyIfCached && o.Result == NotCached):
		q.sourceMissed = true
	case o.CacheStatus >= SourceRejected && o.CacheStatus != FillRejected || untold && a.index == 0:
		q.excluded = append(q.excluded, a.source)
	default:
		q.excluded = append(q.excluded, a.moreErrorProne())
	}
	r.dispatch(q)
}
