package routing

import "slices"

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

// recordOverdue records what an attempt tells before it ends, by how long it takes already.
func (r *Router) recordOverdue(attempt *attempt) {
	elapsed := r.now - attempt.sentAt
	if elapsed > r.longestObjective && attempt.suggestsOriginOverload() {
		r.recordOriginLoad(attempt, elapsed.Seconds()/r.longestObjective.Seconds())
	}
	request, target := attempt.request, attempt.target
	if r.settings.BodyBytesPerSecond > 0 && !request.class.Write {
		slowdown := elapsed.Seconds() / (r.transferTime(request).Seconds() + responseTimeAllowance)
		r.recordSlowdown(target, max(slowdown, r.slowdownOf(target)))
	}
}

// recordLinkLoad records the use of the zone's link as one of its caches measured it.
func (r *Router) recordLinkLoad(load LoadReport) {
	r.linkLimiter.observe(r.now, load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
}

// recordSlowdown records how slow one response of a server was.
func (r *Router) recordSlowdown(server *server, slowdown float64) {
	server.slowdown.observe(r.now, slowdownTimeConstant, slowdownGain, min(slowdown, slowdownCap))
}

// recordSentWork records work sent to a server: one that restarted unlisted counts it too.
func (r *Router) recordSentWork(server *server, work float64) {
	expired := r.now - r.slowStarts[server.role].OverloadWindow
	server.recentWork = slices.DeleteFunc(server.recentWork, func(piece decayingSum) bool {
		return piece.updatedAt <= expired
	})
	server.recentWork = append(server.recentWork, decayingSum{r.now, work})
}

// recordThroughput records work that a server completed; what one completes after its removal
// tells nothing of the others.
func (r *Router) recordThroughput(server *server, work float64) {
	if !server.ready {
		return
	}
	role := server.role
	sum := r.throughput[role].add(r.now, throughputTimeConstant, work/throughputTimeConstant.Seconds())
	r.peakThroughput[role] = max(r.peakThroughput[role], sum/r.totalWeight[role])
}

// slowdownOf is the smoothed slowdown of a server now.
func (r *Router) slowdownOf(server *server) float64 {
	return server.slowdown.value(r.now, slowdownTimeConstant)
}
