package experiment

import "testing"

func TestProbeInterval(t *testing.T) {
	unprobed := probeSchedule{lastLoad: -1}
	probed := probeSchedule{interval: 600, lastLoad: 0.5}
	tests := map[string]struct {
		schedule probeSchedule
		policy   IntervalPolicy
		load     float64
		want     float64 // ms
	}{
		"fixed short":                    {probed, FixedShortInterval, 0.5, 250},
		"fixed long":                     {probed, FixedLongInterval, 0.9, 1000},
		"low load":                       {probed, LoadBasedInterval, 0.6, 1000},
		"high load":                      {probed, LoadBasedInterval, 0.61, 250},
		"adaptive, first probe":          {unprobed, AdaptiveInterval, 0, 250},
		"adaptive, load as before":       {probed, AdaptiveInterval, 0.55, 900},
		"adaptive, load has changed":     {probed, AdaptiveInterval, 0.65, 250},
		"adaptive, longest interval":     {probeSchedule{interval: 900, lastLoad: 0.5}, AdaptiveInterval, 0.5, 1000},
		"adaptive, change of load close": {probed, AdaptiveInterval, 0.41, 900},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.schedule.nextInterval(test.policy, test.load); got != test.want {
				t.Errorf("got %v ms, want %v ms", got, test.want)
			}
		})
	}
}

// A router's view changes after the start of the partition and after its end, each time with the delay
// of failure detection.
func TestViewDuringPartition(t *testing.T) {
	run := newLoadReportingRun(LoadReporting{Seed: 1, Routers: 5, Servers: 1, Strategy: ProbeByHash, IntervalPolicy: AdaptiveInterval})
	tests := map[string]struct {
		now             float64
		partitioned     bool
		first, lastView viewKind // of the first router and of the last
	}{
		"before":             {29_990, false, wholeZone, wholeZone},
		"begun":              {30_000, true, wholeZone, wholeZone},
		"detected":           {33_000, true, registrySideOnly, otherSideOnly},
		"healed, not known":  {60_010, false, registrySideOnly, otherSideOnly},
		"healed, and known":  {61_510, false, wholeZone, wholeZone},
		"at the last moment": {60_000, true, registrySideOnly, otherSideOnly},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run.now = test.now
			if got := run.partitioned(); got != test.partitioned {
				t.Errorf("got partitioned %t, want %t", got, test.partitioned)
			}
			first, last := run.viewOf(run.routers[0]), run.viewOf(run.routers[4])
			if first != test.first || last != test.lastView {
				t.Errorf("first and last router: got views %d and %d, want %d and %d", first, last, test.first, test.lastView)
			}
		})
	}
}
