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
	return !l.active || float64(l.inflight) < max(l.limit, 1) && now >= l.pausedUntil
}

// track adds delta to what is in flight.
func (l *limiter) track(now time.Duration, delta int) {
	l.inflight += delta
	if delta > 0 {
		l.lastStartedAt = now
	} else if l.limit < 1 && l.active {
		l.pausedUntil = now + time.Duration(float64(now-l.lastStartedAt)*(1/l.limit-1))
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
	if steps < 1 {
		return
	}
	l.updatedAt = now
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
	pace := (outcome.Duration - outcome.SourceWait).Seconds() / max(transfer.seconds, minPaceSeconds)
	switch status := outcome.CacheStatus; {
	case status == CacheStatusUnknown:
		// Else rejections alone would be observed, and a limiter never be lifted.
		attempt.target.limiter.observe(r.now, unknownStatusUtilization, r.zoneFraction)
	case !transfer.known || status.filled() && r.settings.HitStatusOnly: // the fill's wait is not told
	case status.filled():
		r.fillLatency += (outcome.SourceWait.Seconds() - r.fillLatency) * limiterGain / fillGainDivisor
		fillPace := min(pace, fillPaceCapFactor*fillPaceTarget)
		r.fillPace += (fillPace - r.fillPace) * limiterGain / fillGainDivisor
		hitPace := max(attempt.target.limiter.utilization*hitPaceTarget, 1)
		attempt.source.limiter.observe(r.now, pace/hitPace/fillPaceTarget, r.zoneFraction)
	case status == Hit || status == StaleHit:
		attempt.target.limiter.observe(r.now, pace/hitPaceTarget, r.zoneFraction)
	}
}

// recordOriginLoad records how busy the origin is: for writes it counts less than for reads, so
// that they still come through.
func (r *Router) recordOriginLoad(attempt *attempt, utilization float64) {
	r.originLimiter.observe(r.now, utilization, r.zoneFraction)
	if attempt.request.class.Write {
		attempt.source.limiter.observe(r.now, utilization/writeHeadroom, r.zoneFraction)
	}
}

// recordLinkLoad records the use of the zone's link as one of its caches measured it.
func (r *Router) recordLinkLoad(load LoadReport) {
	r.linkLimiter.observe(r.now, load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
}

// handlePeerLoadReport uses the report of a cache of this zone if it is recent.
func (r *Router) handlePeerLoadReport(report PeerLoadReport) {
	recent := report.Age < peerReportMaxAge && report.Load.LinkUtilization >= 0
	if recent && containsServer(r.readyByRole[cache], report.Server) {
		r.recordLinkLoad(report.Load)
	}
}
