package experiment

import (
	"fmt"
	"testing"
)

// handoversOf runs three routers whose clocks drift as far as the settings allow.
func handoversOf(seed uint64, without Safeguard) LeaseResult {
	return LeaseHandovers{Seed: seed, Without: without, ClockDrift: 1, Routers: 3, MaxHandovers: 500}.Run()
}

// Guards against two routers that act under one lease at once, in runs in which the fencing
// tokens and the check at the write had something to stop.
func TestHandoversWithAllSafeguards(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			result := handoversOf(seed, NoSafeguard)
			if result.Violation != "" {
				t.Errorf("violation %q, want none", result.Violation)
			}
			if result.Handovers < 500 {
				t.Errorf("%d handovers, want 500", result.Handovers)
			}
			if result.Rejected == 0 {
				t.Errorf("0 of %d writes were rejected by their token, want some", result.Writes)
			}
			if result.StoppedAtWrite == 0 {
				t.Errorf("0 writes were stopped by the check before them, %d written, want some", result.Writes)
			}
		})
	}
}

// Guards against runs that would not notice a missing safeguard.
func TestHandoversFindMissingSafeguard(t *testing.T) {
	const seeds = 40
	for _, safeguard := range Safeguards {
		t.Run(string(safeguard), func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if result := handoversOf(seed, safeguard); result.Violation != "" {
					t.Logf("seed %d: %s", seed, result.Violation)
					return
				}
			}
			t.Errorf("no violation in %d runs without it, want one", seeds)
		})
	}
}
