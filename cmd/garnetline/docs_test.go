package main

import (
	"os"
	"strings"
	"testing"
)

// documentedCommand is a command of a documentation page and what stands under it.
type documentedCommand struct {
	args   []string
	output string
}

// documentedTraceCommands returns the commands of a page: an indented block whose first line
// begins with "$ bin/garnetline trace". The rest of the block is what the command prints.
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

// The commands of the operators' page run as they are printed, and print what stands there.
func TestTracingPageRunsAsPrinted(t *testing.T) {
	page, err := os.ReadFile("../../docs/tracing.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := documentedTraceCommands(string(page))
	if len(commands) < 4 {
		t.Errorf("%d commands were found, want 4 or more", len(commands))
	}
	for _, command := range commands {
		t.Run(strings.Join(command.args, " "), func(t *testing.T) {
			var got []string
			for line := range strings.Lines(runTraceCommand(t, command.args...)) {
				got = append(got, strings.TrimRight(line, " \n"))
			}
			if printed := strings.Join(got, "\n"); printed != command.output {
				t.Errorf("printed\n%s\nthe page has\n%s", printed, command.output)
			}
		})
	}
}
