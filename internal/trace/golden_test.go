package trace

import (
	"math"
	"testing"
	"time"

	"garnetline/internal/golden"
	"garnetline/routing"
)

// Kept records are read by later releases, and written as they always were.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestRecordFormat(t *testing.T) {
	const start = 1_700_000_000_000.0
	l := Begin(Trace{ID: ID{1, 2, 3, 15: 16}, Remote: 99, Router: "n1", Txn: "9b1f03aa5c7e2d41", Class: "part", Object: 1 << 60, Part: 3,
		Group: 17, Try: 1, Start: start, Why: WhyRetried | WhySlow, Weight: 2.5, Lost: 4}, 5)
	l.AttemptStarted(start+1, routing.SendAttempt{Server: 7, FillSource: 9, CopyRank: 2, JoinFill: true, Revalidate: true, OnlyIfCached: true, MaxAge: time.Second})
	l.AttemptEnded(start+41.25, routing.ServerError, 0, routing.LoadReport{Inflight: 3, LinkUtilization: math.NaN()}, Wire{Dialled: start + 2, Up: start + 3, Wrote: start + 3.5, Age: 500})
	l.AttemptStarted(start+41.5, routing.SendAttempt{Server: 8, FillSource: 8})
	l.AttemptEnded(start+60, routing.Served, 4096, routing.LoadReport{Inflight: math.NaN(), LinkUtilization: 0.5}, Wire{})
	l.Responded(start+61, Served)
	record := l.Piece()
	record.Links = []Link{{From: record.Spans[0].ID, Trace: ID{9}, To: 77}}
	golden.Compare(t, "record.bin", Append(nil, record))
	read, err := Decode(golden.Read(t, "record.bin"))
	if err != nil || !same(record, read) {
		t.Errorf("read back: %+v, %v", read, err)
	}
}
