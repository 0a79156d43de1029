package netsim

import (
	"fmt"
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

// All routers are restarted with their old names and IDs, one after another within seconds. At the
// end, each router is present in its second incarnation, and there are no other members.
func TestRollingRestart(t *testing.T) {
	network := convergedFleet(t, 8, 10)
	firstProcesses := append([]*Host(nil), network.Hosts...)
	for _, host := range firstProcesses {
		network.Kill(host)
		network.Run(network.Now + 150)
		network.StartHost(slotOf(host), host.Name, host.Self.ID, 2, fleet.DefaultSettings(), AllProtocols)
		network.Run(network.Now + 150)
	}
	requireConvergence(t, network, 5000)
	for _, host := range network.liveHosts() {
		for _, member := range host.Membership().View().Members {
			if got := member.Incarnation(); got != 2 {
				t.Errorf("%s sees incarnation %d of %s, want 2", host.Name, got, member.Name)
			}
		}
	}
}

// A second process of a router starts at a new address while the first process still runs at the
// old address. The fleet sees the two processes as one member at the new address. When the second
// process crashes, the first process becomes that member again, with a new incarnation.
func TestTwoProcessesOfOneRouterAreOneMember(t *testing.T) {
	network := convergedFleet(t, 10, 6)
	predecessor := network.Hosts[2]
	successor := network.StartHost(40, predecessor.Name, predecessor.Self.ID, 2, fleet.DefaultSettings(), AllProtocols)
	network.Run(network.Now + 5000)
	for _, host := range network.Hosts {
		if host == predecessor {
			if !host.Membership().View().Superseded {
				t.Error("got Superseded false in the view of the predecessor, want true")
			}
			continue
		}
		expectOneAliveMember(t, host, successor)
		if got := host.Membership().PresentCount(); got != 6 {
			t.Errorf("%s sees %d routers, want 6", host.Name, got)
		}
	}

	network.Kill(successor)
	requireConvergence(t, network, 10_000)
	self := predecessor.Membership().Self()
	if got := self.Incarnation(); got != 3 {
		t.Errorf("got incarnation %d of the predecessor after the crash of the successor, want 3", got)
	}

	last := network.StartHost(41, predecessor.Name, predecessor.Self.ID, 4, fleet.DefaultSettings(), AllProtocols)
	network.Run(network.Now + 5000)
	network.Leave(predecessor) // the predecessor must not announce that the router left, because the successor still runs
	network.Run(network.Now + 5000)
	if got := network.StateCounts(last)[membership.Alive]; got != 5 {
		t.Errorf("after the predecessor's shutdown %d hosts see the successor as alive, want 5", got)
	}
}

// expectOneAliveMember reports an error unless the observer sees exactly one alive member with the
// name and the address of the subject.
func expectOneAliveMember(tb testing.TB, observer, subject *Host) {
	tb.Helper()
	count := 0
	for _, member := range observer.Membership().View().Members {
		if member.Name == subject.Name && member.State == membership.Alive && member.Addr == subject.Addr {
			count++
		}
	}
	if count != 1 {
		tb.Errorf("%s sees %s at %v as alive %d times, want once", observer.Name, subject.Name, subject.Addr, count)
	}
}

// A sixth router has the same name as one of the first five routers by mistake. Each of the first
// five routers reports the conflict once. Both routers with that name remain members.
func TestNameConflictIsReportedAndBothStay(t *testing.T) {
	network := convergedFleet(t, 11, 5)
	conflicts := countEvents(network, func(_ *Host, event membership.Event) bool {
		return event.Kind == membership.EventConflict
	})
	first := network.Hosts[3]
	second := network.StartHost(41, first.Name, membership.ID(network.Rng.Uint64()|1), 1, fleet.DefaultSettings(), AllProtocols)
	network.Run(network.Now + 20_000)
	for _, host := range []*Host{first, second} {
		if got := network.StateCounts(host)[membership.Alive]; got != 5 {
			t.Errorf("%d hosts see %s at %v as alive, want 5", got, host.Name, host.Addr)
		}
	}
	if *conflicts != 5 {
		t.Errorf("the conflict was reported %d times, want 5: once by each of the first five routers", *conflicts)
	}
}

// One router of the fleet announces 1000 members that do not exist. The false members disappear
// again, the member lists stay within their limit, and no live router is marked as failed.
func TestFalseMembersDisappear(t *testing.T) {
	const routers = 8
	network := convergedFleet(t, 12, routers)
	genuine := map[membership.ID]bool{}
	for _, host := range network.Hosts {
		genuine[host.Self.ID] = true
	}
	genuineFailures := countEvents(network, func(_ *Host, event membership.Event) bool {
		return event.Kind == membership.EventFailed && genuine[event.Update.ID]
	})
	announceFalseMembers(network, network.Hosts[7], 1000)
	network.Run(network.Now + 5000)

	observer := network.Hosts[0].Membership()
	if got := observer.PresentCount(); got < 100 {
		t.Errorf("got %d present members after the announcement, want at least 100", got)
	}
	maxMembers := 1 + fleet.DefaultSettings().Membership.MaxMembers
	for _, host := range network.Hosts {
		if got := len(host.Membership().View().Members); got > maxMembers {
			t.Errorf("%s holds %d members, want at most %d", host.Name, got, maxMembers)
		}
	}
	network.RunUntil(network.Now+400_000, 1000, network.Converged)
	if got := observer.PresentCount(); got != routers {
		t.Errorf("got %d present routers at the end, want %d", got, routers)
	}
	if *genuineFailures != 0 {
		t.Errorf("got %d failures of live routers, want 0", *genuineFailures)
	}
}

// announceFalseMembers makes a host announce the given number of routers that do not exist.
func announceFalseMembers(network *Network, announcer *Host, count int) {
	for i := range count {
		update := membership.Update{
			ID:       membership.ID(network.Rng.Uint64() | 1),
			Revision: membership.FirstRevision(1),
			Name:     fmt.Sprintf("ghost%d", i),
			Addr:     Addr(1000 + i),
		}
		network.Step(announcer, func() { announcer.Membership().InjectUpdate(update) })
	}
}
