package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
)

// quietPeriod is the simulated time in ms for which a fleet runs without faults to measure its
// traffic.
const quietPeriod = 20_000

// membershipCommand measures how fast failures are detected, how much traffic and memory the
// protocol needs, and how often live routers are suspected.
func membershipCommand() *cli.Command {
	return &cli.Command{
		Name:  "membership",
		Usage: "measure failure detection on the simulated network; writes a table and charts",
		Flags: []cli.Flag{
			outFlag("members.md and the charts"),
			&cli.IntSliceFlag{Name: "sizes", Usage: "fleet sizes, in routers", Value: []int{3, 30, 300, 1000}},
			&cli.IntFlag{Name: "seeds", Usage: "runs of each variant and size", Value: 10},
			&cli.IntFlag{Name: "kills", Usage: "routers killed in each run; fewer in fleets of over 30", Value: 20},
			&cli.DurationFlag{Name: "rough", Usage: "simulated time under each fault; less in fleets of over 30", Value: 10 * time.Minute},
		},
		Action: measureMembership,
	}
}

func measureMembership(_ context.Context, command *cli.Command) error {
	startedAt := time.Now()
	folder := command.String("out")
	faultPeriod := command.Duration("rough")
	measurement := experiment.Membership{
		Sizes:       command.IntSlice("sizes"),
		Seeds:       command.Int("seeds"),
		Kills:       command.Int("kills"),
		QuietPeriod: quietPeriod,
		FaultPeriod: wholeMilliseconds(faultPeriod),
		Losses:      []float64{0, 0.05, 0.2},
	}
	results := measurement.Run(os.Stderr)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	err := writeReport(folder, "members.md", func(table *report) error {
		table.printf("Made by `fleetlab membership --sizes %v --seeds %d --kills %d --rough %v`, %v.\n\n",
			measurement.Sizes, measurement.Seeds, measurement.Kills, faultPeriod, time.Since(startedAt).Round(time.Second))
		return experiment.MembershipTable(table, results)
	})
	if err != nil {
		return err
	}
	return experiment.MembershipCharts(folder, results)
}

// falsePositivesCommand counts how often live routers are suspected or marked as failed.
func falsePositivesCommand() *cli.Command {
	return &cli.Command{
		Name:  "false-positives",
		Usage: "count suspicions and failures of live routers in a simulated day under packet loss",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "routers", Value: 30},
			&cli.IntFlag{Name: "seeds", Value: 10},
			&cli.FloatFlag{Name: "loss", Value: 0.05},
			&cli.DurationFlag{Name: "for", Value: 24 * time.Hour},
		},
		Action: measureFalsePositives,
	}
}

func measureFalsePositives(_ context.Context, command *cli.Command) error {
	routers := command.Int("routers")
	loss := command.Float("loss")
	duration := wholeMilliseconds(command.Duration("for"))
	forEachParallel(command.Int("seeds"), func(index int) {
		seed := index + 1
		result := experiment.MeasureFalsePositives(routers, uint64(seed), loss, duration)
		fmt.Printf("%d routers, seed %d, %s, %.0f hours: %d suspicions, %d failures of live routers\n",
			routers, seed, result.Fault, result.Hours, result.Suspicions, result.Failures)
	})
	return nil
}

// wholeMilliseconds converts a duration to whole milliseconds of an experiment's clock.
func wholeMilliseconds(duration time.Duration) float64 {
	return float64(duration.Milliseconds())
}
