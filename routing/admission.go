package routing

import (
	"cmp"
	"slices"
	"time"
)

// enqueue keeps a request back while it can still be in time, else ends it. Its first timer stands:
// if the latency that is expected of it falls later on, it must not wait for a second one.
func (r *Router) enqueue(request *request) {
	latestStart := request.objectiveAt - r.expectedLatency(request)
	if request.valuePerSecond == 0 {
		request.queueUntil = latestStart
		request.valuePerSecond = r.queueValue(request)
		queueTime := max(0, request.queueUntil-r.now)
		r.emit(SetTimer{Delay: queueTime, Token: timerToken(request, timerQueueExpired)})
	}
	if min(request.queueUntil, latestStart) <= r.now {
		r.rejectOrFail(request)
		return
	}
	request.queued = true
	r.queue = append(r.queue, request)
}

// rejectOrFail gives the final answer to a request that will not be served. While an attempt is
// in flight, its outcome decides.
func (r *Router) rejectOrFail(request *request) {
	if request.inflight > 0 {
		return
	}
	maybeExecuted := request.firstMaybeExecuted() != nil
	if maybeExecuted && request.class.Idempotency != Idempotent {
		r.emit(Fail{ID: request.ID})
	} else {
		r.emit(Reject{ID: request.ID, RetryAfter: r.settings.MaxRetryAfter / retryAfterDivisor})
	}
	r.finish(request)
}

// queueValue is the priority weight of a request for each second of its transfer time.
func (r *Router) queueValue(request *request) float64 {
	weight := request.class.PriorityWeight * min(request.popularity, popularThreshold)
	transferSeconds := r.transferTime(request).Seconds()
	return weight / max(transferSeconds, minQueuedSeconds)
}

// dispatchQueue dispatches the queued requests again, those of the highest value a second first.
func (r *Router) dispatchQueue() {
	queue := r.queue
	r.queue = nil
	slices.SortStableFunc(queue, func(a, b *request) int {
		return cmp.Compare(b.valuePerSecond, a.valuePerSecond)
	})
	for _, request := range queue {
		if !request.queued {
			continue // it has ended
		}
		request.queued = false
		r.dispatch(request)
	}
}

// expectedLatency is how long a request that had to queue is likely to take.
func (r *Router) expectedLatency(request *request) time.Duration {
	if request.class.Write {
		return request.class.LatencyObjective / expectedWriteDivisor
	}
	transferTime := r.transferTime(request)
	if request.cacheMissed {
		pace := max(queuedPace, r.fillPace)
		return secondsToDuration(r.fillLatency + pace*transferTime.Seconds())
	}
	queuedLatency := secondsToDuration(queuedPace * transferTime.Seconds())
	// The largest are never in time at the queued pace, and may queue a little too.
	receivedAt := request.deadline - request.Timeout
	minQueueTime := request.class.LatencyObjective / minQueueDivisor
	longestLatency := request.objectiveAt - receivedAt - minQueueTime
	return max(transferTime, min(queuedLatency, longestLatency))
}

// saturated reports whether a cache has as many attempts in flight from this router as its link
// sends at full pace, or a part of that.
//
// Symptom guarded against: without cache status only late responses tell that.
func (r *Router) saturated(server *server, part float64) bool {
	if !r.countsInflight() {
		return false
	}
	floor := inflightFloor(server.limiter.active)
	limit := max(floor, r.inflightQuota(server))
	return float64(server.inflight) >= limit*part
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
	homeQuota := r.zoneFraction * overcommitFactor * home.Weight
	if homeQuota < minInflight {
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
	if r.cacheStatusKnown {
		return false
	}
	return r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0
}

// inflightQuota is what this router may have in flight at a cache, all routers of its zone alike.
func (r *Router) inflightQuota(server *server) float64 {
	quota := overcommitFactor * r.zoneFraction
	slowdownKnown := r.settings.BodyBytesPerSecond > 0
	if slowdownKnown && r.slowdownOf(server) < saturatedSlowdown {
		quota = max(quota, 1) // other routers have little in flight there
	}
	return quota * server.Weight * r.keyFraction(server)
}
