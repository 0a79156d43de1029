package routing

import "time"

// available reports whether a server may be chosen: it is not ejected and, until it has responded
// after an ejection, nothing else is in flight to it.
func (r *Router) available(server *server) bool {
	if !server.ready || r.now < server.ejectedUntil {
		return false
	}
	probing := server.ejections > 0
	return !probing || server.inflight == 0
}

// AppendEjected appends to ids the servers listed as ready that are ejected, or probed and have not
// responded since, and returns the result.
func (r *Router) AppendEjected(ids []ServerID) []ServerID {
	for _, server := range r.servers {
		if server.ready && server.ejections > 0 {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// UnavailableCount returns how many servers listed as ready are not chosen at the time of the latest
// event.
func (r *Router) UnavailableCount() int64 {
	count := int64(0)
	for _, server := range r.servers {
		if server.ready && !r.available(server) {
			count++
		}
	}
	return count
}

// recordFailure records a failure of a server, which may eject it, each time for twice as long.
func (r *Router) recordFailure(server *server) {
	server.consecutiveFailures++
	if r.now < server.ejectedUntil {
		return
	}
	failing := server.consecutiveFailures >= consecutiveFailureLimit
	probeFailed := server.ejections > 0
	if failing || probeFailed || r.isOutlier(server) {
		doublings := min(server.ejections, maxEjectionDoublings)
		server.ejectedUntil = r.now + min(firstEjectionTime<<doublings, maxEjectionTime)
		server.ejections++
	}
}

// recordSuccess records a success of a server and ends its ejection.
//
// Symptom guarded against: a server that was unresponsive and responds again has most likely
// restarted and warms up before the endpoint list tells. It might hurt one that was cut off.
func (r *Router) recordSuccess(server *server) {
	if server.unresponsive && server.ejections > 1 && server.warmingSince < r.now-maxEjectionTime {
		server.warmingSince = r.now
	}
	server.consecutiveFailures = 0
	server.unresponsive = false
	server.lastResponseAt = r.now
	if !r.isOutlier(server) {
		server.ejections = 0
		server.ejectedUntil = 0
	}
}

// isOutlier reports whether a server fails far more than its best peer.
//
// Symptom guarded against: a parent that failed its fills looked well, by hits that name it, and
// its errors were attributed to caches.
func (r *Router) isOutlier(server *server) bool {
	least := server.errorRate
	for _, peer := range r.readyByRole[server.role] {
		least = min(least, peer.errorRate)
	}
	return server.errorRate > outlierErrorMargin+outlierErrorRatio*least
}

// recordErrorRates records with both servers of an attempt whether it failed.
func (r *Router) recordErrorRates(attempt *attempt, failed bool) {
	for _, server := range [...]*server{attempt.target, attempt.source} {
		elapsed := (r.now - server.errorRateUpdatedAt).Seconds()
		gain := min(errorRateGain, elapsed) // what fails at the same time has one cause
		server.errorRate *= 1 - gain
		server.errorRateUpdatedAt = r.now
		if failed && !r.cacheStatusKnown {
			server.errorRate = min(errorRateCap, server.errorRate+gain)
		}
	}
}

// moreErrorProne returns the one of target and source that fails more of its attempts.
func (a *attempt) moreErrorProne() *server {
	if a.source.errorRate > a.target.errorRate {
		return a.source
	}
	return a.target
}

// recordOutcome records the end of an attempt with the servers that took part in it.
func (r *Router) recordOutcome(attempt *attempt, outcome Outcome) {
	originSlow := attempt.showsSlowOrigin(&outcome)
	if originSlow {
		utilization := outcome.Duration.Seconds() / r.longestObjective.Seconds()
		r.recordOriginLoad(attempt, max(rejectionUtilization, utilization))
	}
	switch outcome.Result {
	case Canceled, NotSent, TimedOut:
		return // no server's fault: an unresponsive one is found by checkOverdue
	}
	attempt.target.lastResponseAt = r.now
	if outcome.CacheStatus != CacheStatusUnknown && !r.settings.HitStatusOnly {
		r.cacheStatusKnown = true
	}
	served := outcome.Result == Served
	failed := outcome.Result == ServerError
	if served || failed {
		r.recordErrorRates(attempt, failed)
	}
	switch {
	case served:
		r.recordServed(attempt, &outcome)
	case originSlow || attempt.failedWithSharedFill(outcome.CacheStatus):
		// It is the origin's fault, or of a source that is not known here.
	default:
		r.attributeFailure(attempt, &outcome)
	}
}

// recordServed records what a served attempt tells of its servers, the origin and the object's size.
func (r *Router) recordServed(attempt *attempt, outcome *Outcome) {
	transfer := r.measureTransfer(attempt.request, outcome)
	if transfer.measured {
		slowdown := outcome.Duration.Seconds() / (transfer.seconds + responseTimeAllowance)
		r.recordSlowdown(attempt.target, slowdown)
	}
	r.recordSuccess(attempt.target)
	r.recordThroughput(attempt.target, transfer.seconds)
	if attempt.source != attempt.target && outcome.CacheStatus.sourceServed() {
		r.recordSuccess(attempt.source)
		r.recordThroughput(attempt.source, transfer.seconds)
	}
	if outcome.CacheStatus == FilledByOrigin {
		r.recordOriginLoad(attempt, outcome.SourceWait.Seconds()/r.longestObjective.Seconds())
	} else if attempt.request.class.Write {
		r.recordOriginLoad(attempt, outcome.Duration.Seconds()/r.longestObjective.Seconds())
	}
	r.recordPace(attempt, outcome, transfer)
	r.learnTransferTime(attempt.request, outcome, transfer)
}

// sourceServed reports whether a success may be the source's too.
//
// Symptom guarded against: without cache status a source never counted as responding and was at
// fault for every slow attempt, until all parents were ejected.
func (s CacheStatus) sourceServed() bool {
	return s.filled() || s == JoinedFill || s == CacheStatusUnknown
}

// showsSlowOrigin reports whether a failed attempt tells of an origin that is too slow.
func (a *attempt) showsSlowOrigin(outcome *Outcome) bool {
	if outcome.Result == TimedOut && a.suggestsOriginOverload() {
		return true
	}
	return a.asksOrigin() && outcome.CacheStatus == SourceUnreachable
}

// attributeFailure records a failure with the server whose fault it is.
func (r *Router) attributeFailure(attempt *attempt, outcome *Outcome) {
	target, source := attempt.target, attempt.source
	status := outcome.CacheStatus
	rejected := outcome.Result == Rejected
	switch {
	case status == SourceRejected || status == SourceUnreachable:
		source.limiter.observe(r.now, rejectionUtilization, r.zoneFraction)
		r.recordFailure(source)
	case status == OriginFailed || target.role == origin:
		r.recordOriginLoad(attempt, rejectionUtilization)
	case rejected && attempt.moreErrorProne() != target && r.isOutlier(source):
		r.recordFailure(source)
	case rejected || status == FillRejected:
		target.limiter.observe(r.now, rejectionUtilization, r.zoneFraction)
	case outcome.Result == NotCached:
		r.recordSuccess(target)
	case outcome.Result == ServerError:
		r.recordFailure(attempt.moreErrorProne())
	case outcome.Result == ConnectFailed || attempt.sentAt >= target.connectionLostAt:
		target.connectionLostAt = r.now // all attempts on one connection are lost at the same time
		r.recordFailure(target)
	}
}

// checkOverdue handles an attempt that takes longer than it should: it may eject a server, and
// cancel the attempt to send its request elsewhere.
//
// Symptom guarded against: a server that became unresponsive, which neither serves nor rejects. It
// might hurt where little is sent.
func (r *Router) checkOverdue(attempt *attempt) {
	request := attempt.request
	r.recordOverdue(attempt)
	suspect, atFault := r.findOverdueFault(attempt)
	interval := r.checkInterval(request)
	movable := r.settings.CanCancel && request.class.Idempotency == Idempotent
	switch {
	case r.now+interval > request.deadline:
		// It is too late for anything else.
	case !atFault || r.available(suspect):
		r.emit(SetTimer{Delay: interval, Token: timerToken(request, timerCheckAttempt)})
	case movable && r.mayAttempt(request):
		request.excluded = append(request.excluded, suspect)
		r.emit(CancelAttempt{ID: request.ID, Attempt: attempt.index})
	}
}

// recordOverdue records what an attempt tells before it ends, by how long it takes already.
func (r *Router) recordOverdue(attempt *attempt) {
	elapsed := r.now - attempt.sentAt
	if elapsed > r.longestObjective && attempt.suggestsOriginOverload() {
		r.recordOriginLoad(attempt, elapsed.Seconds()/r.longestObjective.Seconds())
	}
	request, target := attempt.request, attempt.target
	bytesTell := r.settings.BodyBytesPerSecond > 0 && !request.class.Write
	if !bytesTell {
		return
	}
	fullPaceSeconds := r.transferTime(request).Seconds() + responseTimeAllowance
	slowdown := elapsed.Seconds() / fullPaceSeconds
	r.recordSlowdown(target, max(slowdown, r.slowdownOf(target)))
}

// checkInterval is how long an attempt may take until its next check.
func (r *Router) checkInterval(request *request) time.Duration {
	return max(minCheckInterval, request.class.LatencyObjective/checkObjectiveDivisor+r.transferTime(request))
}

// findOverdueFault returns the server that an overdue attempt most likely waits for, and whether
// that is at fault. A target that has not responded since the attempt was sent is suspected itself;
// if it has responded to others, the source is, unless that has responded too, as it does by hits
// that name it: then what fails more than its peers.
func (r *Router) findOverdueFault(attempt *attempt) (suspect *server, atFault bool) {
	suspect = attempt.target
	if attempt.target.lastResponseAt > attempt.sentAt {
		suspect = attempt.source
	}
	if !r.respondedLately(suspect, attempt.sentAt) {
		suspect.unresponsive = true
		r.recordFailure(suspect)
		return suspect, true
	}
	attempt.overdueChecks++
	if attempt.overdueChecks != overdueChecksToFault {
		return suspect, false
	}
	r.recordErrorRates(attempt, true)
	suspect = attempt.moreErrorProne()
	if !r.isOutlier(suspect) {
		return suspect, false
	}
	r.recordFailure(suspect)
	return suspect, true
}

// respondedLately reports whether a server has responded since a time or, for a cache, lately.
//
// Symptom guarded against: a router with few requests receives few responses of each cache, and took
// caches that were slow after a purge of everything for unresponsive; eighty routers canceled their
// attempts and had other caches fill the objects again.
func (r *Router) respondedLately(server *server, since time.Duration) bool {
	if server.lastResponseAt > since {
		return true
	}
	return server.role == cache && server.lastResponseAt > r.now-recentResponseWindow
}

// suggestsOriginOverload reports whether an attempt that takes long tells of an overloaded origin.
//
// Symptom guarded against: one lost response to a write, while others took their usual time, had
// all misses wait for the origin's limiter.
func (a *attempt) suggestsOriginOverload() bool {
	return a.asksOrigin() && a.source.lastResponseAt <= a.sentAt
}

// extendEjection prolongs an ejection, within a bound; it never begins nor ends one.
func (r *Router) extendEjection(event ExtendEjection) {
	server := r.readyServer(event.Server)
	if server == nil || server.ejections == 0 {
		return
	}
	if event.Until > server.ejectedUntil {
		server.ejectedUntil = min(event.Until, r.now+maxEjectionExtension)
	}
}

// requireProbe has the next request to a server probe it, unless it served this router lately.
func (r *Router) requireProbe(event RequireProbe) {
	server := r.readyServer(event.Server)
	if server == nil || server.ejections > 0 {
		return
	}
	servedLately := r.now <= server.lastResponseAt+recentSuccessWindow
	if server.consecutiveFailures > 0 || !servedLately {
		server.ejections = 1
		server.ejectedUntil = r.now
	}
}
