package netsim

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/membership"
)

// settled is a fleet whose views are alike.
func convergedFleet(t testing.TB, seed uint64, n int) *Network {
	t.Helper()
	v := New(seed)
	v.StartFleet(n, fleet.DefaultSettings(), false)
	requireConvergence(t, v, 10_000)
	v.Run(v.Now + 8000) // until stances hold too
	return v
}

// alike waits until all views are.
func requireConvergence(t testing.TB, v *Network, within float64) float64 {
	t.Helper()
	at := v.Now
	if !v.RunUntil(at+within, 50, v.Converged) {
		seen := map[int]int{}
		for _, h := range v.Hosts {
			if !h.Dead {
				seen[h.Membership().PresentCount()]++
			}
		}
		t.Fatalf("views differ after %.0f ms: routers seen, by how many: %v", within, seen)
	}
	return v.Now - at
}

// spoken counts what hosts say by themselves of others that live.
func spoken(v *Network, what string) *int {
	n := 0
	for _, h := range v.Hosts {
		h.OnStep = func(h *Host, _ float64, out *fleet.Output) {
			for _, e := range out.Events {
				if e.Kind == what && (e.Update.ReportedBy == h.Self.ID || what != "suspect" && what != "failed") {
					n++
				}
			}
		}
	}
	return &n
}

func TestCrashedRouterIsFailedAtAllPeers(t *testing.T) {
	for _, n := range []int{3, 8, 30} {
		v := convergedFleet(t, 1, n)
		wrong := spoken(v, "failed")
		x := v.Hosts[n-1]
		v.Kill(x)
		at := v.Now
		if !v.RunUntil(at+3000, 10, func() bool { return v.StateCounts(x)[membership.Failed] == n-1 }) {
			t.Errorf("%d: after 3 s a killed router is %v", n, v.StateCounts(x))
		}
		if *wrong > n-1 {
			t.Errorf("%d: %d say failed, of one", n, *wrong)
		}
	}
}

// The same seed gives the same run, to the last packet.
func TestRunFollowsFromSeed(t *testing.T) {
	of := func(seed uint64) string {
		v := New(seed)
		v.Link = Link{Loss: 0.1, Duplicate: 0.1, Delay: 1, Jitter: 5}
		v.StartFleet(12, fleet.DefaultSettings(), false)
		v.Run(20_000)
		var b bytes.Buffer
		for _, h := range v.Hosts {
			fmt.Fprintln(&b, h.PacketsSent, h.BytesSent, h.Membership().Checksums())
		}
		return b.String()
	}
	if a, b := of(5), of(5); a != b || a == of(6) {
		t.Errorf("two runs of a seed differ, or two seeds do not:\n%s\n%s", a, b)
	}
}

// sides cuts all whose places are in different sides.
func partitionBy(of func(place int) int) func(a, b *Host) bool {
	place := func(h *Host) int { var n int; fmt.Sscanf(h.Name, "r%d", &n); return n }
	return func(a, b *Host) bool { return of(place(a)) != of(place(b)) }
}

// Halves and thirds fail each other, each side stays of one view and is partial; when the
// cut heals all views are alike within 3 s, and the stances after the time for more room.
func TestPartitionHeals(t *testing.T) {
	for parts := 2; parts <= 3; parts++ {
		v := convergedFleet(t, 2, 12)
		v.Link.Partitioned = partitionBy(func(p int) int { return p % parts })
		v.Run(v.Now + 15_000)
		for _, h := range v.Hosts {
			if n, s := h.Membership().PresentCount(), h.Machine.(*fleet.Node).Connectivity(); n != 12/parts || s.State != connectivity.Partial || s.Known != 12 {
				t.Errorf("cut in %d: %s sees %d there, %+v", parts, h.Name, n, s)
			}
		}
		v.Link.Partitioned = nil
		took := requireConvergence(t, v, 3000)
		v.Run(v.Now + 12_000)
		for _, h := range v.Hosts {
			if s := h.Machine.(*fleet.Node).Connectivity(); s.State != connectivity.Together {
				t.Errorf("%d parts healed after %.0f ms: %s is %v", parts, took, h.Name, s)
			}
		}
	}
}

