package routing

// retry decides what follows a failed attempt: a fill after a miss, or an attempt at another server.
func (r *Router) retry(request *request, attempt *attempt, outcome Outcome) {
	notCached := outcome.Result == NotCached
	cacheMiss := attempt.cacheOnly && notCached
	sourceMiss := outcome.CacheStatus == SourceMiss || attempt.onlyIfCached && notCached
	// If outcomes report no cache status, either the cache or its source may have rejected.
	ambiguous := !r.cacheStatusKnown && outcome.Result == Rejected && !request.class.Write
	suspectSource := ambiguous && attempt.index == 0
	switch {
	case cacheMiss || attempt.failedWithSharedFill(outcome.CacheStatus):
		request.cacheMissed = true
	case request.cacheMissed && sourceMiss && !request.sourceMissed:
		request.sourceMissed = true
	case suspectSource || outcome.CacheStatus.sourceFailed():
		request.excluded = append(request.excluded, attempt.source)
	default:
		request.excluded = append(request.excluded, attempt.moreErrorProne())
	}
	r.dispatch(request)
}

// mayAttempt reports whether the limit of attempts, the deadline and the idempotency of a request allow
// one more attempt.
func (r *Router) mayAttempt(request *request) bool {
	limit := r.settings.MaxAttempts
	if !r.cacheStatusKnown && !request.class.Write {
		limit = min(limit, maxReadAttemptsUnknownStatus)
	}
	if len(request.attempts) >= limit || r.now >= request.deadline {
		return false
	}
	executed := request.firstMaybeExecuted()
	if executed == nil {
		return true
	}
	switch request.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return r.now < executed.sentAt+request.class.KeyWindow
	default:
		return false
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

// inKeyScope reports whether a request may be sent to a server as far as its idempotency key is
// concerned: if the request may have been executed already, the server must discard the repeat.
func (q *request) inKeyScope(server *server) bool {
	executed := q.firstMaybeExecuted()
	if executed == nil || q.class.Idempotency != IdempotentWithKey {
		return true
	}
	sameZone := server.Zone == executed.target.Zone
	switch q.class.KeyScope {
	case KeyScopeAll:
		return true
	case KeyScopeZone:
		return sameZone
	case KeyScopeCell:
		return sameZone && server.Cell == executed.target.Cell
	default:
		return false
	}
}

// failedWithSharedFill reports whether a lookup failed because it had joined the fill of another request
// and that fill failed.
func (a *attempt) failedWithSharedFill(status CacheStatus) bool {
	return a.cacheOnly && status.sourceFailed()
}
