package routing

import "time"

// available tells whether s may be chosen: not resting and, when its rest is over
// but it has not answered since, with nothing else out.
func (r *Router) available(s *server) bool {
	return s.ready && r.now >= s.ejectedUntil && (s.ejections == 0 || s.inflight == 0)
}

// recordFailure books a failure of s. Set aside it rests, twice as long each time.
func (r *Router) recordFailure(s *server) {
	s.consecutiveFailures++
	if (s.consecutiveFailures >= consecutiveFailureLimit || s.ejections > 0 || r.isOutlier(s)) &&
		r.now >= s.ejectedUntil {
		s.ejectedUntil = r.now + min(firstEjectionTime<<min(s.ejections, 8), maxEjectionTime)
		s.ejections++
	}
}

// isOutlier tells whether s fails far more than its best peer. Symptom guarded against: a
// parent that failed its fills looked well, by hits that name it; its errors went to caches.
func (r *Router) isOutlier(s *server) bool {
	least := s.errorRate
	for _, x := range r.readyByRole[s.role] {
		least = min(least, x.errorRate)
	}
	return s.errorRate > outlierErrorMargin+2*least
}

// moreErrorProne is the one of cache and source that fails more of what it has a part in.
func (a *attempt) moreErrorProne() *server {
	return choose(a.source.errorRate > a.target.errorRate, a.source, a.target)
}

// recordSuccess books a success of s. Symptom guarded against: a server that was silent and
// answers again has most likely restarted, cold, before the list tells. It might hurt
// one that was cut off.
func (r *Router) recordSuccess(s *server) {
	if s.unresponsive && s.ejections > 1 && s.warmingSince < r.now-maxEjectionTime {
		s.warmingSince = r.now
	}
	s.consecutiveFailures, s.unresponsive, s.lastResponseAt = 0, false, r.now
	if !r.isOutlier(s) {
		s.ejections, s.ejectedUntil = 0, 0
	}
}

// checkInterval is how long an attempt may take before one asks why.
func (r *Router) checkInterval(q *request) time.Duration {
	return max(100*time.Millisecond, q.class.LatencyObjective/2+r.transferTime(q))
}

// checkOverdue judges an attempt that takes longer than it should. Symptom guarded against: a
// server that went silent, which neither answers nor refuses. A cache that has not been
// heard since the attempt was sent is blamed itself; if it has answered others,
// the source is, unless it is heard too, as it is by hits that name it: then what
// fails more than its peers. It might hurt where little is sent.
func (r *Router) checkOverdue(a *attempt) {
	q := a.request
	if r.now > a.sentAt+r.longestObjective && a.suggestsOriginOverload() {
		r.recordOriginLoad(a, (r.now-a.sentAt).Seconds()/r.longestObjective.Seconds())
	}
	if r.settings.BodyBytesPerSecond > 0 && !q.class.Write { // overdue, it tells before it ends
		lag := (r.now - a.sentAt).Seconds() / (r.transferTime(q).Seconds() + responseTimeAllowance)
		lag = max(lag, a.target.slowdown.value(r.now, slowdownTimeConstant))
		a.target.slowdown.observe(r.now, slowdownTimeConstant, slowdownGain, min(lag, slowdownCap))
	}
	bad := a.target
	if a.target.lastResponseAt > a.sentAt {
		bad = a.source
	}
	// A cache heard of lately is alive: a thin router hears little of each, and took the
	// slowness of a flush for silence; eighty of them cancelled and filled elsewhere again.
	alive := bad.lastResponseAt > a.sentAt || bad.role == cache && bad.lastResponseAt > r.now-maxEjectionTime
	if !alive {
		bad.unresponsive = true
		r.recordFailure(bad)
	} else if a.overdueChecks++; a.overdueChecks == 3 {
		r.recordErrorRates(a, true)
		if bad = a.moreErrorProne(); r.isOutlier(bad) {
			r.recordFailure(bad)
			alive = false
		}
	}
	switch {
	case r.now+r.checkInterval(q) > q.deadline: // too late for anything else
	case alive || r.available(bad):
		r.emit(SetTimer{r.checkInterval(q), uint64(q.ID)<<timerKindBits | timerCheckAttempt})
	case !r.mayAttempt(q):
	case r.settings.CanCancel && q.class.Idempotency == Idempotent:
		q.excluded = append(q.excluded, bad)
		r.emit(CancelAttempt{q.ID, a.index})
	}
}

// suggestsOriginOverload tells whether an attempt that takes long speaks for a full origin. Symptom
// guarded against: one lost answer to a write, while others took their usual
// time, had all misses wait for the origin's ration.
func (a *attempt) suggestsOriginOverload() bool {
	return (a.fromOrigin || a.request.class.Write) && a.source.lastResponseAt <= a.sentAt
}

