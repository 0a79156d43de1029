package experiment

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/golden"
)

// The table of each experiment that runs on a virtual clock is the same to the byte for the
// same seed. The heap of the process, which is measured, is left out.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestTables(t *testing.T) {
	for name, table := range map[string]func(testing.TB, io.Writer){
		"register.md": registerTable,
		"worth.md":    loadReportingTable,
		"worth.txt":   func(_ testing.TB, w io.Writer) { worthRows(w) },
		"members.md":  membersTable,
		"states.md":   statesTable,
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			table(t, &text)
			golden.Compare(t, name, text.Bytes())
		})
	}
}

func registerTable(tb testing.TB, w io.Writer) {
	set := consensus.DefaultSettings()
	for _, run := range []Registry{
		{Seed: 1, Voters: 3, Routers: 6, Leases: 4, Settings: set, TransferInterval: 20},
		{Seed: 2, Voters: 5, Routers: 10, Leases: 40, Settings: set, TransferInterval: 50, AnswerLossInterval: 2000},
	} {
		result, err := run.Run(15_000)
		if err != nil {
			tb.Fatal(err)
		}
		result.Heap = nil
		fmt.Fprintln(w, run.Row(result))
	}
}

func loadReportingTable(tb testing.TB, w io.Writer) {
	if err := LoadReportingTable(w); err != nil {
		tb.Fatal(err)
	}
}

func worthRows(w io.Writer) {
	for _, way := range Strategies {
		for _, spacing := range IntervalPolicies {
			for _, single := range []bool{false, true} {
				o := LoadReporting{Seed: 4, Routers: 5, Servers: 6, Strategy: way, IntervalPolicy: spacing, Unbatched: single}
				r := o.Run()
				fmt.Fprintf(w, "%s, %s, %t: %v %v %v %v %v %v %v %v %v\n", way, spacing, single,
					r.ProbesPerSecond, r.ProbesPerServer, r.PacketsPerSecond, r.BytesPerSecond, r.MeanAge, r.MeanError, r.StaleShare, r.ConcurrentProbes, r.Uncovered)
			}
		}
	}
}

func membersTable(tb testing.TB, w io.Writer) {
	o := Membership{Sizes: []int{3, 8}, Seeds: 2, Kills: 2, QuietPeriod: 5000, FaultPeriod: 20_000, Losses: []float64{0, 0.2}}
	all := o.Run(io.Discard)
	for _, r := range all {
		r.MemoryBytes = 0
	}
	if err := MembershipTable(w, all); err != nil {
		tb.Fatal(err)
	}
}

func statesTable(_ testing.TB, w io.Writer) {
	for _, off := range SearchedSafeguards {
		search := LeaseSearch{Without: off, MaxInFlight: 2, MaxCrashes: 1, MaxTransfers: 1, MaxGrants: 2, MaxStates: 5000}
		result := search.Run()
		fmt.Fprintln(w, search.Row(result))
		for _, step := range result.Schedule {
			fmt.Fprintln(w, "  ", step)
		}
	}
}
