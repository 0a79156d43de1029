package routing

import "time"

// available reports whether a server may be chosen: it is ready and not ejected. After an ejection and
// until it has responded, it may be chosen only while no other attempt to it is in flight.
func (r *Router) available(server *server) bool {
	if !server.ready || r.now < server.ejectedUntil {
		return false
	}
	probing := server.ejections > 0
	return !probing || server.inflight == 0
}

// AppendEjected appends to ids the servers listed as ready that are ejected, or that have not responded
// since their ejection ended, and returns the extended slice.
func (r *Router) AppendEjected(ids []ServerID) []ServerID {
	for _, server := range r.servers {
		if server.ready && server.ejections > 0 {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// UnavailableCount returns the number of servers listed as ready that cannot be chosen at the time of
// the latest event.
func (r *Router) UnavailableCount() int64 {
	count := int64(0)
	for _, server := range r.servers {
		if server.ready && !r.available(server) {
			count++
		}
	}
	return count
}

// recordFailure records a failure of a server and may eject the server. Each consecutive ejection lasts
// twice as long as the one before, up to maxEjectionTime.
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

// recordSuccess records a success of a server and ends its ejection unless the server is still an
// outlier. A server that was unresponsive and responds again has most likely restarted, so its slow
// start begins here, before the endpoint list reports the restart. A server that was only cut off from
// the network gets less load than it could take.
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

// isOutlier reports whether a server's error rate is far above that of its best peer. Without this
// check, a parent that fails its fills looks healthy, because hits that name it as source succeed, and
// its errors are attributed to caches.
func (r *Router) isOutlier(server *server) bool {
	least := server.errorRate
	for _, peer := range r.readyByRole[server.role] {
		least = min(least, peer.errorRate)
	}
	return server.errorRate > outlierErrorMargin+outlierErrorRatio*least
}

// recordErrorRates updates the error rates of both servers of an attempt, which has failed or not.
func (r *Router) recordErrorRates(attempt *attempt, failed bool) {
	for _, server := range [...]*server{attempt.target, attempt.source} {
		elapsed := (r.now - server.errorRateUpdatedAt).Seconds()
		gain := min(errorRateGain, elapsed) // simultaneous failures have one cause and count once
		server.errorRate *= 1 - gain
		server.errorRateUpdatedAt = r.now
		if failed && !r.cacheStatusKnown {
			server.errorRate = min(errorRateCap, server.errorRate+gain)
		}
	}
}

// moreErrorProne returns the target or the source, whichever has the higher error rate.
func (a *attempt) moreErrorProne() *server {
	if a.source.errorRate > a.target.errorRate {
		return a.source
	}
	return a.target
}

// recordOutcome updates the records of the servers of an attempt that has ended.
func (r *Router) recordOutcome(attempt *attempt, outcome Outcome) {
	originSlow := attempt.showsSlowOrigin(&outcome)
	if originSlow {
		utilization := outcome.Duration.Seconds() / r.longestObjective.Seconds()
		r.recordOriginLoad(attempt, max(rejectionUtilization, utilization))
	}
	switch outcome.Result {
	case Canceled, NotSent, TimedOut:
		return // no server is at fault; checkOverdue detects unresponsive servers
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
		// The origin is at fault, or a fill source that this router does not know.
	default:
		r.attributeFailure(attempt, &outcome)
	}
}

// recordServed records what a served attempt shows about its servers, the origin and the transfer time.
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
		r.recordOriginLoad(attempt, outcome.FillWait.Seconds()/r.longestObjective.Seconds())
	} else if attempt.request.class.Write {
		r.recordOriginLoad(attempt, outcome.Duration.Seconds()/r.longestObjective.Seconds())
	}
	r.recordPace(attempt, outcome, transfer)
	r.learnTransferTime(attempt.request, outcome, transfer)
}

// sourceServed reports whether a success counts for the source too. An unknown status counts for it:
// otherwise a source would never count as responding where outcomes report no cache status, would be
// at fault for every slow attempt, and all parents would be ejected.
func (s CacheStatus) sourceServed() bool {
	return s.filled() || s == JoinedFill || s == CacheStatusUnknown
}

// showsSlowOrigin reports whether a failed attempt indicates that the origin is too slow.
func (a *attempt) showsSlowOrigin(outcome *Outcome) bool {
	if outcome.Result == TimedOut && a.suggestsOriginOverload() {
		return true
	}
	return a.asksOrigin() && outcome.CacheStatus == SourceUnreachable
}

// attributeFailure records a failure or a rejection at the server that most likely caused it.
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
		target.connectionLostAt = r.now // attempts sent before now are lost with the same connection
		r.recordFailure(target)
	}
}

