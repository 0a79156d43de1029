// Command fleetlab shows and measures fleets of routers under faults: as real processes, with
// fault proxies between them, and as state machines on a simulated network.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		os.Exit(1)
	}
}

func newApp() *cli.Command {
	commands := []*cli.Command{
		fleetCommand(),
		requestsCommand(),
		leasesCommand(),
		leaseStatesCommand(),
		recoveryProbeCommand(),
		leaseRegistryCommand(),
		loadReportingCommand(),
		handoversCommand(),
		membershipCommand(),
		falsePositivesCommand(),
	}
	return &cli.Command{
		Name:     "fleetlab",
		Usage:    "several routers together: shown, and measured",
		Commands: commands,
	}
}
