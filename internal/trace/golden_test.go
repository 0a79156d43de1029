package trace

import (
	"math"
	"testing"
	"time"

	"garnetline/decide"
	"garnetline/internal/golden"
)

// Kept records are read by later releases, and written as they always were.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestRecordFormat(t *testing.T) {
	const start = 1_700_000_000_000.0
	l := Begin(Trace{ID: ID{1, 2, 3, 15: 16}, Remote: 99, Router: "n1", Txn: "9b1f03aa5c7e2d41", Class: "part", Object: 1 << 60, Part: 3,
		Group: 17, Try: 1, Start: start, Why: WhyRetried | WhySlow, Weight: 2.5, Lost: 4}, 5)
	l.Sending(start+1, decide.Get{Server: 7, Source: 9, Keep: 2, Join: true, Renew: true, HeldOnly: true, MaxAge: time.Second})
	l.Over(start+41.25, decide.Errored, 0, decide.Load{Inflight: 3, Link: math.NaN()}, Wire{Dialled: start + 2, Up: start + 3, Wrote: start + 3.5, Age: 500})
	l.Sending(start+41.5, decide.Get{Server: 8, Source: 8})
	l.Over(start+60, decide.Served, 4096, decide.Load{Inflight: math.NaN(), Link: 0.5}, Wire{})
	l.Answered(start+61, Served)
	record := l.Piece()
	record.Links = []Link{{From: record.Spans[0].ID, Trace: ID{9}, To: 77}}
	golden.Compare(t, "record.bin", Append(nil, record))
	read, err := Decode(golden.Read(t, "record.bin"))
	if err != nil || !same(record, read) {
		t.Errorf("read back: %+v, %v", read, err)
	}
}
