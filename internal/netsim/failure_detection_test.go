package netsim

import (
	"fmt"
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

func TestCrashedRouterIsFailedAtAllPeers(t *testing.T) {
	for _, routers := range []int{3, 8, 30} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			network := convergedFleet(t, 1, routers)
			ownFailures := countOwnFailures(network)
			crashed := network.Hosts[routers-1]
			network.Kill(crashed)
			runUntilFailed(t, network, crashed, routers-1, 3000, 10)
			if *ownFailures > routers-1 {
				t.Errorf("hosts concluded %d times that another host had failed, want at most %d", *ownFailures, routers-1)
			}
		})
	}
}

// One router receives all packets, but the packets that it sends are lost. All other routers mark
// it as failed, and it marks none of them as failed. It rejoins the fleet when its packets arrive
// again.
func TestReceiveOnlyRouterIsFailed(t *testing.T) {
	network := convergedFleet(t, 4, 9)
	receiveOnly := network.Hosts[4]
	network.Link.Partitioned = func(from, _ *Host) bool { return from == receiveOnly }
	runUntilFailed(t, network, receiveOnly, 8, 5000, 50)
	network.Link.Partitioned = nil
	requireConvergence(t, network, 3000)
}

// A router is paused for 30 s, and all other routers mark it as failed. When it continues, it marks
// no router as failed, and it rejoins the fleet within 3 s.
func TestRouterThatContinuesAfterStallFailsNoPeer(t *testing.T) {
	network := convergedFleet(t, 5, 8)
	stalled := network.Hosts[3]
	otherFailures := countFailuresExcept(network, stalled)
	network.Pause(stalled, 30_000)
	network.Run(network.Now + 29_900)
	if got := network.StateCounts(stalled)[membership.Failed]; got != 7 {
		t.Errorf("after a stall of 29.9 s, %d hosts see the router as failed, want 7", got)
	}
	took := requireConvergence(t, network, 3000)
	network.Run(network.Now + 20_000)
	if *otherFailures != 0 {
		t.Errorf("got %d failures of other routers, want 0; converged after %.0f ms", *otherFailures, took)
	}
}

// A fifth of all packets is lost. Other packets are late, duplicated or out of order. One router
// stalls repeatedly. No router except the stalling router is marked as failed.
func TestLossAndOneStallingRouterFailNoOther(t *testing.T) {
	network := convergedFleet(t, 6, 8)
	stalling := network.Hosts[7]
	otherFailures := countFailuresExcept(network, stalling)
	network.Link = Link{Loss: 0.2, Duplicate: 0.1, Delay: 1, Jitter: 10}
	for range 60 {
		network.Pause(stalling, 2000*network.Rng.Float64())
		network.Run(network.Now + 4000)
	}
	if *otherFailures != 0 {
		t.Errorf("got %d failures of live routers, want 0", *otherFailures)
	}
}

// The clock of one router is a day ahead, and the clock of another router runs 10% too fast. Failure
// detection works as usual, because routers do not send times to each other.
func TestClockDifferencesChangeNothing(t *testing.T) {
	network := convergedFleet(t, 15, 8)
	network.Hosts[2].Clock = func(now float64) float64 { return now + 86_400_000 }
	network.Hosts[3].Clock = func(now float64) float64 { return now * 1.1 }
	ownFailures := countOwnFailures(network)
	network.Run(network.Now + 60_000)
	if *ownFailures != 0 {
		t.Errorf("got %d failures of live routers, want 0", *ownFailures)
	}
	crashed := network.Hosts[5]
	network.Kill(crashed)
	runUntilFailed(t, network, crashed, 7, 4000, 50)
	requireConvergence(t, network, 3000)
}

// Every packet that was sent before is delivered once more. The replayed packets change nothing: a
// router that left the fleet does not come back, and live routers remain members.
func TestReplayedPacketsChangeNothing(t *testing.T) {
	network := New(7)
	network.StartFleet(5, fleet.DefaultSettings(), AllProtocols)
	var recorded []Datagram
	network.OnSend = func(sent Datagram) { recorded = append(recorded, sent) }
	requireConvergence(t, network, 10_000)
	network.Run(network.Now + 5000)
	network.Leave(network.Hosts[4])
	network.Run(network.Now + 5000)
	network.OnSend = nil
	const hour = 3_600_000
	network.Run(network.Now + hour/6)

	changes := countEvents(network, func(_ *Host, event membership.Event) bool {
		switch event.Kind {
		case membership.EventJoined, membership.EventBack, membership.EventFailed, membership.EventSuspect:
			return true
		}
		return false
	})
	replaysBefore := network.Hosts[0].Membership().Replays
	for _, datagram := range recorded {
		network.Inject(datagram)
	}
	network.Run(network.Now + 30_000)
	if *changes != 0 {
		t.Errorf("got %d membership changes after %d replayed packets, want 0", *changes, len(recorded))
	}
	if got := network.Hosts[0].Membership().Replays; got == replaysBefore {
		t.Errorf("the first router counted %d replays, want more than the %d before the test replayed packets", got, replaysBefore)
	}
}
