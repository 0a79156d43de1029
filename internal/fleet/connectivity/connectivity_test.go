package connectivity

import (
	"testing"

	"garnetline/internal/fleet/membership"
)

// view is one of n routers of which the first there are there.
func view(n, there int, left ...int) *membership.View {
	v := &membership.View{Present: there}
	for i := range n {
		m := membership.Member{Update: membership.Update{ID: membership.ID(i + 1)}}
		if i >= there {
			m.State = membership.Failed
		}
		for _, l := range left {
			if i == l {
				m.State = membership.Left
			}
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func TestConnectivityFollowsTheView(t *testing.T) {
	set := DefaultSettings()
	m := New(set, 0)
	for _, x := range []struct {
		at        float64
		n, there  int
		left      []int
		want      State
		wantKnown int
	}{
		{0, 8, 8, nil, Alone, 8},
		{4900, 8, 8, nil, Alone, 8}, // more room takes longer evidence
		{5000, 8, 8, nil, Together, 8},
		{6000, 8, 6, nil, Together, 8}, // two of eight do not count
		{7000, 8, 5, nil, Together, 8},
		{7400, 8, 5, nil, Together, 8},
		{7500, 8, 5, nil, Partial, 8},
		{8000, 8, 1, nil, Partial, 8},
		{8500, 8, 1, nil, Alone, 8},  // its share does not grow
		{9000, 8, 8, nil, Alone, 8},  // what was lost comes back after twice the time, and again twice
		{15000, 8, 8, nil, Alone, 8}, // 20 s
		{29000, 8, 8, nil, Together, 8},
		{30000, 8, 4, []int{4, 5, 6, 7}, Together, 4}, // those that left are not missed
		{40000, 4, 3, nil, Together, 4},
		{29000 + set.RecentWindow, 4, 3, nil, Together, 4},
		{41000 + set.RecentWindow, 4, 3, nil, Together, 3}, // long gone
	} {
		got := m.Step(x.at, view(x.n, x.there, x.left...))
		if got.State != x.want || got.Known != x.wantKnown {
			t.Errorf("at %.0f: %v of %d, want %v of %d", x.at, got.State, got.Known, x.want, x.wantKnown)
		}
	}
}

// Whatever period a link flaps at, changes are bounded: each that gives room takes longer
// than the one before, up to a minute.
func TestFlappingAtAnyPeriod(t *testing.T) {
	for period := 500.0; period < 30_000; period *= 1.3 {
		m := New(DefaultSettings(), 0)
		swings, last := 0, Alone
		const span = 1_800_000
		for now := 0.0; now < span; now += 100 {
			there := 6
			if int(now/period)%2 == 1 {
				there = 1
			}
			if s := m.Step(now, view(6, there)); s.State != last {
				swings, last = swings+1, s.State
			}
		}
		if most := span/60_000*2 + 10; swings > most {
			t.Errorf("flapping every %.0f ms: %d changes in half an hour, want %d at the most", period, swings, most)
		}
	}
}

// Silence gives nothing: in no stance is more permitted than with more room, and the
// number that budgets are divided by does not shrink when others fall silent.
func TestSilenceAddsNothing(t *testing.T) {
	for s := Together; s < Alone; s++ {
		if (s+1).AcceptsRemoteEnable() && !s.AcceptsRemoteEnable() || (s+1).Ready(true, true) && !s.Ready(true, true) {
			t.Errorf("%v permits what %v does not", s+1, s)
		}
	}
	if Alone.Ready(true, true) || !Alone.Ready(false, true) || !Alone.Ready(true, false) || !Partial.Ready(true, true) {
		t.Error("the rule of readiness")
	}
	for _, r := range Behaviors() {
		if r.Together == "" || r.Partial == "" || r.Alone == "" {
			t.Errorf("%s: a stance has nothing said", r.Subject)
		}
	}
}
