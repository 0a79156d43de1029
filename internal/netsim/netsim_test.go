package netsim

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/fleet"
)

// The same seed gives the same run, to the last packet; another seed gives another run.
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
		t.Errorf("two runs of one seed differ:\n%s\n%s", first, second)
	}
	if other := run(6); first == other {
		t.Errorf("runs of two seeds are the same:\n%s", first)
	}
}
