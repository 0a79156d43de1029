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
func TestRecordMatchesGolden(t *testing.T) {
	const start = 1_700_000_000_000.0
	l := Begin(Trace{ID: ID{1, 2, 3, 15: 16}, ClientSpan: 99, Router: "n1", TransactionID: "9b1f03aa5c7e2d41", Class: "part", Object: 1 << 60, Chunk: 3,
		PurgeGroup: 17, Retry: 1, Start: start, Reasons: ReasonRetried | ReasonSlow, Weight: 2.5, LostBefore: 4}, 5)
	l.AttemptStarted(start+1, routing.SendAttempt{Server: 7, FillSource: 9, CopyRank: 2, JoinFill: true, Revalidate: true, OnlyIfCached: true, MaxAge: time.Second})
	l.AttemptEnded(start+41.25, routing.ServerError, 0, routing.LoadReport{Inflight: 3, LinkUtilization: math.NaN()}, WireTimes{DialedAt: start + 2, ConnectedAt: start + 3, WrittenAt: start + 3.5, MaxAge: 500})
	l.AttemptStarted(start+41.5, routing.SendAttempt{Server: 8, FillSource: 8})
	l.AttemptEnded(start+60, routing.Served, 4096, routing.LoadReport{Inflight: math.NaN(), LinkUtilization: 0.5}, WireTimes{})
	l.Responded(start+61, Served)
	record := l.Finished()
	record.Links = []Link{{From: record.Spans[0].ID, Trace: ID{9}, To: 77}}
	golden.Compare(t, "record.bin", Append(nil, record))
	read, err := Decode(golden.Read(t, "record.bin"))
	if err != nil || !equalTraces(record, read) {
		t.Errorf("read back: %+v, %v", read, err)
	}
}
