// Package zonelease defines the dependencies that are common to zone services. A zone service runs
// on the one router of a zone that holds the service's lease, and serves the zone's other routers.
package zonelease

import (
	"garnetline/internal/clock"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/metrics"
)

// Options are the dependencies of a zone service. None of the functions may block.
type Options struct {
	Zone string

	// Valid returns the fencing token of a lease; ok is false if this router does not hold the
	// lease now.
	Valid func(leaseName string) (fencingToken uint64, ok bool)
	// ZonePeers returns the other routers of the zone that are alive.
	ZonePeers func() []membership.ID
	// Send sends a message to another router.
	Send func(to membership.ID, channel fragment.Channel, message []byte)

	Clock   clock.Clock // the boot clock
	Metrics *metrics.Registry
}
