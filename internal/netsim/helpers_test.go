package netsim

import (
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/membership"
)

// convergedFleet returns a fleet whose routers have the same view and whose connectivity is
// established.
func convergedFleet(tb testing.TB, seed uint64, routers int) *Network {
	tb.Helper()
	network := New(seed)
	network.StartFleet(routers, fleet.DefaultSettings(), AllProtocols)
	requireConvergence(tb, network, 10_000)
	network.Run(network.Now + 8000)
	return network
}

// requireConvergence runs the network until all hosts have the same view, and returns how long that
// took, in ms. It ends the test if that takes longer than within, in ms.
func requireConvergence(tb testing.TB, network *Network, within float64) float64 {
	tb.Helper()
	start := network.Now
	if !network.RunUntil(start+within, 50, network.Converged) {
		hostsByPresentCount := map[int]int{}
		for _, host := range network.liveHosts() {
			hostsByPresentCount[host.Membership().PresentCount()]++
		}
		tb.Fatalf("views differ after %.0f ms: hosts by number of routers that they see: %v", within, hostsByPresentCount)
	}
	return network.Now - start
}

// runUntilFailed runs the network until want hosts see subject as failed. It reports an error if
// that takes longer than within, in ms.
func runUntilFailed(tb testing.TB, network *Network, subject *Host, want int, within, step float64) {
	tb.Helper()
	failed := func() bool { return network.StateCounts(subject)[membership.Failed] == want }
	if !network.RunUntil(network.Now+within, step, failed) {
		tb.Errorf("after %.0f ms, %d hosts see %s as failed, want %d; by state: %v",
			within, network.StateCounts(subject)[membership.Failed], subject.Name, want, network.StateCounts(subject))
	}
}

// countEvents counts the matching events of the hosts that the network has now. The count grows as
// the network runs.
func countEvents(network *Network, match func(host *Host, event membership.Event) bool) *int {
	count := 0
	for _, host := range network.Hosts {
		host.OnStep = func(host *Host, _ float64, out *fleet.Output) {
			for _, event := range out.Events {
				if match(host, event) {
					count++
				}
			}
		}
	}
	return &count
}

// countOwnFailures counts, from now on, how often a host itself concludes that another host has
// failed.
func countOwnFailures(network *Network) *int {
	return countEvents(network, func(host *Host, event membership.Event) bool {
		return event.Kind == membership.EventFailed && event.Update.ReportedBy == host.Self.ID
	})
}

// countFailuresExcept counts, from now on, how often a host sees a router other than subject fail.
func countFailuresExcept(network *Network, subject *Host) *int {
	return countEvents(network, func(_ *Host, event membership.Event) bool {
		return event.Kind == membership.EventFailed && event.Update.ID != subject.Self.ID
	})
}

// slotOf returns the slot in which a host runs.
func slotOf(host *Host) int {
	ip := host.Addr.Addr().As4()
	return int(ip[2])<<8 | int(ip[3])
}

// partitionBy returns a partition between the hosts whose slots are on different sides.
func partitionBy(side func(slot int) int) func(from, to *Host) bool {
	return func(from, to *Host) bool { return side(slotOf(from)) != side(slotOf(to)) }
}

// isolate returns a partition between a host and all others.
func isolate(host *Host) func(from, to *Host) bool {
	return func(from, to *Host) bool { return from == host || to == host }
}

func connectivityOf(host *Host) connectivity.Status {
	return host.Machine.(*fleet.Node).Connectivity()
}
