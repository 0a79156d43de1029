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
		Commands: append(commands, deprecatedCommands()...),
	}
}

// renamedCommands are the commands that had another name in the version before.
var renamedCommands = []struct {
	oldName    string
	newCommand func() *cli.Command
}{
	{"returns", recoveryProbeCommand},
	{"register", leaseRegistryCommand},
	{"worth", loadReportingCommand},
	{"members", membershipCommand},
	{"day", falsePositivesCommand},
}

// deprecatedCommands returns the renamed commands under their old names. They work for one
// more version and are not listed in the help. cli.Command.Aliases would be.
func deprecatedCommands() []*cli.Command {
	var commands []*cli.Command
	for _, renamed := range renamedCommands {
		command := renamed.newCommand()
		command.Name = renamed.oldName
		command.Hidden = true
		commands = append(commands, command)
	}
	return commands
}
