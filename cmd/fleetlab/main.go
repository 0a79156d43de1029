// Command fleetlab runs and measures fleets of routers under faults. The routers are real
// processes with fault proxies between them, or state machines on a simulated network.
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
		Usage:    "run and measure fleets of routers under faults",
		Commands: append(commands, deprecatedCommands()...),
	}
}

// renamedCommands are the commands that had another name in the previous version.
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

// deprecatedCommands returns the renamed commands under their old names, which stay available
// for one more version. Each old name is a hidden command instead of one of cli.Command.Aliases,
// because the help would list an alias.
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
