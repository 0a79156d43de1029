package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet/leasemanager"
	"garnetline/internal/golden"
)

// Operators' scripts depend on the commands, their arguments and their flags.
func TestCommandsAndFlags(t *testing.T) {
	var text strings.Builder
	describeCommand(&text, newCommand(io.Discard), "")
	golden.Compare(t, "commands.golden", []byte(text.String()))
}

// Operators' scripts depend on the JSON keys of the lease registry and of the leases held.
func TestLeasePageKeys(t *testing.T) {
	text, err := json.Marshal(leasePage{Registry: &leasemanager.Status{}, Held: []leasemanager.Lease{{}}})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "duties.golden", []byte(string(text)+"\n"))
}

// describeCommand writes the path, the arguments and the flags of a command and its subcommands.
func describeCommand(out *strings.Builder, command *cli.Command, parent string) {
	path := strings.TrimSpace(parent + " " + command.Name)
	fmt.Fprintln(out, strings.TrimSpace(path+" "+command.ArgsUsage))
	for _, f := range command.Flags {
		fmt.Fprintf(out, "    --%s %T\n", strings.Join(f.Names(), " "), f.Get())
	}
	for _, sub := range command.Commands {
		describeCommand(out, sub, path)
	}
}