// One that hears and is not heard, one way to one neighbour or to all but one, and two
// sides that see each other through one router alone: nobody is failed.
func TestIndirectlyReachableRoutersAreNotFailed(t *testing.T) {
	for what, cut := range map[string]func(a, b *Host) bool{
		"A does not reach B": func(a, b *Host) bool { return a.Name == "r001" && b.Name == "r002" },
		"bridge": func(a, b *Host) bool {
			return a.Name != "r000" && b.Name != "r000" && partitionBy(func(p int) int { return p % 2 })(a, b)
		},
	} {
		v := convergedFleet(t, 3, 9)
		n := spoken(v, "failed")
		v.Link.Partitioned = cut
		v.Run(v.Now + 60_000)
		if *n != 0 {
			t.Errorf("%s: %d times one was said to have failed", what, *n)
		}
	}
}

// One that is not heard by anybody, though it hears all, is failed by all and does not
// fail the others; it comes back when it is heard.
func TestRouterThatIsNotReceivedFromIsFailed(t *testing.T) {
	v := convergedFleet(t, 4, 9)
	x := v.Hosts[4]
	v.Link.Partitioned = func(a, _ *Host) bool { return a == x }
	if !v.RunUntil(v.Now+5000, 50, func() bool { return v.StateCounts(x)[membership.Failed] == 8 }) {
		t.Errorf("a mute router is %v", v.StateCounts(x))
	}
	v.Link.Partitioned = nil
	requireConvergence(t, v, 3000)
}

// One that was stopped for 30 s and wakes fails nobody, and is back soon.
func TestRouterThatContinuesAfterStallFailsNobody(t *testing.T) {
	v := convergedFleet(t, 5, 8)
	x := v.Hosts[3]
	said := 0
	for _, h := range v.Hosts {
		h.OnStep = func(h *Host, _ float64, out *fleet.Output) {
			for _, e := range out.Events {
				if e.Kind == "failed" && e.Update.ID != x.Self.ID {
					said++
				}
			}
		}
	}
	v.Pause(x, 30_000)
	v.Run(v.Now + 29_900)
	if n := v.StateCounts(x)[membership.Failed]; n != 7 {
		t.Errorf("stopped for 29.9 s it is failed for %d of 7", n)
	}
	took := requireConvergence(t, v, 3000)
	v.Run(v.Now + 20_000)
	if said != 0 {
		t.Errorf("%d times another was said to have failed; back after %.0f ms", said, took)
	}
}

// A fifth of all packets lost, one neighbour that stalls, and ones that come late, twice
// or out of order: nobody that lives is failed for more than a moment.
func TestLossAndOneStallingRouterFailNoOther(t *testing.T) {
	v := convergedFleet(t, 6, 8)
	x := v.Hosts[7]
	wrong := 0
	for _, h := range v.Hosts {
		h.OnStep = func(h *Host, _ float64, out *fleet.Output) {
			for _, e := range out.Events {
				if e.Kind == "failed" && e.Update.ID != x.Self.ID {
					wrong++
				}
			}
		}
	}
	v.Link = Link{Loss: 0.2, Duplicate: 0.1, Delay: 1, Jitter: 10}
	for range 60 {
		v.Pause(x, 2000*v.Rng.Float64())
		v.Run(v.Now + 4000)
	}
	if wrong != 0 {
		t.Errorf("%d times one that lived was said to have failed", wrong)
	}
}

// Packets of an hour ago change nothing: a router that left stays gone, one that lives
// stays, though all that was ever sent comes once more.
func TestReplayedPacketsChangeNothing(t *testing.T) {
	v := New(7)
	const hour = 3_600_000
	again := false
	v.Link.Duplicate = 0 // the copies are made below
	v.StartFleet(5, fleet.DefaultSettings(), false)
	var old []Datagram
	v.Tap = func(s Datagram) {
		if !again {
			old = append(old, s)
		}
	}
	requireConvergence(t, v, 10_000)
	v.Run(v.Now + 5000)
	v.Leave(v.Hosts[4])
	v.Run(v.Now + 5000)
	again = true
	v.Run(v.Now + hour/6) // a sixth is as good: nothing of it counts by the clock
	moved := 0
	for _, h := range v.Hosts {
		h.OnStep = func(_ *Host, _ float64, out *fleet.Output) {
			for _, e := range out.Events {
				if e.Kind == "joined" || e.Kind == "back" || e.Kind == "failed" || e.Kind == "suspect" {
					moved++
				}
			}
		}
	}
	before := v.Hosts[0].Membership().Replays
	for _, s := range old {
		v.Inject(s)
	}
	v.Run(v.Now + 30_000)
	if moved != 0 || v.Hosts[0].Membership().Replays == before {
		t.Errorf("%d changes by %d old packets, %d dropped as old", moved, len(old), v.Hosts[0].Membership().Replays-before)
	}
}

