package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
	"garnetline/internal/fleet/consensus"
)

const (
	// shortRegistryRun is the simulated time of the runs with the default settings, ms.
	shortRegistryRun = 60_000

	// shortTransferInterval is how often a lease is transferred in those runs, ms.
	shortTransferInterval = 500

	millisecondsPerDay = 24 * millisecondsPerHour
)

// leaseRegistryCommand measures voters and routers with some leases and with many, and, over a
// month of simulated time, with long leases.
func leaseRegistryCommand() *cli.Command {
	return &cli.Command{
		Name:  "lease-registry",
		Usage: "what leases cost the voters: requests, bytes, memory, disk",
		Flags: []cli.Flag{
			outFlag("register.md"),
			&cli.FloatFlag{Name: "days", Usage: "of the long run", Value: 30},
		},
		Action: measureLeaseRegistry,
	}
}

func measureLeaseRegistry(_ context.Context, command *cli.Command) error {
	days := command.Float("days")
	return writeReport(command.String("out"), "register.md", func(table *report) error {
		table.printf("Made by `fleetlab lease-registry --days %g`: electors, routers and their register on one virtual clock, a message takes 0.3 ms and 0.3 on average on top; a duty is handed on twice a second, and in the last run, whose tick is 1 s and lease 60 s, once a minute, while a router is deaf for two leases every hour.\n\n", days)
		table.println("| electors, routers, duties | hours | held at the end | from ask to grant, ms: median, p99 | handed on, ms: median, p99 | questions/s | between electors: messages/s, bytes/s | questions and answers: bytes/s | commands | syncs of a disk | its most, KB | heap of all after each eighth, MB |")
		table.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, run := range registryRuns(days) {
			result, err := run.registry.Run(run.duration)
			if err != nil {
				return err
			}
			table.println(run.registry.Row(result))
		}
		return nil
	})
}

// registryRun is one row of the table.
type registryRun struct {
	registry experiment.Registry
	duration float64 // ms of simulated time
}

func registryRuns(days float64) []registryRun {
	return []registryRun{
		{shortRegistry(30, 10), shortRegistryRun},
		{shortRegistry(30, 1000), shortRegistryRun},
		{shortRegistry(300, 10), shortRegistryRun},
		{longRegistry(), days * millisecondsPerDay},
	}
}

// shortRegistry returns a registry with the default settings.
func shortRegistry(routers, leases int) experiment.Registry {
	return experiment.Registry{
		Seed:             1,
		Voters:           5,
		Routers:          routers,
		Leases:           leases,
		Settings:         consensus.DefaultSettings(),
		TransferInterval: shortTransferInterval,
	}
}

// longRegistry returns a registry whose times are long enough for a month to be simulated in
// minutes.
func longRegistry() experiment.Registry {
	settings := consensus.DefaultSettings()
	settings.TickInterval = 1000
	settings.ElectionTicks = 30
	settings.HeartbeatTicks = 5
	settings.Lease.TTL = 60_000
	settings.Lease.SafetyMargin = 2000
	settings.Lease.RetryInterval = 5000
	return experiment.Registry{
		Seed:               1,
		Voters:             5,
		Routers:            10,
		Leases:             10,
		Settings:           settings,
		TransferInterval:   60_000,
		AnswerLossInterval: millisecondsPerHour,
	}
}
