package connectivity

import (
	"slices"
	"testing"

	"garnetline/internal/fleet/membership"
)

// viewOf returns the view of so many routers, the first of which are present.
func viewOf(routers, present int, left ...int) *membership.View {
	view := &membership.View{Present: present}
	for i := range routers {
		member := membership.Member{Update: membership.Update{ID: membership.ID(i + 1)}}
		switch {
		case slices.Contains(left, i):
			member.State = membership.Left
		case i >= present:
			member.State = membership.Failed
		}
		view.Members = append(view.Members, member)
	}
	return view
}

func TestConnectivityFollowsTheView(t *testing.T) {
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
		{4900, 8, 8, nil, Alone, 8}, // what permits more takes longer evidence
		{5000, 8, 8, nil, Together, 8},
		{6000, 8, 6, nil, Together, 8}, // two of eight do not count
		{7000, 8, 5, nil, Together, 8},
		{7400, 8, 5, nil, Together, 8},
		{7500, 8, 5, nil, Partial, 8},
		{8000, 8, 1, nil, Partial, 8},
		{8500, 8, 1, nil, Alone, 8},  // its part of shared budgets does not grow
		{9000, 8, 8, nil, Alone, 8},  // what was lost comes back after twice the time, and again twice
		{15000, 8, 8, nil, Alone, 8}, // 20 s
		{29000, 8, 8, nil, Together, 8},
		{30000, 8, 4, []int{4, 5, 6, 7}, Together, 4}, // those that left are not missed
		{40000, 4, 3, nil, Together, 4},
		{29000 + settings.RecentWindow, 4, 3, nil, Together, 4},
		{41000 + settings.RecentWindow, 4, 3, nil, Together, 3}, // long gone
	} {
		got := machine.Step(step.at, viewOf(step.routers, step.present, step.left...))
		if got.State != step.want || got.Known != step.wantKnown {
			t.Errorf("at %.0f: %v of %d, want %v of %d", step.at, got.State, got.Known, step.want, step.wantKnown)
		}
	}
}

// Whatever period connections flap at, changes are bounded: each that permits more takes
// longer than the one before, up to a minute.
func TestFlappingAtAnyPeriod(t *testing.T) {
	for period := 500.0; period < 30_000; period *= 1.3 {
		m := New(DefaultSettings(), 0)
		changes, last := 0, Alone
		const duration = 1_800_000
		for now := 0.0; now < duration; now += 100 {
			present := 6
			if int(now/period)%2 == 1 {
				present = 1
			}
			if status := m.Step(now, viewOf(6, present)); status.State != last {
				changes++
				last = status.State
			}
		}
		if most := duration/60_000*2 + 10; changes > most {
			t.Errorf("flapping every %.0f ms: %d changes in half an hour, want %d at the most", period, changes, most)
		}
	}
}

// Silence permits nothing: no state permits more than one that reaches more of the fleet,
// and the number that budgets are divided by does not shrink when others fall silent.
func TestSilenceAddsNothing(t *testing.T) {
	for s := Together; s < Alone; s++ {
		if (s+1).AcceptsRemoteEnable() && !s.AcceptsRemoteEnable() || (s+1).Ready(true, true) && !s.Ready(true, true) {
			t.Errorf("%v permits what %v does not", s+1, s)
		}
	}
	if Alone.Ready(true, true) || !Alone.Ready(false, true) || !Alone.Ready(true, false) || !Partial.Ready(true, true) {
		t.Error("the rule of readiness")
	}
	for _, b := range Behaviors() {
		if b.Together == "" || b.Partial == "" || b.Alone == "" {
			t.Errorf("%s: a state without a behavior", b.Subject)
		}
	}
}
