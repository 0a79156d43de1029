package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// startedInstance is a batch without its last line. Instance 3 starts in it and receives an endpoint
// list with cache 11 and parent 31.
const startedInstance = "TURN 1000000\nCATALOG 0 2\nITEM 11 1 0 0 1 1 -\nITEM 31 0 1 0 1 1 -\nSELECT 3\n" +
	"BEGIN 7 areas=hub,edge zone=1 machine_types=a,parent,origin family_info.second_tier_kind=1 " +
	"family_info.root_kind=2 classes.count=1 classes.0.aim_us=600000 classes.0.deadline_us=6000000 " +
	"family_info.one_flow_kb_per_s=1000 limits.try_limit=6\nDIRECTORY_UPDATE 2 1 0\n"

// requestLine is the line of a client's request.
const requestLine = "INGRESS 5 1 6000000 0 0 0 91f03b7c55d20a64 100 0\n"

// runInput returns the output of run for an input.
func runInput(t *testing.T, input string) string {
	t.Helper()
	var output bytes.Buffer
	if err := run(strings.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	return output.String()
}

func TestEachBatchHasReply(t *testing.T) {
	got := runInput(t, startedInstance+requestLine+"END\nTURN 1002000\nSELECT 3\nTEARDOWN\nEND\n")
	want := "BY 3\nSERVE_OR_FILL 5 1 0 7000000 11 31 0\nSCHEDULE 400000 21\nNEXT\nNEXT\n"
	if got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// TestEventsOfStoppedInstanceAreIgnored checks that events are ignored if they follow, in the same
// batch, the message that stops their instance.
func TestEventsOfStoppedInstanceAreIgnored(t *testing.T) {
	got := runInput(t, startedInstance+"TEARDOWN\n"+requestLine+"END\n")
	if want := "NEXT\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestEmptyInputIsNoError(t *testing.T) {
	if got := runInput(t, ""); got != "" {
		t.Errorf("got %q, want no output", got)
	}
}

func TestInvalidInputIsReported(t *testing.T) {
	for _, test := range []struct{ name, input, want string }{
		{"input ends inside a batch", startedInstance, "line 7: field message: input ends inside a batch"},
		{"invalid clock", "TURN x\nEND\n", "line 1: field clock_us"},
		{"unusable settings", "TURN 1\nSELECT 3\nBEGIN 7 areas=a\nEND\n", "instance 3: routing: Classes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := run(strings.NewReader(test.input), &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
}

// failingOutput is a writer whose writes all fail with err.
type failingOutput struct{ err error }

func (f failingOutput) Write([]byte) (int, error) { return 0, f.err }

func TestWriteErrorIsReported(t *testing.T) {
	broken := errors.New("broken pipe")
	err := run(strings.NewReader("TURN 1\nEND\n"), failingOutput{broken})
	if !errors.Is(err, broken) || err.Error() != "write reply: broken pipe" {
		t.Errorf("got error %v, want write reply: broken pipe", err)
	}
}
