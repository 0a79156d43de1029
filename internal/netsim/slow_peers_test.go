package netsim

import (
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

// TestSlowPeersFindEachOther guards against routers that never become members of one fleet because each
// answers later than the other waits.
func TestSlowPeersFindEachOther(t *testing.T) {
	const timeout = 30_000.0 // ms
	for _, delay := range []float64{50, 300, 450, 600, 1000, 1500, 3000} {
		network := New(1)
		network.Link = Link{Delay: delay}
		network.StartFleet(3, fleet.DefaultSettings(), AllProtocols)
		joined := func() bool { return network.StateCounts(network.Hosts[2])[membership.Alive] == 2 }
		if !network.RunUntil(network.Now+timeout, 50, joined) {
			t.Errorf("delay %.0f ms: the others do not see the last router alive within %.0f ms", delay, timeout)
		}
	}
}
