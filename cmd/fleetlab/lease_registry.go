package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
	"garnetline/internal/fleet/consensus"
)

const (
	// shortRegistryRun is the simulated time in ms of a run with the default settings.
	shortRegistryRun = 60_000

	// shortTransferInterval is the mean time in ms between two transfers of a lease in a run with the
	// default settings.
	shortTransferInterval = 500

	millisecondsPerDay = 24 * millisecondsPerHour
)

// leaseRegistryCommand measures the cost of leases for the voters of a lease registry. Short runs
// have few or many leases. A long run simulates a month with leases of 60 s.
func leaseRegistryCommand() *cli.Command {
	return &cli.Command{
		Name:  "lease-registry",
		Usage: "measure the cost of leases for the voters: requests, bytes, memory, disk",
		Flags: []cli.Flag{
			outFlag("register.md"),
			&cli.FloatFlag{Name: "days", Usage: "simulated days of the long run", Value: 30},
		},
		Action: measureLeaseRegistry,
	}
}

func measureLeaseRegistry(_ context.Context, command *cli.Command) error {
	days := command.Float("days")
	return writeReport(command.String("out"), "register.md", func(table *report) error {
		table.printf("Made by `fleetlab lease-registry --days %g`: voters and routers on one virtual clock; the delay of a message is 0.3 ms plus 0.3 ms on average; a lease is transferred twice a second. The last run has a tick of 1 s and leases of 60 s: a lease is transferred once a minute, and once an hour a router receives no responses for two lease periods.\n\n", days)
		table.println("| voters, routers, leases | hours | held at the end | from request to grant, ms: median, p99 | transfers, ms: median, p99 | requests/s | between voters: messages/s, bytes/s | requests and responses: bytes/s | commands | syncs of the leader's disk | its maximum size, KB | heap of the process after each eighth, MB |")
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

// registryRun is a run whose result is one row of the table.
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

// shortRegistry returns a run of a registry with the default settings.
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

// longRegistry returns a run of a registry with long ticks and leases, so that a month can be
// simulated in minutes.
func longRegistry() experiment.Registry {
	settings := consensus.DefaultSettings()
	settings.TickInterval = 1000
	settings.ElectionTicks = 30
	settings.HeartbeatTicks = 5
	settings.Lease.TTL = 60_000
	settings.Lease.SafetyMargin = 2000
	settings.Lease.RetryInterval = 5000
	return experiment.Registry{
		Seed:                 1,
		Voters:               5,
		Routers:              10,
		Leases:               10,
		Settings:             settings,
		TransferInterval:     60_000,
		ResponseLossInterval: millisecondsPerHour,
	}
}
