package netsim

import (
	"fmt"
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/connectivity"
)

// A partition splits the fleet into two or three sides. The routers of each side mark the routers of
// the other sides as failed, and their connectivity state is Partial. After the partition has healed,
// all views are the same within 3 s. The state is Together 12 s later, because a connectivity state
// improves only after a delay.
func TestPartitionHeals(t *testing.T) {
	const routers = 12
	for _, sides := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d sides", sides), func(t *testing.T) {
			network := convergedFleet(t, 2, routers)
			network.Link.Partitioned = partitionBy(func(slot int) int { return slot % sides })
			network.Run(network.Now + 15_000)
			for _, host := range network.Hosts {
				present := host.Membership().PresentCount()
				status := connectivityOf(host)
				if present != routers/sides || status.State != connectivity.Partial || status.Known != routers {
					t.Errorf("%s sees %d routers, want %d; connectivity %+v, want state partial and %d known routers",
						host.Name, present, routers/sides, status, routers)
				}
			}
			network.Link.Partitioned = nil
			took := requireConvergence(t, network, 3000)
			network.Run(network.Now + 12_000)
			for _, host := range network.Hosts {
				if got := connectivityOf(host).State; got != connectivity.Together {
					t.Errorf("%s has connectivity %v, want %v; views converged after %.0f ms", host.Name, got, connectivity.Together, took)
				}
			}
		})
	}
}

// Links between some routers are cut. Every router can still be reached, in one direction or through
// another router. No router is marked as failed.
func TestIndirectlyReachableRoutersAreNotFailed(t *testing.T) {
	betweenSides := partitionBy(func(slot int) int { return slot % 2 })
	tests := []struct {
		name        string
		partitioned func(from, to *Host) bool
	}{
		{"one direction between two routers", func(from, to *Host) bool {
			return from.Name == "r001" && to.Name == "r002"
		}},
		{"two sides with one router between", func(from, to *Host) bool {
			return from.Name != "r000" && to.Name != "r000" && betweenSides(from, to)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network := convergedFleet(t, 3, 9)
			ownFailures := countOwnFailures(network)
			network.Link.Partitioned = test.partitioned
			network.Run(network.Now + 60_000)
			if *ownFailures != 0 {
				t.Errorf("got %d failures of routers, want 0", *ownFailures)
			}
		})
	}
}

// All peers of a router have crashed. The connectivity state of the router is Alone, but the
// router still knows all of its peers. Its quotas, that is, its parts of the limits that all
// routers of the fleet share, therefore do not grow.
func TestLastRouterIsAlone(t *testing.T) {
	network := convergedFleet(t, 9, 8)
	for _, host := range network.Hosts[1:] {
		network.Kill(host)
	}
	network.Run(network.Now + 30_000)
	if got := connectivityOf(network.Hosts[0]); got.State != connectivity.Alone || got.Known != 8 {
		t.Errorf("got connectivity %+v, want alone with 8 known routers", got)
	}
}

// One of 60 routers is cut off from all others. Its connectivity state is Alone within 4 s, long
// before it has marked every other router as failed. After the partition has healed, the state is
// Together again.
func TestIsolatedRouterIsAloneSoon(t *testing.T) {
	network := convergedFleet(t, 14, 60)
	isolated := network.Hosts[7]
	expectState := func(want connectivity.State, timeout float64) {
		t.Helper()
		reached := func() bool { return connectivityOf(isolated).State == want }
		if !network.RunUntil(network.Now+timeout, 50, reached) {
			t.Errorf("after %.0f ms the isolated router has connectivity %v, want %v; it sees %d routers",
				timeout, connectivityOf(isolated).State, want, isolated.Membership().PresentCount())
		}
	}
	network.Link.Partitioned = isolate(isolated)
	expectState(connectivity.Alone, 4000)
	network.Link.Partitioned = nil
	expectState(connectivity.Together, 20_000)
}

// A router is isolated again and again, with the period that is the worst case for its
// connectivity state. Each isolation increases the delay before the state improves. The state
// deteriorates without delay.
func TestConnectivityIsDampedWhileLinkFlaps(t *testing.T) {
	network := convergedFleet(t, 13, 6)
	flapping := network.Hosts[0]
	changes := 0
	flapping.OnStep = func(_ *Host, _ float64, out *fleet.Output) {
		if out.ConnectivityChanged {
			changes++
		}
	}
	const flaps = 20
	for range flaps {
		network.Link.Partitioned = isolate(flapping)
		network.Run(network.Now + 6000)
		network.Link.Partitioned = nil
		network.Run(network.Now + 12_000)
	}
	if changes < 2 || changes > flaps {
		t.Errorf("got %d changes of connectivity in %d flaps, want from 2 to %d", changes, flaps, flaps)
	}
	network.Run(network.Now + 90_000)
	if got := connectivityOf(flapping).State; got != connectivity.Together {
		t.Errorf("after 90 s without a flap, got connectivity %v, want %v", got, connectivity.Together)
	}
}
