package routing

// retry continues a request after a failed attempt: with a fill after a miss, and otherwise with an
// attempt that avoids the server that is most likely at fault.
func (r *Router) retry(request *request, attempt *attempt, outcome Outcome) {
	notCached := outcome.Result == NotCached
	cacheMiss := attempt.cacheOnly && notCached
	sourceMiss := outcome.CacheStatus == SourceMiss || attempt.onlyIfCached && notCached
	// If outcomes report no cache status, the rejection may come from the cache or from its source.
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

// firstMaybeExecuted returns the first attempt of a request that may have been executed, or nil if there
// is none.
func (q *request) firstMaybeExecuted() *attempt {
	for _, attempt := range q.attempts {
		if !attempt.notExecuted {
			return attempt
		}
	}
	return nil
}

// inKeyScope reports whether the idempotency key of a request allows an attempt at a server. If the
// request may have been executed already, the server must know the key, so that it discards the repeat.
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

// failedWithSharedFill reports whether the attempt is a lookup that joined the fill of another request
// and failed together with that fill.
func (a *attempt) failedWithSharedFill(status CacheStatus) bool {
	return a.cacheOnly && status.sourceFailed()
}
