package store

import (
	"testing"

	"garnetline/internal/trace"
)

// TestQueryFindsWhatScanFinds checks that a query finds all matching traces, although it skips
// blocks. It also checks that a query with few matching traces does not read all blocks.
func TestQueryFindsWhatScanFinds(t *testing.T) {
	folder := t.TempDir()
	written := writeTraces(t, folder, 20_000, 256<<10)
	if segments := listSegments(t, folder); len(segments) < 3 {
		t.Fatalf("got %d segments, want 3 or more", len(segments))
	}
	blocks, traces, spans := readIndex(t, folder).Stat()
	if traces != len(written) || spans < 3*traces {
		t.Errorf("Stat returned %d traces and %d spans, want %d traces with 3 or more spans each", traces, spans, len(written))
	}
	for _, test := range []struct {
		name   string
		filter Filter
		rare   bool // the matching traces are in at most a fifth of the blocks
	}{
		{"all", Filter{}, false},
		{"by ID", Filter{ID: written[12_345].ID}, true},
		{"failed", Filter{Outcomes: 1 << trace.Failed}, true},
		{"by server", Filter{Server: failingServer}, true},
		{"slow", Filter{MinDuration: slowDuration}, true},
		{"slower than most of a class", Filter{Class: "sheet", MinDuration: 80}, false},
		{"by start", Filter{From: written[100].Start, To: written[200].Start}, true},
		{"more attempts than any has", Filter{MinAttempts: 3}, true},
		{"reason that none has", Filter{Reasons: trace.ReasonSlow}, true},
		{"unknown class", Filter{Class: "none"}, true},
		{"several fields", Filter{Outcomes: 1 << trace.Failed, Class: "part", Server: failingServer}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := 0
			for _, candidate := range written {
				if test.filter.Matches(candidate) {
					want++
				}
			}
			found, blocksRead := queryFolder(t, folder, test.filter)
			if len(found) != want {
				t.Errorf("got %d traces, want %d", len(found), want)
			}
			if test.filter.ID != (trace.ID{}) && (len(found) != 1 || found[0].ID != test.filter.ID) {
				t.Errorf("got traces %+v, want only the trace with ID %v", found, test.filter.ID)
			}
			if test.rare && blocksRead > blocks/5 {
				t.Errorf("got %d of %d blocks read, want at most a fifth of the blocks", blocksRead, blocks)
			}
		})
	}
}
