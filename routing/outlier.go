package routing

import "time"

// available reports whether a server may be chosen. The server must be ready and not ejected. After the
// end of an ejection, the server is probed with one attempt at a time until it has succeeded: it may be
// chosen only while no other attempt at it is in flight.
func (r *Router) available(server *server) bool {
	if !server.ready || r.now < server.ejectedUntil {
		return false
	}
	probing := server.ejections > 0
	return !probing || server.inflight == 0
}

// AppendEjected appends server IDs to ids and returns the extended slice. It appends the ID of each server
// that is listed as ready and is either ejected or has not succeeded since the end of its ejection.
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
// twice as long as the previous ejection, up to maxEjectionTime.
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

// recordSuccess records a success of a server. It ends the ejection of the server if the server is no
// outlier. A server that was unresponsive and responds again has most likely restarted. recordSuccess
// therefore begins a slow start of the server, before the endpoint list reports the restart. If the server
// was only cut off from the network and did not restart, the slow start gives it less load than it could
// take.
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

// isOutlier reports whether a server's error rate is far above the lowest error rate among its peers. If
// error rates were not compared, a parent whose fills fail would look healthy: hits that name the parent as
// source succeed, and the failures of its fills would be attributed to caches.
func (r *Router) isOutlier(server *server) bool {
	least := server.errorRate
	for _, peer := range r.readyByRole[server.role] {
		least = min(least, peer.errorRate)
	}
	return server.errorRate > outlierErrorMargin+outlierErrorRatio*least
}

// recordErrorRates updates the error rates of the target and the source of an attempt. failed tells
// whether the attempt failed.
func (r *Router) recordErrorRates(attempt *attempt, failed bool) {
	for _, server := range [...]*server{attempt.target, attempt.source} {
		elapsed := (r.now - server.errorRateUpdatedAt).Seconds()
		gain := min(errorRateGain, elapsed) // simultaneous failures have one cause, so they count as one failure
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
		// The fault lies with the origin, or with a fill source that this router does not know.
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

// sourceServed reports whether the success of an attempt also counts as a success of the source. A success
// with an unknown cache status counts for the source. If it did not, no source would ever count as
// responding in a deployment whose outcomes report no cache status. Every slow attempt would be attributed
// to its source, and all parents would be ejected.
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
		target.connectionLostAt = r.now // earlier attempts on the connection also fail; they do not count
		r.recordFailure(target)
	}
}

// checkOverdue handles an attempt that takes longer than expected. It may eject a server, and it may
// cancel the attempt so that the request is sent to another server. This check detects unresponsive
// servers, which neither serve nor reject. If a router has little traffic, checkOverdue may eject a server
// that is only slow.
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
		r.setTimer(request, interval, timerCheckAttempt)
	case movable && r.mayAttempt(request):
		request.excluded = append(request.excluded, suspect)
		r.emit(CancelAttempt{ID: request.ID, Attempt: attempt.index})
	}
}

// recordOverdue derives the load of the origin and the slowdown of the target from the time that an
// unfinished attempt has taken, and records them.
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

// checkInterval returns the time between two checks of an attempt. The same time passes between the start
// of the attempt and its first check.
func (r *Router) checkInterval(request *request) time.Duration {
	return max(minCheckInterval, request.class.LatencyObjective/checkObjectiveDivisor+r.transferTime(request))
}

// findOverdueFault returns the server that an overdue attempt most likely waits for, and whether this
// server is at fault. The suspect is the source if the target has responded since the attempt was sent, and
// the target otherwise. A suspect that has not responded recently is at fault. For a suspect that has
// responded recently, the error rates of the target and the source decide at check number
// overdueChecksToFault: the server with the higher rate is at fault if it is an outlier. Responses alone do
// not suffice as evidence, because a source also counts as responding when hits that name it as source
// succeed.
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

// respondedRecently reports whether a server has responded since the time sentAt. For a cache, a response
// within recentResponseWindow is enough, because a router with few requests receives few responses from
// each cache. Without the window, such a router would consider a cache unresponsive that is only slow,
// for example after a purge of everything. Eighty such routers would cancel their attempts, and other
// caches would have to fill the objects again.
func (r *Router) respondedRecently(server *server, sentAt time.Duration) bool {
	if server.lastResponseAt > sentAt {
		return true
	}
	return server.role == cache && server.lastResponseAt > r.now-recentResponseWindow
}

// suggestsOriginOverload reports whether a slow attempt indicates that the origin is overloaded. The
// attempt does not indicate an overload if its source has responded to another attempt since this
// attempt was sent. Without this condition, the loss of a single response to a write would activate the
// origin's limiter, and all misses would wait.
func (a *attempt) suggestsOriginOverload() bool {
	return a.asksOrigin() && a.source.lastResponseAt <= a.sentAt
}

// extendEjection prolongs an ejection, up to maxEjectionExtension after the event. It never starts or
// ends an ejection.
func (r *Router) extendEjection(event ExtendEjection) {
	server := r.readyServer(event.Server)
	if server == nil || server.ejections == 0 {
		return
	}
	if event.Until > server.ejectedUntil {
		server.ejectedUntil = min(event.Until, r.now+maxEjectionExtension)
	}
}

// requireProbe makes the next request to a server a probe. It does nothing if the server recently served
// this router and has not failed since.
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
