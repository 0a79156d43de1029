// Package zonelease has what the services share that one router of a zone performs for the
// others while it holds a lease: how they learn of the lease, of the zone's routers and of the
// time, and how they send.
package zonelease

import (
	"garnetline/internal/clock"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/metrics"
)

// Options are what each of these services works with. No function may block.
type Options struct {
	Zone string

	// Valid returns the fencing token of a lease that this router holds now.
	Valid func(leaseName string) (fencingToken uint64, ok bool)
	// ZonePeers returns the other routers of the zone that are alive.
	ZonePeers func() []membership.ID
	// Send sends a message to another router.
	Send func(to membership.ID, channel fragment.Channel, message []byte)

	Clock   clock.Clock // the boot clock
	Metrics *metrics.Registry
}
