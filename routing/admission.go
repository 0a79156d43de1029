package routing

import (
	"cmp"
	"slices"
	"time"
)

// expectedLatency is how long serving q is likely to take where it must wait: by its sending time.
func (r *Router) expectedLatency(q *request) time.Duration {
	switch {
	case q.class.Write:
		return q.class.LatencyObjective / 2
	case !q.cacheMissed: // the largest are never in time at that pace, and may wait a little too
		s, most := r.transferTime(q), q.objectiveAt-q.deadline+q.Timeout-q.class.LatencyObjective/2
		return max(s, min(secondsToDuration(queuedPace*s.Seconds()), most))
	}
	return secondsToDuration(r.fillLatency + max(queuedPace, r.fillPace)*r.transferTime(q).Seconds())
}

// saturated tells whether a cache has as much out from this router as its link sends at full
// pace, or a part of that. Symptom guarded against: without notes only late answers tell that.
func (r *Router) saturated(s *server, part float64) bool {
	return r.countsInflight() &&
		float64(s.inflight) >= max(inflightFloor(s.limiter.active), r.inflightQuota(s))*part
}

// zoneSaturated tells whether all caches together have as much out from this router as they
// send. Symptom guarded against: eight routers, each allowed two at a cache that sends
// six, jammed the link of their location, and what they refused kept it jammed.
func (r *Router) zoneSaturated() bool {
	most, out, full := 0.0, 0, false
	for _, s := range r.readyByRole[cache] {
		most, out, full = most+r.inflightQuota(s), out+s.inflight, full || s.limiter.active
	}
	return r.countsInflight() && float64(out) >= max(inflightFloor(full), most)
}

// inflightFloor is what a router keeps out however thin its part: one more where no cache is
// known to be full. Symptom guarded against: a flush made all answers long, eighty
// routers held at two at once, and a quarter was refused while the caches had room.
func inflightFloor(full bool) float64 { return choose(full, minInflight, minInflight+extraInflight) }

// countsInflight tells whether what is out counts against weights.
func (r *Router) countsInflight() bool {
	return r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0 && !r.cacheStatusKnown
}

// inflightQuota is what this router may have out at a cache, all of its location alike.
func (r *Router) inflightQuota(s *server) float64 {
	most := overcommitFactor * r.zoneFraction
	if r.settings.BodyBytesPerSecond > 0 && s.slowdown.value(r.now, slowdownTimeConstant) < saturatedSlowdown {
		most = max(most, 1) // others have little out there
	}
	return most * s.Weight * r.keyFraction(s)
}

// enqueue keeps a request back while it can be in time. Its first wake-up stands: if
// its need falls later on, it still must not wait for a second one that never comes.
func (r *Router) enqueue(q *request) {
	if q.valuePerSecond == 0 {
		q.queueUntil = q.objectiveAt - r.expectedLatency(q)
		q.valuePerSecond = q.class.PriorityWeight * min(q.popularity, popularThreshold) /
			max(r.transferTime(q).Seconds(), 0.01)
		r.emit(SetTimer{max(0, q.queueUntil-r.now), uint64(q.ID)<<timerKindBits | timerQueueExpired})
	}
	if min(q.queueUntil, q.objectiveAt-r.expectedLatency(q)) <= r.now {
		r.rejectOrFail(q)
		return
	}
	q.queued = true
	r.queue = append(r.queue, q)
}

// dispatchQueue tries the held requests again, the most worth a second first.
func (r *Router) dispatchQueue() {
	held := r.queue
	r.queue = nil
	slices.SortStableFunc(held, func(a, b *request) int {
		return cmp.Compare(b.valuePerSecond, a.valuePerSecond)
	})
	for _, q := range held {
		if q.queued {
			q.queued = false
			r.dispatch(q)
		}
	}
}

func (r *Router) handlePeerLoadReport(v PeerLoadReport) {
	if v.Age < time.Second && v.Load.LinkUtilization >= 0 && containsServer(r.readyByRole[cache], v.Server) {
		r.linkLimiter.observe(r.now, v.Load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
	}
}

// recordOriginLoad books how full the origin is: for reads at half of what it is for
// writes, which then still come through.
func (r *Router) recordOriginLoad(a *attempt, x float64) {
	r.originLimiter.observe(r.now, x, r.zoneFraction)
	if a.request.class.Write {
		a.source.limiter.observe(r.now, x/1.5, r.zoneFraction)
	}
}

// limiter rations what shares a bottleneck: a link, a source's known fills, fetches from the
// origin, writes, or all that is sent to one cache. Symptom guarded against: a full link, or
// a server that slows; more work made all slower until none was in time. So while it is
// full a request first looks for a copy; only known misses wait, for a few fills.
type limiter struct {
	utilization                float64       // how full the bottleneck is, smoothed; 1: as full as it should be
	active                     bool          // it rations
	inflight                   int           // what this router has under way there
	limit                      float64       // how much that may be
	updatedAt                  time.Duration // when limit was last moved
	lastStartedAt, pausedUntil time.Duration // when the newest was sent; until then no further one is
}

// admits tells whether there is room for one more. A limit below one is kept by
// pauses between one and the next.
func (g *limiter) admits(now time.Duration) bool {
	return !g.active || float64(g.inflight) < max(g.limit, 1) && now >= g.pausedUntil
}

// observe takes one observation of how full the bottleneck is. The ration starts from
// what is out and is lifted only when it was not needed for a while, or all that
// waits would fill the link again. part is this router's of its location's requests.
func (g *limiter) observe(now time.Duration, x, part float64) {
	steps := min(float64((now-g.updatedAt)/limitUpdateInterval), 10)
	g.utilization += (min(x, 4) - g.utilization) * limiterGain * min(max(steps, 1), 2)
	if !g.active && g.utilization > limiterActivation {
		g.active, g.limit = true, max(initialZoneLimit*part, float64(g.inflight))
	}
	if steps < 1 {
		return
	}
	g.updatedAt = now
	out := min(float64(g.inflight)+1, g.limit)
	switch {
	case g.utilization < limiterActivation/2 && out < max(g.limit, 2)/2:
		g.active = false
	case g.utilization > 1:
		g.limit = max(minZoneLimit*part, g.limit+(out/g.utilization-g.limit)*limiterGain*min(steps, 2.5))
	case out >= g.limit-1:
		g.limit *= 1 + 0.05*steps
	}
}
