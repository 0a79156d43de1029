package main

import (
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/operatorconfig"
)

// check validates the platform configuration and the operators' settings file, and prints a summary
// of both. If no platform configuration is named, it checks only the settings file.
func check(command *cli.Command, out io.Writer) error {
	lines := &printer{out: out}
	operators, err := checkFiles(command, lines)
	if err != nil {
		return err
	}
	if operators.DNS.Enabled {
		lines.linef("DNS front: %s at %s", operators.DNS.Zone, operators.DNS.Listen)
	}
	if fleet := operators.Fleet; fleet.Enabled {
		lines.linef("fleet %s: listens on %s, joins at %d addresses, %d keys", fleet.Name, fleet.Listen, len(fleet.Join), len(fleet.Keys))
	}
	if lines.err != nil || !operators.Fleet.Enabled {
		return lines.err
	}
	return printConnectivityBehavior(out)
}

// checkFiles reads the configuration files that the command names. It prints one line about them
// and returns the operators' settings.
func checkFiles(command *cli.Command, lines *printer) (operatorconfig.Config, error) {
	if settingsAlone(command) {
		operators, err := operatorconfig.Load(command.String("settings"))
		if err == nil {
			lines.linef("%s: can be used", command.String("settings"))
		}
		return operators, err
	}
	loaded, err := loadConfig(command)
	if err != nil {
		return operatorconfig.Config{}, err
	}
	platform := loaded.platform
	lines.linef("%s: listens on %v, change log at %v, %d events known, %d classes",
		platform.Name, platform.Listen, platform.Discovery, len(platform.KnownEvents), len(platform.Settings.Classes))
	return loaded.operators, nil
}

// settingsAlone reports whether the --settings file is the only file that the command line and
// EDGE_CONFIG name.
func settingsAlone(command *cli.Command) bool {
	return command.String("config") == "" && os.Getenv("EDGE_CONFIG") == "" &&
		command.String("settings") != "" && command.String("dns") == ""
}

// printConnectivityBehavior prints what a router does in each connectivity state: "together",
// "partial" or "alone", depending on how many routers of its fleet it can reach.
func printConnectivityBehavior(out io.Writer) error {
	table := newTable(out)
	table.linef("\ttogether\tpartial\talone")
	for _, behavior := range connectivity.Behaviors() {
		table.linef("%s\t%s\t%s\t%s", behavior.Subject, behavior.Together, behavior.Partial, behavior.Alone)
	}
	return table.flush()
}
