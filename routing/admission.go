package routing

import (
	"cmp"
	"slices"
	"time"
)

// enqueue queues a request while it can still be answered in time, and ends it otherwise. Only the
// first call for a request sets a timer. A request that is queued again must therefore not wait past
// queueUntil, even if its expected latency has fallen since: no other timer would end its wait.
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

// rejectOrFail sends the final answer to a request that will not be served. While an attempt is in
// flight it does nothing, since the outcome of the attempt decides the answer.
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

// queueValue returns the priority weight of a request per second of its transfer time.
func (r *Router) queueValue(request *request) float64 {
	weight := request.class.PriorityWeight * min(request.popularity, popularThreshold)
	transferSeconds := r.transferTime(request).Seconds()
	return weight / max(transferSeconds, minQueuedSeconds)
}

// dispatchQueue dispatches the queued requests again, in descending order of their value per second.
func (r *Router) dispatchQueue() {
	queue := r.queue
	r.queue = nil
	slices.SortStableFunc(queue, func(a, b *request) int {
		return cmp.Compare(b.valuePerSecond, a.valuePerSecond)
	})
	for _, request := range queue {
		if !request.queued {
			continue // the request has ended
		}
		request.queued = false
		r.dispatch(request)
	}
}

// expectedLatency returns how long a request that had to queue is likely to take once it is sent.
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
	// Responses that are too large to be in time at the queued pace may also queue for a short time.
	receivedAt := request.deadline - request.Timeout
	minQueueTime := request.class.LatencyObjective / minQueueDivisor
	longestLatency := request.objectiveAt - receivedAt - minQueueTime
	return max(transferTime, min(queuedLatency, longestLatency))
}

// saturated reports whether the attempts that this router has in flight at a cache have reached the
// given fraction of its quota there. The quota follows from what the cache's link sends at full pace.
// Where outcomes report no cache status, an overload would otherwise show only by late responses.
func (r *Router) saturated(server *server, fraction float64) bool {
	if !r.countsInflight() {
		return false
	}
	floor := inflightFloor(server.limiter.active)
	limit := max(floor, r.inflightQuota(server))
	return float64(server.inflight) >= limit*fraction
}

// zoneSaturated reports whether the attempts that this router has in flight at all caches together
// have reached its quota of the zone. Without this limit, eight routers that may each have two
// attempts in flight at a cache that sends six overload the link of their zone, and the retries of
// the requests that they reject keep it overloaded.
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

// canFailOver reports whether a candidate cache has ample headroom to take a request whose home cache
// is saturated. No request fails over while this router's quota at the home cache is below
// minInflight.
func (r *Router) canFailOver(home, candidate *server) bool {
	homeQuota := r.zoneFraction * overcommitFactor * home.Weight
	if homeQuota < minInflight {
		return false
	}
	return !r.saturated(candidate, failoverHeadroom)
}

// inflightFloor returns the number of attempts that a router may always have in flight, however small
// its quota is. The floor is higher while no cache's limiter is active: after a purge of everything
// had made all responses late, eighty routers with a floor of two queued at the same time and rejected
// a quarter of the requests while the caches had headroom.
func inflightFloor(limited bool) float64 {
	if limited {
		return minInflight
	}
	return minInflight + extraInflight
}

// countsInflight reports whether the number of attempts in flight is limited by the weights of caches.
func (r *Router) countsInflight() bool {
	if r.cacheStatusKnown {
		return false
	}
	return r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0
}

// inflightQuota returns the number of attempts that this router may have in flight at a cache. All
// routers of a zone have equal quotas.
func (r *Router) inflightQuota(server *server) float64 {
	quota := overcommitFactor * r.zoneFraction
	slowdownKnown := r.settings.BodyBytesPerSecond > 0
	if slowdownKnown && r.slowdownOf(server) < saturatedSlowdown {
		quota = max(quota, 1) // the cache responds in time, so other routers have few attempts in flight there
	}
	return quota * server.Weight * r.keyFraction(server)
}