// recordOutcome books an outcome with the servers that had a part in it.
func (r *Router) recordOutcome(a *attempt, o Outcome) {
	slow := o.Result == TimedOut && a.suggestsOriginOverload() ||
		(a.fromOrigin || a.request.class.Write) && o.CacheStatus == SourceUnreachable
	if slow {
		r.recordOriginLoad(a, max(rejectionUtilization, o.Duration.Seconds()/r.longestObjective.Seconds()))
	}
	if o.Result == Canceled || o.Result == NotSent || o.Result == TimedOut {
		return // no fault of a server: one that is silent is found by look
	}
	a.target.lastResponseAt = r.now
	r.cacheStatusKnown = r.cacheStatusKnown || o.CacheStatus != CacheStatusUnknown && !r.settings.HitStatusOnly
	if o.Result == Served || o.Result == ServerError {
		r.recordErrorRates(a, o.Result != Served)
	}
	switch {
	case o.Result == Served:
		r.recordServed(a, o)
	case slow || a.failedWithSharedFill(o.CacheStatus): // the origin's fault, or of a source that nobody knows
	case o.CacheStatus == SourceRejected || o.CacheStatus == SourceUnreachable:
		a.source.limiter.observe(r.now, rejectionUtilization, r.zoneFraction)
		r.recordFailure(a.source)
	case o.CacheStatus == OriginFailed || a.target.role == origin:
		r.recordOriginLoad(a, rejectionUtilization)
	case o.Result == Rejected && a.moreErrorProne() != a.target && r.isOutlier(a.source):
		r.recordFailure(a.source)
	case o.Result == Rejected || o.CacheStatus == FillRejected:
		a.target.limiter.observe(r.now, rejectionUtilization, r.zoneFraction)
	case o.Result == NotCached:
		r.recordSuccess(a.target)
	case o.Result == ServerError:
		r.recordFailure(a.moreErrorProne())
	// All attempts on one connection break at once.
	case o.Result == ConnectFailed || a.sentAt >= a.target.connectionLostAt:
		a.target.connectionLostAt = r.now
		r.recordFailure(a.target)
	}
}

// recordServed books a success: what the servers carried and, where the
// sending time is known, how crowded they are.
func (r *Router) recordServed(a *attempt, o Outcome) {
	q := a.request
	work, known := r.transferSeconds(q)
	told := o.BodyBytes > 0 && r.settings.BodyBytesPerSecond > 0 && !q.class.Write
	if told {
		work, known = float64(o.BodyBytes)/r.settings.BodyBytesPerSecond, true
		lag := o.Duration.Seconds() / (work + responseTimeAllowance)
		a.target.slowdown.observe(r.now, slowdownTimeConstant, slowdownGain, min(lag, slowdownCap))
	}
	r.recordSuccess(a.target)
	r.recordThroughput(a.target, work)
	filled := o.CacheStatus == Filled || o.CacheStatus == FilledByOrigin
	// Symptom guarded against: without notes a source was never heard of and was
	// blamed for every slow attempt, until all parents rested.
	if a.source != a.target && (filled || o.CacheStatus == JoinedFill || o.CacheStatus == CacheStatusUnknown) {
		r.recordSuccess(a.source)
		r.recordThroughput(a.source, work)
	}
	if o.CacheStatus == FilledByOrigin {
		r.recordOriginLoad(a, o.SourceWait.Seconds()/r.longestObjective.Seconds())
	} else if q.class.Write {
		r.recordOriginLoad(a, o.Duration.Seconds()/r.longestObjective.Seconds())
	}
	pace := (o.Duration - o.SourceWait).Seconds() / max(work, 0.02)
	switch {
	case !known || filled && r.settings.HitStatusOnly: // its wait is not told
	case filled:
		r.fillLatency += (o.SourceWait.Seconds() - r.fillLatency) * limiterGain / 2
		r.fillPace += (min(pace, 2*fillPaceTarget) - r.fillPace) * limiterGain / 2
		hitPace := max(a.target.limiter.utilization*hitPaceTarget, 1)
		a.source.limiter.observe(r.now, pace/hitPace/fillPaceTarget, r.zoneFraction)
	case o.CacheStatus == CacheStatusUnknown:
	case o.CacheStatus == Hit || o.CacheStatus == StaleHit:
		a.target.limiter.observe(r.now, pace/hitPaceTarget, r.zoneFraction)
	}
	if o.CacheStatus == CacheStatusUnknown { // else refusals alone would be felt, and a gate never open again
		a.target.limiter.observe(r.now, unknownStatusUtilization, r.zoneFraction)
	}
	if r.hasSize(q) {
		return
	}
	if took := o.Duration.Seconds(); !told && (!known || took < work) {
		work = took
	}
	r.transferTimes.put(q.chunkKey(), work)
	if told || !known || o.CacheStatus == Hit {
		*q.meanTransferTime += (work - *q.meanTransferTime) * meanTransferTimeGain
	}
}
