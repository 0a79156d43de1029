package routing

import "time"

// capacityFraction is the least share of its capacity that s has at a time.
func (r *Router) capacityFraction(s *server, at time.Duration) float64 {
	part := max(0, (at-s.warmingSince).Seconds()/max(r.slowStarts[s.role].Duration.Seconds(), 1e-3))
	return min(1, max(0.01, r.slowStarts[s.role].InitialCapacity+(1-r.slowStarts[s.role].InitialCapacity)*part))
}

// withinSlowStartBudget tells whether a cold server can take more work from this router, by what its
// peers carried. Where that is less than one piece of work, one goes in as many spans as it
// pays for, drawn from the seed: the sum holds. Symptom guarded against: many routers that
// each send little find an empty server at once, and the least of each pushes it over.
func (r *Router) withinSlowStartBudget(s *server, work float64) bool {
	if r.capacityFraction(s, r.now) >= 1 {
		return true
	}
	sent, ramp := 0.0, r.slowStarts[s.role]
	for _, c := range s.recentWork {
		if c.updatedAt > r.now-ramp.OverloadWindow {
			sent += c.value
		}
	}
	budget := slowStartMargin * ramp.OverloadFactor * r.capacityFraction(s, r.now-ramp.OverloadWindow) *
		r.expectedThroughput(s.role) * r.weight(s) * ramp.OverloadWindow.Seconds()
	lot := r.seed ^ mix64(uint64(s.ID)^mix64(uint64(r.now/max(ramp.OverloadWindow, 1))))
	return sent+work < budget || sent == 0 && uniform(lot) < budget/work
}

// expectedThroughput is the work a second, per weight, that this router may count on: the most it
// saw, or its share of what weights tell where they count transfers. Symptom guarded
// against: a router that restarted, or whose location came back cold, refused all.
func (r *Router) expectedThroughput(role role) float64 {
	told := 0.0
	if r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0 {
		if told = weightConfidence * r.zoneFraction; role == parent {
			told = weightConfidence / float64(max(r.settings.Routers, 1))
		}
	}
	return max(r.peakThroughput[role], told)
}