// All routers are restarted one after another within seconds, under their names; at the
// end all are there in their second lives, and nobody else.
func TestRollingRestart(t *testing.T) {
	v := convergedFleet(t, 8, 10)
	for _, h := range append([]*Host(nil), v.Hosts...) {
		v.Kill(h)
		v.Run(v.Now + 150)
		var place int
		fmt.Sscanf(h.Name, "r%d", &place)
		v.StartHost(place, h.Name, h.Self.ID, 2, fleet.DefaultSettings(), false)
		v.Run(v.Now + 150)
	}
	requireConvergence(t, v, 5000)
	for _, h := range v.Hosts {
		if h.Dead {
			continue
		}
		for _, m := range h.Membership().View().Members {
			if m.Incarnation() != 2 {
				t.Errorf("%s sees life %d of %s", h.Name, m.Incarnation(), m.Name)
			}
		}
	}
}

// All but one are killed: it is alone, and its share of what is shared does not grow.
func TestLastRouterIsAlone(t *testing.T) {
	v := convergedFleet(t, 9, 8)
	for _, h := range v.Hosts[1:] {
		v.Kill(h)
	}
	v.Run(v.Now + 30_000)
	s := v.Hosts[0].Machine.(*fleet.Node).Connectivity()
	if s.State != connectivity.Alone || s.Known != 8 {
		t.Errorf("%+v", s)
	}
}

// One of 60 that is cut off from all is alone within 4 s, long before it has failed them
// one by one, and together again when it is not.
func TestIsolatedRouterIsAloneSoon(t *testing.T) {
	v := convergedFleet(t, 14, 60)
	x := v.Hosts[7]
	stands := func(s connectivity.State) func() bool {
		return func() bool { return x.Machine.(*fleet.Node).Connectivity().State == s }
	}
	v.Link.Partitioned = func(a, b *Host) bool { return a == x || b == x }
	if !v.RunUntil(v.Now+4000, 50, stands(connectivity.Alone)) {
		t.Errorf("after 4 s it sees %d", x.Membership().PresentCount())
	}
	v.Link.Partitioned = nil
	if !v.RunUntil(v.Now+20_000, 50, stands(connectivity.Together)) {
		t.Error("it does not come back")
	}
}

// Clocks that differ by a day, and one that runs a tenth too fast, change nothing: no time
// is told from one router to another.
func TestClockDifferencesChangeNothing(t *testing.T) {
	v := convergedFleet(t, 15, 8)
	v.Hosts[2].Clock = func(now float64) float64 { return now + 86_400_000 }
	v.Hosts[3].Clock = func(now float64) float64 { return now * 1.1 }
	n := spoken(v, "failed")
	v.Run(v.Now + 60_000)
	if *n != 0 {
		t.Errorf("%d times one was said to have failed", *n)
	}
	v.Kill(v.Hosts[5])
	if !v.RunUntil(v.Now+4000, 50, func() bool { return v.StateCounts(v.Hosts[5])[membership.Failed] == 7 }) {
		t.Errorf("a killed one is %v", v.StateCounts(v.Hosts[5]))
	}
	requireConvergence(t, v, 3000)
}

// A router that comes back at another address is found there, with its life before it
// still answering at the old one for a while: it is one member.
func TestTwoProcessesOfOneRouterAreOneMember(t *testing.T) {
	v := convergedFleet(t, 10, 6)
	old := v.Hosts[2]
	next := v.StartHost(40, old.Name, old.Self.ID, 2, fleet.DefaultSettings(), false)
	v.Run(v.Now + 5000)
	for _, h := range v.Hosts {
		if h == old {
			if !h.Membership().View().Superseded {
				t.Error("the process before does not know that it has a successor")
			}
			continue
		}
		n := 0
		for _, m := range h.Membership().View().Members {
			if m.Name == old.Name && m.State == membership.Alive && m.Addr == next.Addr {
				n++
			}
		}
		if there := h.Membership().PresentCount(); n != 1 || there != 6 {
			t.Errorf("%s sees it %d times, and %d routers", h.Name, n, there)
		}
	}
	v.Kill(next) // the new one was no good: the one before has its seat back
	requireConvergence(t, v, 10_000)
	if w := old.Membership().Self(); w.Incarnation() != 3 {
		t.Errorf("the one before is back as life %d", w.Incarnation())
	}
	last := v.StartHost(41, old.Name, old.Self.ID, 4, fleet.DefaultSettings(), false)
	v.Run(v.Now + 5000)
	v.Leave(old) // says nothing of the seat, which is its successor's
	v.Run(v.Now + 5000)
	if n := v.StateCounts(last)[membership.Alive]; n != 5 {
		t.Errorf("after the old one's end the new one is alive for %d of 5", n)
	}
}

