package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
)

// The commands of the operators' page run as they are printed, and print what stands
// there. (`$ ` begins a command; what follows it in its block is its output.)
func TestTracingPageRunsAsPrinted(t *testing.T) {
	page, err := os.ReadFile("../../docs/tracing.md")
	if err != nil {
		t.Fatal(err)
	}
	ran := 0
	for block := range strings.SplitSeq(string(page), "\n\n") {
		line, want, _ := strings.Cut(strings.ReplaceAll("\n"+block, "\n    ", "\n")[1:], "\n")
		command, ok := strings.CutPrefix(line, "$ bin/garnetline trace ")
		if !ok {
			continue
		}
		ran++
		args := strings.Fields(strings.ReplaceAll(command, "docs/", "../../docs/"))
		var out bytes.Buffer
		if err := newTraceCommand(&out).Run(context.Background(), append([]string{"trace"}, args...)); err != nil {
			t.Errorf("%s: %v", command, err)
		}
		var got []string
		for l := range strings.Lines(out.String()) {
			got = append(got, strings.TrimRight(l, " \n"))
		}
		if strings.Join(got, "\n") != strings.TrimRight(want, "\n") {
			t.Errorf("%s printed\n%s\nthe page has\n%s", command, strings.Join(got, "\n"), want)
		}
	}
	if ran < 4 {
		t.Errorf("%d commands were found", ran)
	}
}
