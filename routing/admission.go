package routing

import (
	"cmp"
	"slices"
	"time"
)

// enqueue queues a request if it can still be answered in time, and ends the request otherwise. For a read,
// only the first call sets a timer, which fires at queueUntil. A read that is queued again must therefore
// not wait past queueUntil, even if its expected latency has fallen since the first call: no later timer
// would end the wait. A valuePerSecond of 0 marks the first call. For a write, valuePerSecond is always 0,
// so each call sets queueUntil and a timer.
func (r *Router) enqueue(request *request) {
	latestStart := request.objectiveAt - r.expectedLatency(request)
	if request.valuePerSecond == 0 {
		request.queueUntil = latestStart
		request.valuePerSecond = r.queueValue(request)
		queueTime := max(0, request.queueUntil-r.now)
		r.setTimer(request, queueTime, timerQueueExpired)
	}
	if min(request.queueUntil, latestStart) <= r.now {
		r.rejectOrFail(request)
		return
	}
	request.queued = true
	r.queue = append(r.queue, request)
}

// rejectOrFail sends the final answer to a request that will not be served. If an attempt of the
// request is in flight, rejectOrFail does nothing: the outcome of that attempt decides the answer.
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

// queueValue returns the value of a queued request: its priority weight times its popularity, which counts
// up to popularThreshold, divided by its transfer time in seconds.
func (r *Router) queueValue(request *request) float64 {
	weight := request.class.PriorityWeight * min(request.popularity, popularThreshold)
	transferSeconds := r.transferTime(request).Seconds()
	return weight / max(transferSeconds, minQueuedSeconds)
}

// dispatchQueue dispatches the queued requests again, in descending order of valuePerSecond.
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

// expectedLatency returns the expected time from the end of a request's wait in the queue to its
// response.
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
	// At queuedPace, a large response would miss its objective even without a wait. The request for such a
	// response may still queue for a short time.
	receivedAt := request.deadline - request.Timeout
	minQueueTime := request.class.LatencyObjective / minQueueDivisor
	longestLatency := request.objectiveAt - receivedAt - minQueueTime
	return max(transferTime, min(queuedLatency, longestLatency))
}

// saturated reports whether the number of attempts that this router has in flight at a cache has reached
// the given fraction of the router's quota at that cache. The quota is the router's share of the attempts
// that may be in flight there. It derives from the number of transfers that the cache's link carries at
// full pace. Without the quota, a router whose outcomes report no cache status would notice an overload
// only by late responses.
func (r *Router) saturated(server *server, fraction float64) bool {
	if !r.countsInflight() {
		return false
	}
	floor := inflightFloor(server.limiter.active)
	limit := max(floor, r.inflightQuota(server))
	return float64(server.inflight) >= limit*fraction
}

// zoneSaturated reports whether the number of attempts that this router has in flight at all caches
// together has reached the sum of its quotas, its shares of the attempts that may be in flight at each of
// these caches. Without the limit of this sum, routers with small quotas would overload the link of their
// zone. For example, eight routers with two attempts each would have 16 attempts in flight at a cache that
// sends six transfers at full pace. Requests would then be rejected, and the retries of their clients would
// keep the link overloaded.
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

// canFailOver reports whether a request may move from its saturated home cache to a candidate cache. At the
// candidate, the router must have fewer attempts in flight than the fraction failoverHeadroom of its limit
// there. No request moves while the router's quota, its share of the attempts that may be in flight at the
// home cache, is below minInflight. So few simultaneous attempts are a matter of chance and show no
// overload.
func (r *Router) canFailOver(home, candidate *server) bool {
	homeQuota := r.zoneFraction * overcommitFactor * home.Weight
	if homeQuota < minInflight {
		return false
	}
	return !r.saturated(candidate, failoverHeadroom)
}

// inflightFloor returns the number of attempts that a router may always have in flight, even if its quota
// is smaller. limited tells whether the limiter of a cache is active. This number, the floor, is higher
// while no limiter is active. If it were always two, eighty routers would all queue requests when a purge
// of everything makes all responses late. They would reject a quarter of the requests while the caches
// still had headroom.
func inflightFloor(limited bool) float64 {
	if limited {
		return minInflight
	}
	return minInflight + extraInflight
}

// countsInflight reports whether the weights of caches limit the number of attempts in flight.
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
		quota = max(quota, 1) // other routers have few attempts in flight at a cache that responds in time
	}
	return quota * server.Weight * r.keyFraction(server)
}
