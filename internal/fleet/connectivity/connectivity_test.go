package connectivity

import (
	"slices"
	"testing"

	"garnetline/internal/fleet/membership"
)

// newView returns a view of the given number of routers. The routers whose indexes are in
// leftIndexes have left. Of the other routers, those with an index below presentCount are present,
// and the rest have failed.
func newView(routers, presentCount int, leftIndexes ...int) *membership.View {
	view := &membership.View{Present: presentCount}
	for i := range routers {
		member := membership.Member{Update: membership.Update{ID: membership.ID(i + 1)}}
		switch {
		case slices.Contains(leftIndexes, i):
			member.State = membership.Left
		case i >= presentCount:
			member.State = membership.Failed
		}
		view.Members = append(view.Members, member)
	}
	return view
}

// Step enters the state that the view shows as soon as the delay of that change has passed. The
// number of known routers does not shrink when other routers fall silent, since each limit that
// the whole fleet shares is divided by this number.
func TestStateFollowsView(t *testing.T) {
	settings := DefaultSettings()
	machine := New(settings, 0)
	for _, step := range []struct {
		at               float64
		routers, present int
		left             []int
		want             State
		wantKnown        int
	}{
		{0, 8, 8, nil, Alone, 8},
		{4900, 8, 8, nil, Alone, 8}, // an upgrade takes UpgradeDelay
		{5000, 8, 8, nil, Together, 8},
		{6000, 8, 6, nil, Together, 8}, // 6 of 8 routers is exactly TogetherShare
		{7000, 8, 5, nil, Together, 8},
		{7400, 8, 5, nil, Together, 8},
		{7500, 8, 5, nil, Partial, 8},
		{8000, 8, 1, nil, Partial, 8},
		{8500, 8, 1, nil, Alone, 8},  // 8 routers stay known: this router's part of the limits that the fleet shares does not grow
		{9000, 8, 8, nil, Alone, 8},  // two downgrades have doubled the upgrade delay twice
		{15000, 8, 8, nil, Alone, 8}, // the upgrade delay is 20 s
		{29000, 8, 8, nil, Together, 8},
		{30000, 8, 4, []int{4, 5, 6, 7}, Together, 4}, // routers that left are no longer known
		{40000, 4, 3, nil, Together, 4},
		{29000 + settings.RecentWindow, 4, 3, nil, Together, 4},
		{41000 + settings.RecentWindow, 4, 3, nil, Together, 3}, // the failed router was last present more than RecentWindow ago
	} {
		got := machine.Step(step.at, newView(step.routers, step.present, step.left...))
		if got.State != step.want || got.Known != step.wantKnown {
			t.Errorf("at %.0f ms: got state %v with %d known routers, want %v with %d", step.at, got.State, got.Known, step.want, step.wantKnown)
		}
	}
}

// If connections come and go periodically, the number of state changes is bounded for every
// period. An upgrade is a change to a state that permits more. Each upgrade that does not last
// doubles the delay of the next upgrade, up to a minute.
func TestFlappingBoundsStateChanges(t *testing.T) {
	for period := 500.0; period < 30_000; period *= 1.3 {
		m := New(DefaultSettings(), 0)
		changes, last := 0, Alone
		const duration = 1_800_000
		for now := 0.0; now < duration; now += 100 {
			present := 6
			if int(now/period)%2 == 1 {
				present = 1
			}
			if status := m.Step(now, newView(6, present)); status.State != last {
				changes++
				last = status.State
			}
		}
		if maxChanges := duration/60_000*2 + 10; changes > maxChanges {
			t.Errorf("flapping every %.0f ms: got %d state changes in half an hour, want at most %d", period, changes, maxChanges)
		}
	}
}

// A state never permits more than a state in which the router reaches more of the fleet. Every
// behavior is described for each state.
func TestLowerStatePermitsNoMore(t *testing.T) {
	for s := Together; s < Alone; s++ {
		if (s+1).AcceptsRemoteEnable() && !s.AcceptsRemoteEnable() || (s+1).Ready(true, true) && !s.Ready(true, true) {
			t.Errorf("state %v permits more than state %v, want no more", s+1, s)
		}
	}
	if Alone.Ready(true, true) || !Alone.Ready(false, true) || !Alone.Ready(true, false) || !Partial.Ready(true, true) {
		t.Error("want Ready false only in state alone without servers and change log, got another result")
	}
	for _, b := range Behaviors() {
		if b.Together == "" || b.Partial == "" || b.Alone == "" {
			t.Errorf("subject %q: got an empty behavior in a state, want a behavior for each state", b.Subject)
		}
	}
}
