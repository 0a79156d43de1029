package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
)

const (
	// handoversPerRun is the number of handovers in a simulated run with all safeguards.
	handoversPerRun = 20_000

	// handoversPerSearch is the maximum number of handovers in a run that looks for a violation
	// with a safeguard off.
	handoversPerSearch = 2000

	millisecondsPerHour = 3_600_000
)

// leasesCommand simulates many handovers of a lease with all safeguards. Then it looks for violations
// with one safeguard off at a time. A violation means that two routers acted under the lease at the
// same time.
func leasesCommand() *cli.Command {
	return &cli.Command{
		Name:  "leases",
		Usage: "simulate handovers of a lease, with all safeguards and then with each one off in turn",
		Flags: []cli.Flag{
			outFlag("leases.md"),
			&cli.IntFlag{Name: "handovers", Value: 1_000_000},
			&cli.IntFlag{Name: "seeds", Usage: "seeds tried with each safeguard off", Value: 200},
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
		table.printf("%d handovers (%d planned) in %.0f virtual hours and %d runs, %d writes sent, %d stopped by the check at the write, %d rejected by the receiver because of their fencing token. Two routers that acted at once: %s.\n\n",
			totals.Handovers, totals.PlannedHandovers, totals.SimulatedTime/millisecondsPerHour, runs, totals.Writes, totals.StoppedAtWrite, totals.Rejected, totals.Violation)
		table.println("| safeguard off | seeds with a violation | smallest schedule: faults and transfers | handovers in it | violation in it |")
		table.println("| --- | --- | --- | --- | --- |")
		for _, weakened := range weakenedLeases() {
			found := weakened.searchViolations(seeds)
			table.printf("| %s | %d of %d | %d | %d | %s |\n", weakened.name, found.seeds, seeds,
				found.smallest.FaultsAndTransfers, found.smallest.Handovers, found.smallest.Violation)
		}
		return nil
	})
}

// totalLeaseRuns simulates runs with all safeguards and adds up their results.
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

// weakenedLease is a simulation with a safeguard off or with too much clock drift, in which two
// routers may act under the lease at the same time.
type weakenedLease struct {
	name       string               // printed in the table
	without    experiment.Safeguard // the safeguard that is off
	clockDrift float64              // as a multiple of the drift that the settings allow
}

// weakenedLeases returns one simulation for each safeguard, in which that safeguard is off. It adds
// a simulation with all safeguards, in which clocks drift more than the settings allow.
func weakenedLeases() []weakenedLease {
	var all []weakenedLease
	for _, safeguard := range experiment.Safeguards {
		all = append(all, weakenedLease{name: string(safeguard), without: safeguard, clockDrift: 1})
	}
	return append(all, weakenedLease{name: "ten times the drift", without: experiment.NoSafeguard, clockDrift: 10})
}

// violations is the result of searchViolations.
type violations struct {
	seeds    int                    // number of seeds with a violation
	smallest experiment.LeaseResult // result of the run that has the fewest faults and transfers of all runs with a violation
}

// searchViolations runs the simulation once for each seed from 1 to seedCount.
func (w weakenedLease) searchViolations(seedCount int) violations {
	results := collectParallel(seedCount, func(index int) experiment.LeaseResult {
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
		if found.seeds == 1 || result.FaultsAndTransfers < found.smallest.FaultsAndTransfers {
			found.smallest = result
			found.smallest.Violation = fmt.Sprintf("seed %d: %s", index+1, result.Violation)
		}
	}
	return found
}

// leaseStatesCommand searches the reachable states of two routers and a lease registry for states in
// which both routers can act under the lease.
func leaseStatesCommand() *cli.Command {
	return &cli.Command{
		Name:  "lease-states",
		Usage: "search the reachable states of two routers and a lease registry for violations",
		Flags: []cli.Flag{
			outFlag("states.md"),
			&cli.IntFlag{Name: "most", Usage: "maximum number of states that a search visits", Value: 300_000},
		},
		Action: searchLeaseStates,
	}
}

func searchLeaseStates(_ context.Context, command *cli.Command) error {
	maxStates := command.Int("most")
	return writeReport(command.String("out"), "states.md", func(table *report) error {
		table.printf("Made by `fleetlab lease-states --most %d`.\n\n", maxStates)
		table.println("| safeguard off | maximum of messages in flight, faults, crashes, transfers, grants | states | moves | depth | complete | found |")
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

// leaseSearches returns the searches of the command. The first searches have all safeguards and
// different bounds. The other searches have equal bounds, and each has at most one safeguard off.
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
