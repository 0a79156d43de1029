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

// TestCommandsAndFlags compares the commands, arguments and flags with a golden file, because
// operators' scripts depend on them.
func TestCommandsAndFlags(t *testing.T) {
	var text strings.Builder
	describeCommand(&text, newCommand(io.Discard), "")
	golden.Compare(t, "commands.golden", []byte(text.String()))
}

// TestLeasePageKeys compares the JSON keys of the lease page with a golden file, because operators'
// scripts depend on them. The page shows the lease registry and the leases held.
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
