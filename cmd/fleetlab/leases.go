package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
)

const (
	// handoversPerRun is how many handovers one simulated run of leases plays.
	handoversPerRun = 20_000

	// handoversPerSearch bounds a run that looks for a violation with a safeguard off.
	handoversPerSearch = 2000

	millisecondsPerHour = 3_600_000
)

// leasesCommand plays many handovers of a lease on the simulated network, and then looks for
// violations with one safeguard off at a time.
func leasesCommand() *cli.Command {
	return &cli.Command{
		Name:  "leases",
		Usage: "play leases on the simulated network, then with each safeguard off in turn",
		Flags: []cli.Flag{
			outFlag("leases.md"),
			&cli.IntFlag{Name: "handovers", Value: 1_000_000},
			&cli.IntFlag{Name: "seeds", Usage: "tried with a safeguard off", Value: 200},
		},
		Action: measureLeases,
	}
}

func measureLeases(_ context.Context, command *cli.Command) error {
	handovers := command.Int("handovers")
	seeds := command.Int("seeds")
	return writeReport(command.String("out"), "leases.md", func(table *report) error {
		startedAt := time.Now()
		runs := (handovers + handoversPerRun - 1) / handoversPerRun
		totals := totalLeaseRuns(runs)
		table.printf("Made by `fleetlab leases --handovers %d --seeds %d`, %v.\n\n", handovers, seeds, time.Since(startedAt).Round(time.Second))
		table.printf("%d handovers (%d planned) in %.0f virtual hours and %d runs, %d acts written, %d stopped by the check at the write, %d refused by their token at the receiver. Two that acted at once: %s.\n\n",
			totals.Handovers, totals.PlannedHandovers, totals.SimulatedTime/millisecondsPerHour, runs, totals.Writes, totals.StoppedAtWrite, totals.Rejected, totals.Violation)
		table.println("| off | seeds that show it | smallest schedule: faults and moves | handovers until then | what is seen there |")
		table.println("| --- | --- | --- | --- | --- |")
		for _, weakened := range weakenedLeases() {
			found := weakened.searchViolations(seeds)
			table.printf("| %s | %d of %d | %d | %d | %s |\n", weakened.name, found.seeds, seeds,
				found.smallest.FaultsAndMoves, found.smallest.Handovers, found.smallest.Violation)
		}
		return nil
	})
}

// totalLeaseRuns plays runs with all safeguards and adds up their results.
func totalLeaseRuns(runs int) experiment.LeaseResult {
	results := collectParallel(runs, func(index int) experiment.LeaseResult {
		return experiment.LeaseHandovers{
			Seed:         uint64(index + 1),
			ClockDrift:   1,
			Routers:      3 + index%3,
			MaxHandovers: handoversPerRun,
		}.Run()
	})
	var totals experiment.LeaseResult
	for index, result := range results {
		totals.Handovers += result.Handovers
		totals.PlannedHandovers += result.PlannedHandovers
		totals.Writes += result.Writes
		totals.Rejected += result.Rejected
		totals.StoppedAtWrite += result.StoppedAtWrite
		totals.SimulatedTime += result.SimulatedTime
		if result.Violation != "" {
			totals.Violation += fmt.Sprintf("seed %d: %s; ", index+1, result.Violation)
		}
	}
	if totals.Violation == "" {
		totals.Violation = "none"
	}
	return totals
}

// weakenedLease is a simulation of leases in which two routers may act at once.
type weakenedLease struct {
	name       string // in the table
	without    experiment.Safeguard
	clockDrift float64 // 1: within the bounds of the settings
}

// weakenedLeases returns a simulation without each safeguard, and one with clocks that drift
// more than the settings allow for.
func weakenedLeases() []weakenedLease {
	var all []weakenedLease
	for _, safeguard := range experiment.Safeguards {
		all = append(all, weakenedLease{name: string(safeguard), without: safeguard, clockDrift: 1})
	}
	return append(all, weakenedLease{name: "ten times the drift", without: experiment.NoSafeguard, clockDrift: 10})
}

// violations are what a search found.
type violations struct {
	seeds    int                    // that show a violation
	smallest experiment.LeaseResult // the run with the fewest faults and moves among them
}

// searchViolations runs the simulation with each seed.
func (w weakenedLease) searchViolations(seeds int) violations {
	results := collectParallel(seeds, func(index int) experiment.LeaseResult {
		return experiment.LeaseHandovers{
			Seed:         uint64(index + 1),
			Without:      w.without,
			ClockDrift:   w.clockDrift,
			Routers:      3,
			MaxHandovers: handoversPerSearch,
		}.Run()
	})
	var found violations
	for index, result := range results {
		if result.Violation == "" {
			continue
		}
		found.seeds++
		if found.seeds == 1 || result.FaultsAndMoves < found.smallest.FaultsAndMoves {
			found.smallest = result
			found.smallest.Violation = fmt.Sprintf("seed %d: %s", index+1, result.Violation)
		}
	}
	return found
}

// leaseStatesCommand searches the states of a lease one by one.
func leaseStatesCommand() *cli.Command {
	return &cli.Command{
		Name:  "lease-states",
		Usage: "visit the states of two routers and a lease registry one by one",
		Flags: []cli.Flag{
			outFlag("states.md"),
			&cli.IntFlag{Name: "most", Usage: "states visited in the larger bounds", Value: 300_000},
		},
		Action: searchLeaseStates,
	}
}

func searchLeaseStates(_ context.Context, command *cli.Command) error {
	maxStates := command.Int("most")
	return writeReport(command.String("out"), "states.md", func(table *report) error {
		table.printf("Made by `fleetlab lease-states --most %d`.\n\n", maxStates)
		table.println("| off | on their way, faults, crashes, handings on, grants at the most | states | moves | deepest | whole | found |")
		table.println("| --- | --- | --- | --- | --- | --- | --- |")
		searches := leaseSearches(maxStates)
		rows := collectParallel(len(searches), func(index int) string {
			search := searches[index]
			return search.Row(search.Run())
		})
		for _, row := range rows {
			table.println(row)
		}
		return nil
	})
}

// leaseSearches returns the searches: with all safeguards in bounds of several sizes, then
// without each safeguard.
func leaseSearches(maxStates int) []experiment.LeaseSearch {
	searches := []experiment.LeaseSearch{
		{MaxInFlight: 1, MaxGrants: 1},
		{MaxInFlight: 1, MaxGrants: 2},
		{MaxInFlight: 1, MaxGrants: 2, MaxTransfers: 1},
		{MaxInFlight: 1, MaxGrants: 2, MaxCrashes: 1},
		{MaxInFlight: 2, MaxGrants: 1},
		{MaxInFlight: 3, MaxGrants: 3, MaxTransfers: 1, MaxCrashes: 1, MaxFaults: 1},
	}
	for _, safeguard := range experiment.SearchedSafeguards {
		searches = append(searches, experiment.LeaseSearch{
			Without: safeguard, MaxInFlight: 2, MaxCrashes: 1, MaxTransfers: 1, MaxGrants: 3,
		})
	}
	for i := range searches {
		searches[i].MaxStates = maxStates
	}
	return searches
}
