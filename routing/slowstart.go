package routing

import (
	"slices"
	"time"
)

// startWarming records the start time of a listed server. A new server warms up from its start time or,
// if that is not reported, from now. A server of the first endpoint list without a start time does not
// warm up.
func (r *Router) startWarming(server *server, listed Server, first bool) {
	if first {
		server.warmingSince = longAgo
	}
	if listed.StartedAt != 0 && listed.StartedAt != server.StartedAt {
		server.warmingSince = listed.StartedAt
		server.consecutiveFailures = 0
		server.ejections = 0
		server.ejectedUntil = 0
	}
}

// capacityFraction returns the fraction of its full capacity that a server has at a time.
func (r *Router) capacityFraction(server *server, at time.Duration) float64 {
	slowStart := &r.slowStarts[server.role]
	warmed := max(0, (at-server.warmingSince).Seconds()/max(slowStart.Duration.Seconds(), minSlowStartSeconds))
	fraction := slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*warmed
	return min(1, max(minCapacityFraction, fraction))
}

// withinSlowStartBudget reports whether this router may send more work to a warming server. The budget
// derives from the throughput of the server's peers. If the budget is less than the work of one attempt,
// the router sends one attempt in a fraction of the overload windows. It chooses these at random, so
// that the routers together stay within their budgets. Without this rule, many routers that each send
// little find an empty server at the same time, and the minimum of each adds up to an overload.
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

// sentInWindow returns the work that this router sent to a server within the last overload window, in
// seconds of transfer time.
func (r *Router) sentInWindow(server *server) float64 {
	windowStart := r.now - r.slowStarts[server.role].OverloadWindow
	sent := 0.0
	for _, piece := range server.recentWork {
		if piece.updatedAt > windowStart {
			sent += piece.value
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

// expectedThroughput returns the work per second and per unit of weight that this router assumes a role
// to carry. It is the highest throughput seen, or the router's quota of the throughput implied by weights
// that count transfers, whichever is higher. Without the quota, a router that has restarted, or whose
// zone restarts completely, has seen no throughput and rejects all requests.
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

// recordSentWork records work sent to a server. Work sent before the endpoint list reports a restart of
// the server counts too.
func (r *Router) recordSentWork(server *server, work float64) {
	expired := r.now - r.slowStarts[server.role].OverloadWindow
	server.recentWork = slices.DeleteFunc(server.recentWork, func(piece decayingSum) bool {
		return piece.updatedAt <= expired
	})
	server.recentWork = append(server.recentWork, decayingSum{r.now, work})
}

// recordThroughput records work that a server completed. Work that a server completes after its removal
// is ignored, because it does not show what the remaining servers carry.
func (r *Router) recordThroughput(server *server, work float64) {
	if !server.ready {
		return
	}
	role := server.role
	sum := r.throughput[role].add(r.now, throughputTimeConstant, work/throughputTimeConstant.Seconds())
	r.peakThroughput[role] = max(r.peakThroughput[role], sum/r.totalWeight[role])
}