// Two routers with one name by mistake: all say so, and both keep their places.
func TestNameConflictIsReportedAndBothStay(t *testing.T) {
	v := convergedFleet(t, 11, 5)
	n := spoken(v, "conflict")
	x := v.StartHost(41, "r003", membership.ID(v.Rng.Uint64()|1), 1, fleet.DefaultSettings(), false)
	v.Run(v.Now + 20_000)
	if got := v.StateCounts(x)[membership.Alive]; got != 5 || v.StateCounts(v.Hosts[3])[membership.Alive] != 5 {
		t.Errorf("the second is alive for %d, the first for %d of 5", got, v.StateCounts(v.Hosts[3])[membership.Alive])
	}
	if *n != 5 {
		t.Errorf("told %d times, want once by each of 5", *n)
	}
}

// A thousand members that do not exist, told by one that has the key: they go again, the
// memory is bounded, and nobody that lives is failed.
func TestFalseMembersDisappear(t *testing.T) {
	v := convergedFleet(t, 12, 8)
	wrong := 0
	real := map[membership.ID]bool{}
	for _, h := range v.Hosts {
		real[h.Self.ID] = true
	}
	for _, h := range v.Hosts {
		h.OnStep = func(_ *Host, _ float64, out *fleet.Output) {
			for _, e := range out.Events {
				if e.Kind == "failed" && real[e.Update.ID] {
					wrong++
				}
			}
		}
	}
	liar := v.Hosts[7]
	for i := range 1000 {
		w := membership.Update{ID: membership.ID(v.Rng.Uint64() | 1), Revision: membership.FirstRevision(1), Name: fmt.Sprintf("ghost%d", i), Addr: Addr(1000 + i)}
		v.Step(liar, func() { liar.Membership().InjectUpdate(w) })
	}
	v.Run(v.Now + 5000)
	if n := v.Hosts[0].Membership().PresentCount(); n < 100 {
		t.Errorf("only %d are held: the test shows nothing", n)
	}
	for _, h := range v.Hosts {
		if n := len(h.Membership().View().Members); n > 1+fleet.DefaultSettings().Membership.MaxMembers {
			t.Errorf("%s holds %d", h.Name, n)
		}
	}
	v.RunUntil(v.Now+400_000, 1000, v.Converged)
	if n := v.Hosts[0].Membership().PresentCount(); n != 8 || wrong != 0 {
		t.Errorf("%d there at the end, want 8; %d times one that lives was failed", n, wrong)
	}
}

// A link that flaps at the worst period for the stance: what gives room comes ever more
// rarely, and what takes it at once.
func TestConnectivityIsDampedWhileLinkFlaps(t *testing.T) {
	v := convergedFleet(t, 13, 6)
	swings := 0
	v.Hosts[0].OnStep = func(_ *Host, _ float64, out *fleet.Output) {
		if out.ConnectivityChanged {
			swings++
		}
	}
	const flaps = 20
	for range flaps {
		v.Link.Partitioned = func(a, b *Host) bool { return a == v.Hosts[0] || b == v.Hosts[0] }
		v.Run(v.Now + 6000)
		v.Link.Partitioned = nil
		v.Run(v.Now + 12_000)
	}
	if swings < 2 || swings > flaps {
		t.Errorf("%d changes of the stance in %d flaps", swings, flaps)
	}
	v.Run(v.Now + 90_000)
	if s := v.Hosts[0].Machine.(*fleet.Node).Connectivity(); s.State != connectivity.Together {
		t.Errorf("when the link is sound it stays %v", s)
	}
}
