package experiment

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/golden"
)

// The tests of this file run experiments with fixed seeds, and compare the output byte for byte with
// files in testdata. Results thus stay comparable between releases. UPDATE_GOLDEN=1 rewrites the
// files.

func TestResultsMatchGoldenFile(t *testing.T) {
	var text bytes.Buffer
	printHandovers(&text)
	printSearches(&text)
	printLoadReporting(&text)
	counted := MeasureFalsePositives(5, 1, 0.3, 20_000)
	fmt.Fprintf(&text, "members: %d suspected, %d failed, %.4f hours\n", counted.Suspicions, counted.Failures, counted.Hours)
	golden.Compare(t, "results.txt", text.Bytes())
}

func printHandovers(text *bytes.Buffer) {
	for _, without := range []Safeguard{NoSafeguard, CheckAtWrite} {
		result := LeaseHandovers{Seed: 3, Without: without, ClockDrift: 1, Routers: 3, MaxHandovers: 60}.Run()
		fmt.Fprintf(text, "leases, %q off: %d handovers, %d planned, %d acts, %d refused, %d dropped, %.3f ms, %d faults and moves, %d gaps, %q\n",
			without, result.Handovers, result.PlannedHandovers, result.Writes, result.Rejected, result.StoppedAtWrite,
			result.SimulatedTime, result.FaultsAndTransfers, len(result.Gaps), result.Violation)
	}
}

func printSearches(text *bytes.Buffer) {
	for _, without := range []Safeguard{NoSafeguard, LeaseMargin} {
		search := LeaseSearch{Without: without, MaxInFlight: 1, MaxGrants: 1, MaxStates: 3000}
		fmt.Fprintln(text, search.Row(search.Run()))
	}
}

func printLoadReporting(text *bytes.Buffer) {
	for _, strategy := range Strategies {
		result := LoadReporting{Seed: 1, Routers: 3, Servers: 4, Strategy: strategy, IntervalPolicy: AdaptiveInterval}.Run()
		fmt.Fprintf(text, "load, %s: %.3f probes, %.3f at one, %.3f packets, %.3f bytes, %.3f ms old, off by %.5f, %.5f stale, %d twice, %.2f s nobody\n",
			strategy, result.ProbesPerSecond, result.ProbesPerServer, result.PacketsPerSecond, result.BytesPerSecond,
			result.MeanAge, result.MeanError, result.StaleShare, result.ConcurrentProbes, result.UnprobedSeconds)
	}
}

// The tables omit the memory of the process, which the seed does not determine.
func TestTablesMatchGoldenFiles(t *testing.T) {
	for name, printTable := range map[string]func(testing.TB, *bytes.Buffer){
		"register.md": printRegistryRows,
		"worth.md":    printLoadReportingTable,
		"worth.txt":   printLoadReportingValues,
		"members.md":  printMembershipTable,
		"states.md":   printSearchRows,
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			printTable(t, &text)
			golden.Compare(t, name, text.Bytes())
		})
	}
}

func printRegistryRows(tb testing.TB, text *bytes.Buffer) {
	tb.Helper()
	settings := consensus.DefaultSettings()
	for _, run := range []Registry{
		{Seed: 1, Voters: 3, Routers: 6, Leases: 4, Settings: settings, TransferInterval: 20},
		{Seed: 2, Voters: 5, Routers: 10, Leases: 40, Settings: settings, TransferInterval: 50, ResponseLossInterval: 2000},
	} {
		result, err := run.Run(15_000)
		if err != nil {
			tb.Fatal(err)
		}
		result.Heap = nil
		fmt.Fprintln(text, run.Row(result))
	}
}

func printLoadReportingTable(tb testing.TB, text *bytes.Buffer) {
	tb.Helper()
	if err := LoadReportingTable(text); err != nil {
		tb.Fatal(err)
	}
}

func printLoadReportingValues(_ testing.TB, text *bytes.Buffer) {
	for _, strategy := range Strategies {
		for _, policy := range IntervalPolicies {
			for _, unbatched := range []bool{false, true} {
				result := LoadReporting{Seed: 4, Routers: 5, Servers: 6, Strategy: strategy, IntervalPolicy: policy, Unbatched: unbatched}.Run()
				fmt.Fprintf(text, "%s, %s, %t: %v %v %v %v %v %v %v %v %v\n", strategy, policy, unbatched,
					result.ProbesPerSecond, result.ProbesPerServer, result.PacketsPerSecond, result.BytesPerSecond,
					result.MeanAge, result.MeanError, result.StaleShare, result.ConcurrentProbes, result.UnprobedSeconds)
			}
		}
	}
}

func printMembershipTable(tb testing.TB, text *bytes.Buffer) {
	tb.Helper()
	options := Membership{Sizes: []int{3, 8}, Seeds: 2, Kills: 2, QuietPeriod: 5000, FaultPeriod: 20_000, Losses: []float64{0, 0.2}}
	results := options.Run(io.Discard)
	for _, result := range results {
		result.MemoryBytes = 0
	}
	if err := MembershipTable(text, results); err != nil {
		tb.Fatal(err)
	}
}

func printSearchRows(_ testing.TB, text *bytes.Buffer) {
	for _, without := range SearchedSafeguards {
		search := LeaseSearch{Without: without, MaxInFlight: 2, MaxCrashes: 1, MaxTransfers: 1, MaxGrants: 2, MaxStates: 5000}
		result := search.Run()
		fmt.Fprintln(text, search.Row(result))
		for _, move := range result.Schedule {
			fmt.Fprintln(text, "  ", move)
		}
	}
}
