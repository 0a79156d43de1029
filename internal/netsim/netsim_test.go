package netsim

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/fleet"
)

// Two runs with the same seed are identical. A run with another seed is different.
func TestRunFollowsFromSeed(t *testing.T) {
	run := func(seed uint64) string {
		network := New(seed)
		network.Link = Link{Loss: 0.1, Duplicate: 0.1, Delay: 1, Jitter: 5}
		network.StartFleet(12, fleet.DefaultSettings(), AllProtocols)
		network.Run(20_000)
		var report bytes.Buffer
		for _, host := range network.Hosts {
			fmt.Fprintln(&report, host.PacketsSent, host.BytesSent, host.Membership().Checksums())
		}
		return report.String()
	}
	first := run(5)
	if second := run(5); first != second {
		t.Errorf("two runs with seed 5 differ:\n%s\n%s", first, second)
	}
	if other := run(6); first == other {
		t.Errorf("runs with seeds 5 and 6 are identical:\n%s", first)
	}
}
