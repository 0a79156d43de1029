package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet/duties"
)

var update = flag.Bool("update", false, "write the golden files anew")

// compareGolden compares text with a file of testdata, to the byte; -update writes the file.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%s\nwant, as in %s,\n%s", got, path, want)
	}
}

// Commands, their arguments and their flags are what scripts of the operators rest on.
func TestCommandsAndFlags(t *testing.T) {
	var text strings.Builder
	describeCommand(&text, program(io.Discard), "")
	compareGolden(t, "commands.golden", text.String())
}

// The keys under which operators' scripts find the register and the leases held.
func TestKeysOfTheDutyPage(t *testing.T) {
	text, err := json.Marshal(dutyPage{Register: &duties.Shown{}, Held: []duties.Lease{{}}})
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "duties.golden", string(text)+"\n")
}

func describeCommand(out io.Writer, command *cli.Command, parent string) {
	path := strings.TrimSpace(parent + " " + command.Name)
	fmt.Fprintln(out, strings.TrimSpace(path+" "+command.ArgsUsage))
	for _, f := range command.Flags {
		fmt.Fprintf(out, "    --%s %T\n", strings.Join(f.Names(), " "), f.Get())
	}
	for _, sub := range command.Commands {
		describeCommand(out, sub, path)
	}
}
