package main

import (
	"os"
	"strings"
	"testing"
)

// documentedCommand is a command on a documentation page and the output shown below it.
type documentedCommand struct {
	args   []string
	output string
}

// documentedTraceCommands returns the trace commands of a page. The page shows each command in an
// indented block. The first line of the block begins with "$ bin/garnetline trace"; the other lines
// are the output of the command.
func documentedTraceCommands(page string) []documentedCommand {
	var found []documentedCommand
	for block := range strings.SplitSeq(page, "\n\n") {
		unindented := strings.ReplaceAll("\n"+block, "\n    ", "\n")[1:]
		firstLine, output, _ := strings.Cut(unindented, "\n")
		command, ok := strings.CutPrefix(firstLine, "$ bin/garnetline trace ")
		if !ok {
			continue
		}
		args := strings.Fields(strings.ReplaceAll(command, "docs/", "../../docs/"))
		found = append(found, documentedCommand{args: args, output: strings.TrimRight(output, "\n")})
	}
	return found
}

// The commands on the operators' page about tracing succeed, and print the output that the page
// shows.
func TestTracingPageRunsAsPrinted(t *testing.T) {
	page, err := os.ReadFile("../../docs/tracing.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := documentedTraceCommands(string(page))
	if len(commands) < 4 {
		t.Errorf("found %d commands on the page, want 4 or more", len(commands))
	}
	for _, command := range commands {
		t.Run(strings.Join(command.args, " "), func(t *testing.T) {
			var got []string
			for line := range strings.Lines(runTraceCommand(t, command.args...)) {
				got = append(got, strings.TrimRight(line, " \n"))
			}
			if printed := strings.Join(got, "\n"); printed != command.output {
				t.Errorf("got output\n%s\nwant as on the page\n%s", printed, command.output)
			}
		})
	}
}
