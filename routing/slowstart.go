package routing

import (
	"slices"
	"time"
)

// startWarming determines from which time a listed server warms up. inFirstList is true for an entry of the
// first endpoint list. If the start time of the server is reported, the server warms up from that time, and
// a new start time resets what is known about its health. If the start time is not reported, a
// server of the first endpoint list does not warm up, and any other server warms up from the time of its
// first entry.
func (r *Router) startWarming(server *server, listed Server, inFirstList bool) {
	if inFirstList {
		server.warmingSince = longAgo
	}
	if listed.StartedAt != 0 && listed.StartedAt != server.StartedAt {
		server.warmingSince = listed.StartedAt
		server.resetHealth()
	}
}

// resetHealth forgets what is known about the health of a server. It is called when another process has
// the server's ID.
func (s *server) resetHealth() {
	s.unresponsive = false
	s.consecutiveFailures = 0
	s.ejections = 0
	s.ejectedUntil = 0
	s.errorRate = 0
	s.errorRateUpdatedAt = 0
	s.connectionLostAt = 0
	s.slowdown = decayingRatio{}
}

// capacityFraction returns the capacity of a server at the given time, as a fraction of its full capacity.
func (r *Router) capacityFraction(server *server, at time.Duration) float64 {
	slowStart := &r.slowStarts[server.role]
	warmed := max(0, (at-server.warmingSince).Seconds()/max(slowStart.Duration.Seconds(), minSlowStartSeconds))
	fraction := slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*warmed
	return min(1, max(minCapacityFraction, fraction))
}

// withinSlowStartBudget reports whether this router may send the given work to a server. Only for a warming
// server, the router has a budget: the work that it may send within an overload window. The budget derives
// from the throughput of the server's peers. If the budget is less than the work of one attempt, the router
// sends one attempt in some overload windows and none in the others. It chooses these windows at random, so
// that all routers together stay within the sum of their budgets. If each router always sent one attempt,
// many routers with little traffic would send their attempts at the same time, and these attempts together
// would overload the server.
func (r *Router) withinSlowStartBudget(server *server, work float64) bool {
	if r.capacityFraction(server, r.now) >= 1 {
		return true
	}
	sent := r.sentInWindow(server)
	budget := r.slowStartBudget(server)
	if sent+work < budget {
		return true
	}
	if sent != 0 {
		return false
	}
	window := r.slowStarts[server.role].OverloadWindow
	windowNumber := uint64(r.now / max(window, 1))
	draw := r.seed ^ mix64(uint64(server.ID)^mix64(windowNumber))
	return uniform(draw) < budget/work
}

// sentInWindow returns the work that this router sent to a server during the latest overload window, in
// seconds of transfer time.
func (r *Router) sentInWindow(server *server) float64 {
	windowStart := r.now - r.slowStarts[server.role].OverloadWindow
	sent := 0.0
	for _, entry := range server.recentWork {
		if entry.updatedAt > windowStart {
			sent += entry.value
		}
	}
	return sent
}

// slowStartBudget returns the work, in seconds of transfer time, that this router may send to a warming
// server within an overload window.
func (r *Router) slowStartBudget(server *server) float64 {
	slowStart := &r.slowStarts[server.role]
	window := slowStart.OverloadWindow
	overload := slowStartMargin * slowStart.OverloadFactor
	capacity := r.capacityFraction(server, r.now-window)
	return overload * capacity * r.expectedThroughput(server.role) * r.weight(server) * window.Seconds()
}

// expectedThroughput returns the work per second and per unit of weight that this router expects servers of
// a role (cache, parent or origin) to complete. The result is the highest throughput seen. If weights are
// capacities, the result is at least the router's share of the throughput that the weights imply. Without
// this lower bound, a router that has seen no throughput would reject all requests. A router has seen none
// after its own restart or a restart of its whole zone.
func (r *Router) expectedThroughput(role role) float64 {
	promised := 0.0
	if r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0 {
		promised = weightConfidence * r.zoneFraction
		if role == parent {
			promised = weightConfidence / float64(max(r.settings.Routers, 1))
		}
	}
	return max(r.peakThroughput[role], promised)
}

// recordSentWork records work sent to a server. When the endpoint list reports a restart of the server,
// work that was sent earlier stays recorded.
func (r *Router) recordSentWork(server *server, work float64) {
	expired := r.now - r.slowStarts[server.role].OverloadWindow
	server.recentWork = slices.DeleteFunc(server.recentWork, func(entry decayingSum) bool {
		return entry.updatedAt <= expired
	})
	server.recentWork = append(server.recentWork, decayingSum{r.now, work})
}

// recordThroughput records work that a server completed. It ignores work that a server completes after
// its removal, because this work does not show the throughput of the remaining servers.
func (r *Router) recordThroughput(server *server, work float64) {
	if !server.ready {
		return
	}
	role := server.role
	sum := r.throughput[role].add(r.now, throughputTimeConstant, work/throughputTimeConstant.Seconds())
	r.peakThroughput[role] = max(r.peakThroughput[role], sum/r.totalWeight[role])
}
