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
	for _, off := range []Safeguard{None, Write} {
		r := Leases{Seed: 3, Off: off, Drift: 1, Routers: 3, Until: 60}.Run()
		fmt.Fprintf(&text, "leases, %q off: %d handovers, %d planned, %d acts, %d refused, %d dropped, %.3f ms, %d faults and moves, %d gaps, %q\n",
			off, r.Handovers, r.Planned, r.Acts, r.Refused, r.Dropped, r.Virtual, r.Steps, len(r.Gaps), r.Broken)
	}
	for _, off := range []Safeguard{None, Margin} {
		search := LeaseSearch{Off: off, Air: 1, Grants: 1, Most: 3000}
		fmt.Fprintln(&text, search.Row(search.Run()))
	}
	for _, way := range WorthWays {
		r := Worth{Seed: 1, Routers: 3, Boxes: 4, Way: way, Spacing: "adaptive"}.Run()
		fmt.Fprintf(&text, "load, %s: %.3f probes, %.3f at one, %.3f packets, %.3f bytes, %.3f ms old, off by %.5f, %.5f stale, %d twice, %.2f s nobody\n",
			way, r.Probes, r.PerBox, r.Packets, r.Bytes, r.Age, r.Error, r.Stale, r.Twice, r.Gap)
	}
	day := Day(5, 1, 0.3, 20_000)
	fmt.Fprintf(&text, "members: %d suspected, %d failed, %.4f hours\n", day.Suspects, day.Failures, day.Hours)
	golden.Compare(t, "results.txt", text.Bytes())
}
