package transport

import (
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

const (
	minPublishInterval = 20.0   // ms between two snapshots
	maxPublishInterval = 1000.0 // ms, while nothing changes
)

// publishIfDue publishes a snapshot where something changed or the latest is old, but not
// too often. It returns when to step next: wakeAt, or earlier where it has to wait.
func (t *Transport) publishIfDue(now float64, viewChanged bool, wakeAt float64) float64 {
	age := now - t.publishedAt
	t.publishPending = t.publishPending || viewChanged || age >= maxPublishInterval
	if !t.publishPending {
		return wakeAt
	}
	if age < minPublishInterval {
		return min(wakeAt, t.publishedAt+minPublishInterval)
	}
	t.publishStatus(now)
	return wakeAt
}

// publishStatus replaces the snapshots.
func (t *Transport) publishStatus(now float64) {
	view := t.node.View()
	t.members.Store(view)
	status := fleet.NewStatus(view, t.node.Connectivity(), t.options.FleetName)
	status.At = now
	status.Bound = t.bound
	for _, server := range t.node.Store.Bans() {
		status.Bans = append(status.Bans, server.String())
	}
	t.status.Store(status)
	t.publishPending = false
	t.publishedAt = now
}

// Status returns the latest snapshot, which does not change. It allocates nothing.
func (t *Transport) Status() *fleet.Status { return t.status.Load() }

// Members returns the latest view as the state machines have it. It does not change.
func (t *Transport) Members() *membership.View { return t.members.Load() }