// checkOverdue handles an attempt that takes longer than expected: it may eject a server, and cancel the
// attempt so that its request is sent to another server. It detects unresponsive servers, which neither
// serve nor reject. With little traffic it may eject a server that is only slow.
func (r *Router) checkOverdue(attempt *attempt) {
	request := attempt.request
	r.recordOverdue(attempt)
	suspect, atFault := r.findOverdueFault(attempt)
	interval := r.checkInterval(request)
	movable := r.settings.CanCancel && request.class.Idempotency == Idempotent
	switch {
	case r.now+interval > request.deadline:
		// The deadline is too close for another check or attempt.
	case !atFault || r.available(suspect):
		r.emit(SetTimer{Delay: interval, Token: timerToken(request, timerCheckAttempt)})
	case movable && r.mayAttempt(request):
		request.excluded = append(request.excluded, suspect)
		r.emit(CancelAttempt{ID: request.ID, Attempt: attempt.index})
	}
}

// recordOverdue records the load of the origin and the slowdown of the target that the duration of an
// unfinished attempt shows.
func (r *Router) recordOverdue(attempt *attempt) {
	elapsed := r.now - attempt.sentAt
	if elapsed > r.longestObjective && attempt.suggestsOriginOverload() {
		r.recordOriginLoad(attempt, elapsed.Seconds()/r.longestObjective.Seconds())
	}
	request, target := attempt.request, attempt.target
	slowdownKnown := r.settings.BodyBytesPerSecond > 0 && !request.class.Write
	if !slowdownKnown {
		return
	}
	fullPaceSeconds := r.transferTime(request).Seconds() + responseTimeAllowance
	slowdown := elapsed.Seconds() / fullPaceSeconds
	r.recordSlowdown(target, max(slowdown, r.slowdownOf(target)))
}

// checkInterval returns the time from the start of an attempt, or from its last check, to the next check.
func (r *Router) checkInterval(request *request) time.Duration {
	return max(minCheckInterval, request.class.LatencyObjective/checkObjectiveDivisor+r.transferTime(request))
}

// findOverdueFault returns the server that an overdue attempt most likely waits for, and whether that
// server is at fault. The suspect is the target if it has not responded since the attempt was sent, and
// otherwise the source. If the suspect has responded too, as a source seems to do by hits that name it,
// then after several checks the server with the higher error rate is at fault if it is an outlier.
func (r *Router) findOverdueFault(attempt *attempt) (suspect *server, atFault bool) {
	suspect = attempt.target
	if attempt.target.lastResponseAt > attempt.sentAt {
		suspect = attempt.source
	}
	if !r.respondedRecently(suspect, attempt.sentAt) {
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

// respondedRecently reports whether a server has responded after since or, if it is a cache, within
// recentResponseWindow. A router with few requests receives few responses of each cache. Without the
// window, such routers considered caches unresponsive that were only slow after a purge of everything:
// eighty routers canceled their attempts, and other caches had to fill the objects again.
func (r *Router) respondedRecently(server *server, since time.Duration) bool {
	if server.lastResponseAt > since {
		return true
	}
	return server.role == cache && server.lastResponseAt > r.now-recentResponseWindow
}

// suggestsOriginOverload reports whether a slow attempt indicates that the origin is overloaded. It does
// not if the source has responded to others since: otherwise the loss of a single response to a write
// makes all misses wait for the origin's limiter.
func (a *attempt) suggestsOriginOverload() bool {
	return a.asksOrigin() && a.source.lastResponseAt <= a.sentAt
}

// extendEjection prolongs an ejection by a bounded time. It never starts or ends an ejection.
func (r *Router) extendEjection(event ExtendEjection) {
	server := r.readyServer(event.Server)
	if server == nil || server.ejections == 0 {
		return
	}
	if event.Until > server.ejectedUntil {
		server.ejectedUntil = min(event.Until, r.now+maxEjectionExtension)
	}
}

// requireProbe makes the next request to a server a probe, unless the server served this router recently.
func (r *Router) requireProbe(event RequireProbe) {
	server := r.readyServer(event.Server)
	if server == nil || server.ejections > 0 {
		return
	}
	servedRecently := r.now <= server.lastResponseAt+recentSuccessWindow
	if server.consecutiveFailures > 0 || !servedRecently {
		server.ejections = 1
		server.ejectedUntil = r.now
	}
}
