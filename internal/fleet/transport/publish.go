package transport

import (
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

const (
	minPublishInterval = 20.0   // shortest time between two snapshots, ms
	maxPublishInterval = 1000.0 // time between two snapshots while nothing changes, ms
)

// publishIfDue publishes a snapshot if something changed, or if the latest snapshot is
// maxPublishInterval old. If the latest snapshot is more recent than minPublishInterval, the new
// snapshot is delayed. publishIfDue returns the latest time of the next step: the argument wakeAt,
// or the time of a delayed snapshot if that is earlier.
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

// publishStatus replaces the snapshots that Status and Members return.
func (t *Transport) publishStatus(now float64) {
	view := t.node.View()
	t.members.Store(view)
	status := fleet.NewStatus(view, t.node.Connectivity(), t.options.FleetName)
	status.At = now
	status.Bound = t.bound
	for _, server := range t.node.Store.Bans() {
		status.Bans = append(status.Bans, server.String())
	}
	for _, server := range t.node.Store.DeferredEnables() {
		status.DeferredEnables = append(status.DeferredEnables, server.String())
	}
	t.status.Store(status)
	t.publishPending = false
	t.publishedAt = now
}

// Status returns the latest snapshot, which is immutable. It allocates nothing.
func (t *Transport) Status() *fleet.Status { return t.status.Load() }

// Members returns the latest view of the membership state machine, which is immutable.
func (t *Transport) Members() *membership.View { return t.members.Load() }
