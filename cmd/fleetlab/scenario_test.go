package main

import (
	"slices"
	"strings"
	"testing"
	"time"

	"garnetline/internal/golden"
)

// Users print the example scenario, edit the text and run it as a file, so the text must not change.
// UPDATE_GOLDEN=1 rewrites the file in testdata.
func TestTourIsUnchanged(t *testing.T) {
	golden.Compare(t, "tour.golden", []byte(tour))
}

func TestParseTour(t *testing.T) {
	parsed, err := parseScenario("the tour", tour)
	if err != nil {
		t.Fatal(err)
	}
	if parsed.routers != 5 || len(parsed.operations) != 9 {
		t.Errorf("got %d routers and %d operations, want 5 and 9", parsed.routers, len(parsed.operations))
	}
	split := parsed.operations[3]
	if split.at != 16*time.Second || split.verb != verbSplit || split.text != "split r00 r01 / r02 r03 r04" {
		t.Errorf("got %+v, want the split at 16 s", split)
	}
	if want := []string{"r00", "r01", "/", "r02", "r03", "r04"}; !slices.Equal(split.arguments, want) {
		t.Errorf("got arguments %q, want %q", split.arguments, want)
	}
}

func TestParseScenarioAcceptsEachVerb(t *testing.T) {
	const text = "0 routers 3\n1.5 cut r00 r01 # a comment\n2 oneway r00 r01\n2 loss r00 r01 0.5\n\n" +
		"3 disable c1 at r00\n4 enable c1 at r00\n5 kill r00\n6 start r00\n7 stop r00\n8 stall r01\n9 wake r01\n" +
		"10 split r00 / r01\n11 heal\n12 end\n"
	parsed, err := parseScenario("f", text)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[verb]bool{}
	for _, op := range parsed.operations {
		seen[op.verb] = true
	}
	for known := range actions {
		if !seen[known] {
			t.Errorf("no operation with verb %q, want one for each verb", known)
		}
	}
	if got := parsed.operations[1]; got.at != 1500*time.Millisecond || got.text != "cut r00 r01" {
		t.Errorf("got %+v, want the cut at 1.5 s without its comment", got)
	}
}

func TestParseScenarioRejects(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"nothing", "# only this\n", "f: expected at least one operation, got none"},
		{"no routers", "0 heal\n", "f:1: expected routers as the first operation, got heal"},
		{"too many routers", "0 routers 61\n", `f:1: routers: expected a number from 1 to 60, got "61"`},
		{"no number of routers", "0 routers many\n", `f:1: routers: expected a number from 1 to 60, got "many"`},
		{"no time", "routers 5\n", `f:1: expected a time from 0 to 3600 seconds and a verb, got ["routers" "5"]`},
		{"time not a number", "NaN routers 5\n", `f:1: expected a time from 0 to 3600 seconds and a verb, got ["NaN" "routers" "5"]`},
		{"negative time", "-1 routers 5\n", `f:1: expected a time from 0 to 3600 seconds and a verb, got ["-1" "routers" "5"]`},
		{"late time", "3601 routers 5\n", `f:1: expected a time from 0 to 3600 seconds and a verb, got ["3601" "routers" "5"]`},
		{"no verb", "0 routers 5\n1\n", `f:2: expected a time from 0 to 3600 seconds and a verb, got ["1"]`},
		{"unknown verb", "0 routers 5\n1 burn r00\n", `f:2: unknown verb "burn"`},
		{"too few words", "0 routers 5\n1 cut r00\n", "f:2: cut: expected 2 arguments, got 1"},
		{"back in time", "0 routers 5\n\n2 heal\n1 heal\n", "f:4: heal: time 1s is earlier than time 2s of the previous operation"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := parseScenario("f", test.text)
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got error %v, want one that begins with %q", err, test.want)
			}
		})
	}
}
