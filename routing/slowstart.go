package routing

import (
	"slices"
	"time"
)

// startWarming notes when a listed server started. A new server is warming up from its start or,
// where that is not told, from now; one of the first list that tells none is not.
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

// capacityFraction is the least part of its capacity that a server has at a time.
func (r *Router) capacityFraction(server *server, at time.Duration) float64 {
	slowStart := &r.slowStarts[server.role]
	warmed := max(0, (at-server.warmingSince).Seconds()/max(slowStart.Duration.Seconds(), minSlowStartSeconds))
	fraction := slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*warmed
	return min(1, max(minCapacityFraction, fraction))
}

// withinSlowStartBudget reports whether a warming server can take more work from this router, by
// what its peers carried. Where the budget is less than one piece of work, one is sent in as many
// windows as the budget pays for, drawn by lot, so that the sum over all routers holds.
//
// Symptom guarded against: many routers that each send little find an empty server at once, and
// the least of each pushes it over.
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
	lot := r.seed ^ mix64(uint64(server.ID)^mix64(windowNumber))
	return uniform(lot) < budget/work
}

// sentInWindow is the work that this router sent to a server within its overload window, in seconds
// of transfer time.
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

// slowStartBudget is the work, in seconds of transfer time, that this router may send a warming
// server within its overload window.
func (r *Router) slowStartBudget(server *server) float64 {
	slowStart := &r.slowStarts[server.role]
	window := slowStart.OverloadWindow
	overload := slowStartMargin * slowStart.OverloadFactor
	capacity := r.capacityFraction(server, r.now-window)
	return overload * capacity * r.expectedThroughput(server.role) * r.weight(server) * window.Seconds()
}

// expectedThroughput is the work a second, per weight, that this router may count on: the highest
// it saw, or its quota of what weights promise where they count transfers.
//
// Symptom guarded against: a router that restarted, or whose zone came back warming up, rejected
// all.
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

// recordSentWork records work sent to a server: one that restarted unlisted counts it too.
func (r *Router) recordSentWork(server *server, work float64) {
	expired := r.now - r.slowStarts[server.role].OverloadWindow
	server.recentWork = slices.DeleteFunc(server.recentWork, func(piece decayingSum) bool {
		return piece.updatedAt <= expired
	})
	server.recentWork = append(server.recentWork, decayingSum{r.now, work})
}

// recordThroughput records work that a server completed; what one completes after its removal
// tells nothing of the others.
func (r *Router) recordThroughput(server *server, work float64) {
	if !server.ready {
		return
	}
	role := server.role
	sum := r.throughput[role].add(r.now, throughputTimeConstant, work/throughputTimeConstant.Seconds())
	r.peakThroughput[role] = max(r.peakThroughput[role], sum/r.totalWeight[role])
}
