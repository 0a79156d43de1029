package experiment

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/golden"
)

// Experiments with a seed give what they always gave, so that figures of several releases
// can be held against each other. Register is left out: its counts differ from run to run
// with one seed. UPDATE_GOLDEN=1 rewrites testdata.
func TestResultsOfASeed(t *testing.T) {
	var text bytes.Buffer
	for _, off := range []Safeguard{NoSafeguard, CheckAtWrite} {
		r := LeaseHandovers{Seed: 3, Without: off, ClockDrift: 1, Routers: 3, MaxHandovers: 60}.Run()
		fmt.Fprintf(&text, "leases, %q off: %d handovers, %d planned, %d acts, %d refused, %d dropped, %.3f ms, %d faults and moves, %d gaps, %q\n",
			off, r.Handovers, r.PlannedHandovers, r.Writes, r.Rejected, r.StoppedAtWrite, r.SimulatedTime, r.FaultsAndMoves, len(r.Gaps), r.Violation)
	}
	for _, off := range []Safeguard{NoSafeguard, LeaseMargin} {
		search := LeaseSearch{Without: off, MaxInFlight: 1, MaxGrants: 1, MaxStates: 3000}
		fmt.Fprintln(&text, search.Row(search.Run()))
	}
	for _, way := range Strategies {
		r := LoadReporting{Seed: 1, Routers: 3, Servers: 4, Strategy: way, IntervalPolicy: "adaptive"}.Run()
		fmt.Fprintf(&text, "load, %s: %.3f probes, %.3f at one, %.3f packets, %.3f bytes, %.3f ms old, off by %.5f, %.5f stale, %d twice, %.2f s nobody\n",
			way, r.ProbesPerSecond, r.ProbesPerServer, r.PacketsPerSecond, r.BytesPerSecond, r.MeanAge, r.MeanError, r.StaleShare, r.ConcurrentProbes, r.Uncovered)
	}
	day := MeasureFalsePositives(5, 1, 0.3, 20_000)
	fmt.Fprintf(&text, "members: %d suspected, %d failed, %.4f hours\n", day.Suspicions, day.Failures, day.Hours)
	golden.Compare(t, "results.txt", text.Bytes())
}
