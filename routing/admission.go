package routing

import (
	"cmp"
	"slices"
	"time"
)

// enqueue keeps a request back while it can still be in time, else ends it. Its first timer stands:
// if the latency that is expected of it falls later on, it must not wait for a second one.
func (r *Router) enqueue(request *request) {
	if request.valuePerSecond == 0 {
		request.queueUntil = request.objectiveAt - r.expectedLatency(request)
		value := request.class.PriorityWeight * min(request.popularity, popularThreshold)
		request.valuePerSecond = value / max(r.transferTime(request).Seconds(), minQueuedSeconds)
		r.emit(SetTimer{max(0, request.queueUntil-r.now), timerToken(request, timerQueueExpired)})
	}
	if min(request.queueUntil, request.objectiveAt-r.expectedLatency(request)) <= r.now {
		r.rejectOrFail(request)
		return
	}
	request.queued = true
	r.queue = append(r.queue, request)
}

// dispatchQueue dispatches the queued requests again, those of the highest value a second first.
func (r *Router) dispatchQueue() {
	queue := r.queue
	r.queue = nil
	slices.SortStableFunc(queue, func(a, b *request) int {
		return cmp.Compare(b.valuePerSecond, a.valuePerSecond)
	})
	for _, request := range queue {
		if request.queued {
			request.queued = false
			r.dispatch(request)
		}
	}
}

// expectedLatency is how long a request that had to queue is likely to take.
func (r *Router) expectedLatency(request *request) time.Duration {
	if request.class.Write {
		return request.class.LatencyObjective / 2
	}
	transferTime := r.transferTime(request)
	if request.cacheMissed {
		pace := max(queuedPace, r.fillPace)
		return secondsToDuration(r.fillLatency + pace*transferTime.Seconds())
	}
	// The largest are never in time at the queued pace, and may queue a little too.
	spared := request.objectiveAt - request.deadline + request.Timeout - request.class.LatencyObjective/2
	return max(transferTime, min(secondsToDuration(queuedPace*transferTime.Seconds()), spared))
}

// saturated reports whether a cache has as many attempts in flight from this router as its link
// sends at full pace, or a part of that.
//
// Symptom guarded against: without cache status only late responses tell that.
func (r *Router) saturated(server *server, part float64) bool {
	if !r.countsInflight() {
		return false
	}
	return float64(server.inflight) >= max(inflightFloor(server.limiter.active), r.inflightQuota(server))*part
}

// zoneSaturated reports whether all caches together have as many attempts in flight from this
// router as they send.
//
// Symptom guarded against: eight routers, each allowed two at a cache that sends six, jammed the
// link of their zone, and what they rejected kept it jammed.
func (r *Router) zoneSaturated() bool {
	if !r.countsInflight() {
		return false
	}
	quota := 0.0
	inflight := 0
	limited := false
	for _, server := range r.readyByRole[cache] {
		quota += r.inflightQuota(server)
		inflight += server.inflight
		limited = limited || server.limiter.active
	}
	return float64(inflight) >= max(inflightFloor(limited), quota)
}

// canFailOver reports whether a cache has ample headroom to take a request from its saturated home.
// Where the quota at one cache is under the least that is always allowed, no object moves.
func (r *Router) canFailOver(home, candidate *server) bool {
	if r.zoneFraction*overcommitFactor*home.Weight < minInflight {
		return false
	}
	return !r.saturated(candidate, failoverHeadroom)
}

// inflightFloor is what a router keeps in flight however small its quota: one more where no cache's
// limiter is active.
//
// Symptom guarded against: a purge of everything made all responses late, eighty routers queued at
// two each at once, and a quarter was rejected while the caches had headroom.
func inflightFloor(limited bool) float64 {
	if limited {
		return minInflight
	}
	return minInflight + extraInflight
}

// countsInflight reports whether attempts in flight can be compared with weights.
func (r *Router) countsInflight() bool {
	return r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0 && !r.cacheStatusKnown
}

// inflightQuota is what this router may have in flight at a cache, all routers of its zone alike.
func (r *Router) inflightQuota(server *server) float64 {
	quota := overcommitFactor * r.zoneFraction
	if r.settings.BodyBytesPerSecond > 0 && r.slowdownOf(server) < saturatedSlowdown {
		quota = max(quota, 1) // other routers have little in flight there
	}
	return quota * server.Weight * r.keyFraction(server)
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
		r.fillLatency += (outcome.SourceWait.Seconds() - r.fillLatency) * limiterGain / 2
		r.fillPace += (min(pace, 2*fillPaceTarget) - r.fillPace) * limiterGain / 2
		hitPace := max(attempt.target.limiter.utilization*hitPaceTarget, 1)
		attempt.source.limiter.observe(r.now, pace/hitPace/fillPaceTarget, r.zoneFraction)
	case status == Hit || status == StaleHit:
		attempt.target.limiter.observe(r.now, pace/hitPaceTarget, r.zoneFraction)
	}
}

// handlePeerLoadReport uses the report of a cache of this zone if it is recent.
func (r *Router) handlePeerLoadReport(report PeerLoadReport) {
	recent := report.Age < peerReportMaxAge && report.Load.LinkUtilization >= 0
	if recent && containsServer(r.readyByRole[cache], report.Server) {
		r.recordLinkLoad(report.Load)
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
	switch {
	case l.utilization < limiterActivation/2 && used < max(l.limit, 2)/2:
		l.active = false
	case l.utilization > 1:
		decrease := (used/l.utilization - l.limit) * limiterGain * min(steps, maxDecreaseSteps)
		l.limit = max(minZoneLimit*zoneFraction, l.limit+decrease)
	case used >= l.limit-1:
		l.limit *= 1 + limitGrowth*steps
	}
}
