package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
)

// loadReportingCommand compares which routers of a zone probe its servers for their load, and
// how often.
func loadReportingCommand() *cli.Command {
	return &cli.Command{
		Name:   "load-reporting",
		Usage:  "who probes servers for their load: nobody, everybody, one by hash, one by lease",
		Flags:  []cli.Flag{outFlag("worth.md")},
		Action: measureLoadReporting,
	}
}

func measureLoadReporting(_ context.Context, command *cli.Command) error {
	return writeReport(command.String("out"), "worth.md", func(table *report) error {
		table.printf("Made by `fleetlab load-reporting`: 90 virtual seconds, 20 boxes in one location, which is cut in two from 30 to 60 s; six in ten routers are on the register's side.\n\n")
		return experiment.LoadReportingTable(table)
	})
}
