package routing

import "time"

// limiter is an adaptive concurrency limit for what shares a bottleneck: a link, a source's fills,
// fetches from the origin, writes, or all that is sent to one cache. While it is active a request
// first looks for a copy; only known misses wait, for a few fills.
//
// Symptom guarded against: a full link, or a server that slows: more work made all slower until
// none was in time.
type limiter struct {
	utilization   float64 // smoothed; 1: as busy as the bottleneck should be
	active        bool
	inflight      int           // from this router
	limit         float64       // of inflight, while active
	updatedAt     time.Duration // latest change of limit
	lastStartedAt time.Duration // of the newest
	pausedUntil   time.Duration // none is admitted before
}

// admits reports whether one more may start. A limit below one is kept by pauses.
func (l *limiter) admits(now time.Duration) bool {
	if !l.active {
		return true
	}
	belowLimit := float64(l.inflight) < max(l.limit, 1)
	return belowLimit && now >= l.pausedUntil
}

// track adds delta to what is in flight.
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

// observe takes one observation of the bottleneck's utilization. The limit starts from what is in
// flight and is lifted only when it was not needed for a while, or all that waits would fill the
// link again. zoneFraction is the router's part of its zone's requests.
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

// updateLimit ends the limiter or lowers or raises its limit, by so many update intervals.
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

// recordPace records how busy a served attempt shows its bottleneck to be.
func (r *Router) recordPace(attempt *attempt, outcome *Outcome, transfer transfer) {
	responseTime := outcome.Duration - outcome.SourceWait
	pace := responseTime.Seconds() / max(transfer.seconds, minPaceSeconds)
	status := outcome.CacheStatus
	sourceWaitUnknown := status.filled() && r.settings.HitStatusOnly
	switch {
	case status == CacheStatusUnknown:
		// Else rejections alone would be observed, and a limiter never be lifted.
		attempt.target.limiter.observe(r.now, unknownStatusUtilization, r.zoneFraction)
	case !transfer.known || sourceWaitUnknown:
		// The pace tells nothing.
	case status.filled():
		r.recordFillPace(attempt, outcome.SourceWait, pace)
	case status == Hit || status == StaleHit:
		attempt.target.limiter.observe(r.now, pace/hitPaceTarget, r.zoneFraction)
	}
}

// recordFillPace records the pace of a fill and how busy it shows its source to be.
func (r *Router) recordFillPace(attempt *attempt, sourceWait time.Duration, pace float64) {
	r.fillLatency += (sourceWait.Seconds() - r.fillLatency) * limiterGain / fillGainDivisor
	cappedPace := min(pace, fillPaceCapFactor*fillPaceTarget)
	r.fillPace += (cappedPace - r.fillPace) * limiterGain / fillGainDivisor
	hitPace := max(attempt.target.limiter.utilization*hitPaceTarget, 1)
	utilization := pace / hitPace / fillPaceTarget
	attempt.source.limiter.observe(r.now, utilization, r.zoneFraction)
}

// recordOriginLoad records how busy the origin is: for writes it counts less than for reads, so
// that they still come through.
func (r *Router) recordOriginLoad(attempt *attempt, utilization float64) {
	r.originLimiter.observe(r.now, utilization, r.zoneFraction)
	if attempt.request.class.Write {
		attempt.source.limiter.observe(r.now, utilization/writeHeadroom, r.zoneFraction)
	}
}

// recordLinkLoad records the use of the zone's link as one of its caches measured it, if it did.
func (r *Router) recordLinkLoad(load LoadReport) {
	measured := load.LinkUtilization >= 0 // not so for NaN
	if measured {
		r.linkLimiter.observe(r.now, load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
	}
}

// handlePeerLoadReport uses the report of a cache of this zone if it is recent.
func (r *Router) handlePeerLoadReport(report PeerLoadReport) {
	if report.Age >= peerReportMaxAge {
		return
	}
	if containsServer(r.readyByRole[cache], report.Server) {
		r.recordLinkLoad(report.Load)
	}
}
