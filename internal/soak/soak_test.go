package soak

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// seedsVariable names the environment variable with the number of seeds, for a long run that is started
// by hand. firstSeedVariable names the one with the first seed.
const (
	seedsVariable     = "GARNETLINE_SOAK_SEEDS"
	firstSeedVariable = "GARNETLINE_SOAK_FIRST_SEED"
)

// shortSeeds is the number of seeds of a run in CI.
const shortSeeds = 6

// TestSoak runs processes of the router under the plans of several seeds.
func TestSoak(t *testing.T) {
	first := numberOf(t, firstSeedVariable, 1)
	for seed := first; seed < first+numberOf(t, seedsVariable, shortSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			plan := NewPlan(uint64(seed))
			t.Log(plan)
			report, err := Run(programs, t.TempDir(), plan)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak %.1f MB and %d descriptors; %d of %d served, %d excused, %d refused, 99 of 100 within %v", float64(report.Usage.ResidentBytes)/(1<<20),
				report.Usage.Descriptors, report.Usual.Served, report.Usual.Asked, report.Usual.Excused, report.Usual.Refused, report.Usual.Latency(0.99).Round(time.Millisecond))
			for _, finding := range report.Findings {
				t.Errorf("seed %d: %s", seed, finding)
			}
		})
	}
}

// numberOf returns the number in an environment variable, or fallback if the variable is not set.
func numberOf(t *testing.T, variable string, fallback int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return number
}
