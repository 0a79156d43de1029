package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
)

// loadReportingCommand compares strategies of load reporting. A strategy selects the routers of a
// zone that probe the zone's servers for their load. The command also compares intervals between
// probes.
func loadReportingCommand() *cli.Command {
	return &cli.Command{
		Name:   "load-reporting",
		Usage:  "compare which routers probe servers for their load: none, all, one by hash, one by lease",
		Flags:  []cli.Flag{outFlag("worth.md")},
		Action: measureLoadReporting,
	}
}

func measureLoadReporting(_ context.Context, command *cli.Command) error {
	return writeReport(command.String("out"), "worth.md", func(table *report) error {
		table.printf("Made by `fleetlab load-reporting`: 90 s of virtual time, 20 servers in one zone, which is partitioned from 30 to 60 s; six in ten routers are on the lease registry's side.\n\n")
		return experiment.LoadReportingTable(table)
	})
}
