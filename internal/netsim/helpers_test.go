package netsim

import (
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/membership"
)

// convergedFleet starts a fleet and runs it until all routers have the same view. It then runs the
// fleet for 8 s more, until the routers' connectivity is established.
func convergedFleet(tb testing.TB, seed uint64, routers int) *Network {
	tb.Helper()
	network := New(seed)
	network.StartFleet(routers, fleet.DefaultSettings(), AllProtocols)
	requireConvergence(tb, network, 10_000)
	network.Run(network.Now + 8000)
	return network
}

// requireConvergence runs the network until all hosts have the same view, and returns how long
// convergence took. It ends the test if convergence takes longer than the timeout. Both times are
// in ms.
func requireConvergence(tb testing.TB, network *Network, timeout float64) float64 {
	tb.Helper()
	start := network.Now
	if !network.RunUntil(start+timeout, 50, network.Converged) {
		hostsByPresentCount := map[int]int{}
		for _, host := range network.liveHosts() {
			hostsByPresentCount[host.Membership().PresentCount()]++
		}
		tb.Fatalf("views still differ after %.0f ms; number of hosts by the number of routers that they see: %v", timeout, hostsByPresentCount)
	}
	return network.Now - start
}

// runUntilFailed runs the network until the expected number of hosts sees the subject as failed. It
// checks the number once per interval. It reports an error if the number is not reached before the
// timeout. Both times are in ms.
func runUntilFailed(tb testing.TB, network *Network, subject *Host, expected int, timeout, interval float64) {
	tb.Helper()
	failed := func() bool { return network.StateCounts(subject)[membership.Failed] == expected }
	if !network.RunUntil(network.Now+timeout, interval, failed) {
		tb.Errorf("after %.0f ms, %d hosts see %s as failed, want %d; by state: %v",
			timeout, network.StateCounts(subject)[membership.Failed], subject.Name, expected, network.StateCounts(subject))
	}
}

// countEvents returns a count of the events for which the predicate is true. The count starts at 0
// and grows as the network runs. It includes only hosts that were started before the call.
func countEvents(network *Network, predicate func(host *Host, event membership.Event) bool) *int {
	count := 0
	for _, host := range network.Hosts {
		host.OnStep = func(host *Host, _ float64, out *fleet.Output) {
			for _, event := range out.Events {
				if predicate(host, event) {
					count++
				}
			}
		}
	}
	return &count
}

// countOwnFailures returns a count of how often a host concludes that another host has failed.
// Failures that a host only learns of from other hosts do not count. The count grows as the network
// runs.
func countOwnFailures(network *Network) *int {
	return countEvents(network, func(host *Host, event membership.Event) bool {
		return event.Kind == membership.EventFailed && event.Update.ReportedBy == host.Self.ID
	})
}

// countFailuresExcept returns a count of how often a host marks a router other than the subject as
// failed. The count grows as the network runs.
func countFailuresExcept(network *Network, subject *Host) *int {
	return countEvents(network, func(_ *Host, event membership.Event) bool {
		return event.Kind == membership.EventFailed && event.Update.ID != subject.Self.ID
	})
}

// slotOf returns the slot of a host, that is, the slot for which Addr returns the host's address.
func slotOf(host *Host) int {
	ip := host.Addr.Addr().As4()
	return int(ip[2])<<8 | int(ip[3])
}

// partitionBy returns a function for Link.Partitioned. It separates hosts whose slots are on
// different sides. The argument sideOf returns the side of a slot.
func partitionBy(sideOf func(slot int) int) func(from, to *Host) bool {
	return func(from, to *Host) bool { return sideOf(slotOf(from)) != sideOf(slotOf(to)) }
}

// isolate returns a function for Link.Partitioned. It separates a host from all other hosts.
func isolate(host *Host) func(from, to *Host) bool {
	return func(from, to *Host) bool { return from == host || to == host }
}

func connectivityOf(host *Host) connectivity.Status {
	return host.Machine.(*fleet.Node).Connectivity()
}
