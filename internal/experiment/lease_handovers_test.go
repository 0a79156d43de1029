package experiment

import (
	"fmt"
	"testing"
)

// handoversOf simulates 500 handovers between three routers whose clocks drift as far as the
// settings allow.
func handoversOf(seed uint64, without Safeguard) LeaseResult {
	return LeaseHandovers{Seed: seed, Without: without, ClockDrift: 1, Routers: 3, MaxHandovers: 500}.Run()
}

// With all safeguards, no two routers act under one lease at the same time. In each run, the receiver
// rejects some writes because of their fencing tokens, and routers drop others because of
// CheckAtWrite. Each run thus exercises these two safeguards.
func TestHandoversWithAllSafeguards(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			result := handoversOf(seed, NoSafeguard)
			if result.Violation != "" {
				t.Errorf("got violation %q, want none", result.Violation)
			}
			if result.Handovers < 500 {
				t.Errorf("got %d handovers, want at least 500", result.Handovers)
			}
			if result.Rejected == 0 {
				t.Errorf("0 of %d writes were rejected because of their fencing token, want at least 1", result.Writes)
			}
			if result.StoppedAtWrite == 0 {
				t.Errorf("0 writes were stopped by the check at the write and %d were sent, want at least 1 stopped", result.Writes)
			}
		})
	}
}

// Each safeguard is necessary: with the safeguard off, two routers act under the lease at the same
// time in at least one of 40 runs.
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
			t.Errorf("no violation in %d runs without the safeguard, want at least 1", seeds)
		})
	}
}
