package routing

import "time"

// limiter is an adaptive concurrency limit for the transfers that share a bottleneck: a link, a source's
// fills, fetches from the origin, writes, or all attempts sent to one cache. While a limiter on the path of
// a fill is active, a request first asks a cache only for a copy that the cache has. This lookup causes no
// fill. If it misses, the request waits until the limiter allows its fill. Without a limiter, more work on
// a full link or a slow server would slow all transfers, until no transfer ends in time.
type limiter struct {
	utilization   float64 // smoothed; 1 is the target load of the bottleneck
	active        bool
	inflight      int           // transfers of this router in flight
	limit         float64       // limit of inflight, valid while active
	updatedAt     time.Duration // time of the latest update of limit
	lastStartedAt time.Duration // start of the newest transfer
	pausedUntil   time.Duration // no transfer is admitted before this time
}

// admits reports whether one more transfer may start. A limit below 1 is enforced by pauses between
// transfers.
func (l *limiter) admits(now time.Duration) bool {
	if !l.active {
		return true
	}
	belowLimit := float64(l.inflight) < max(l.limit, 1)
	return belowLimit && now >= l.pausedUntil
}

// track adds delta to the number of transfers in flight. When a transfer ends while the limit is below 1,
// track starts a pause.
func (l *limiter) track(now time.Duration, delta int) {
	l.inflight += delta
	if delta > 0 {
		l.lastStartedAt = now
		return
	}
	if l.active && l.limit < 1 {
		busyTime := float64(now - l.lastStartedAt)
		pauseRatio := 1/l.limit - 1
		l.pausedUntil = now + time.Duration(busyTime*pauseRatio)
	}
}

// observe records one observation of the bottleneck's utilization. When the limiter becomes active, the
// limit is the number of transfers in flight, or the router's share of initialZoneLimit if that share is
// higher. The limiter becomes inactive only when utilization is low and most of the limit is unused. If it
// became inactive earlier, all waiting requests would start together and overload the bottleneck again.
// zoneFraction is the fraction of its zone's requests that the router receives.
func (l *limiter) observe(now time.Duration, utilization, zoneFraction float64) {
	steps := min(float64((now-l.updatedAt)/limitUpdateInterval), maxLimitSteps)
	weight := min(max(steps, 1), maxObservationSteps)
	l.utilization += (min(utilization, maxUtilization) - l.utilization) * limiterGain * weight
	if !l.active && l.utilization > limiterActivation {
		l.active = true
		l.limit = max(initialZoneLimit*zoneFraction, float64(l.inflight))
	}
	if steps >= 1 {
		l.updatedAt = now
		l.updateLimit(steps, zoneFraction)
	}
}

// updateLimit deactivates the limiter, lowers or raises its limit, or leaves the limit as it is. steps is
// the number of update intervals since the previous call.
func (l *limiter) updateLimit(steps, zoneFraction float64) {
	used := min(float64(l.inflight)+1, l.limit)
	idle := l.utilization < limiterActivation/limiterEndDivisor
	mostlyUnused := used < max(l.limit, limiterEndDivisor)/limiterEndDivisor
	switch {
	case idle && mostlyUnused:
		l.active = false
	case l.utilization > 1:
		decrease := (used/l.utilization - l.limit) * limiterGain * min(steps, maxDecreaseSteps)
		l.limit = max(minZoneLimit*zoneFraction, l.limit+decrease)
	case used >= l.limit-1:
		l.limit *= 1 + limitGrowth*steps
	}
}

// recordPace derives the utilization of a bottleneck from the pace of a served attempt, and records this
// utilization. The pace is the response time divided by the transfer time.
func (r *Router) recordPace(attempt *attempt, outcome *Outcome, transfer transfer) {
	responseTime := outcome.Duration - outcome.FillWait
	pace := responseTime.Seconds() / max(transfer.seconds, minPaceSeconds)
	status := outcome.CacheStatus
	fillWaitUnknown := status.filled() && r.settings.HitStatusOnly
	switch {
	case status == CacheStatusUnknown:
		// Without this observation, only rejections would be observed, and the limiter would stay active.
		attempt.target.limiter.observe(r.now, unknownStatusUtilization, r.zoneFraction)
	case !transfer.known || fillWaitUnknown:
		// The pace is unknown, so nothing is recorded.
	case status.filled():
		r.recordFillPace(attempt, outcome.FillWait, pace)
	case status == Hit || status == StaleHit:
		attempt.target.limiter.observe(r.now, pace/hitPaceTarget, r.zoneFraction)
	}
}

// recordFillPace records the latency and pace of a fill, and the utilization of its source.
func (r *Router) recordFillPace(attempt *attempt, fillWait time.Duration, pace float64) {
	r.fillLatency += (fillWait.Seconds() - r.fillLatency) * limiterGain / fillGainDivisor
	cappedPace := min(pace, fillPaceCapFactor*fillPaceTarget)
	r.fillPace += (cappedPace - r.fillPace) * limiterGain / fillGainDivisor
	hitPace := max(attempt.target.limiter.utilization*hitPaceTarget, 1)
	utilization := pace / hitPace / fillPaceTarget
	attempt.source.limiter.observe(r.now, utilization, r.zoneFraction)
}

// recordOriginLoad records the utilization of the origin. The limiter in the origin's server record limits
// writes, and observes a lower value than originLimiter, which limits reads. Writes are therefore still
// admitted when reads are limited.
func (r *Router) recordOriginLoad(attempt *attempt, utilization float64) {
	r.originLimiter.observe(r.now, utilization, r.zoneFraction)
	if attempt.request.class.Write {
		attempt.source.limiter.observe(r.now, utilization/writeHeadroom, r.zoneFraction)
	}
}

// recordLinkLoad records the utilization of the zone's link if a cache has reported it.
func (r *Router) recordLinkLoad(load LoadReport) {
	measured := load.LinkUtilization >= 0 // false for NaN
	if measured {
		r.linkLimiter.observe(r.now, load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
	}
}

// handlePeerLoadReport records the load of a cache of this zone if the report is recent.
func (r *Router) handlePeerLoadReport(report PeerLoadReport) {
	if report.Age >= peerReportMaxAge {
		return
	}
	if containsServer(r.readyByRole[cache], report.Server) {
		r.recordLinkLoad(report.Load)
	}
}
