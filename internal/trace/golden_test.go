package trace

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"garnetline/internal/golden"
	"garnetline/routing"
)

// goldenTrace returns a partial trace with a value in every stored field.
func goldenTrace() *Trace {
	const start = 1_700_000_000_000.0
	active := Begin(Trace{
		ID:            ID{1, 2, 3, 15: 16},
		ClientSpan:    99,
		Router:        "n1",
		TransactionID: "9b1f03aa5c7e2d41",
		Class:         "part",
		Object:        1 << 60,
		Chunk:         3,
		PurgeGroup:    17,
		Retry:         1,
		Start:         start,
		Reasons:       ReasonRetried | ReasonSlow,
		Weight:        2.5,
		LostBefore:    4,
	}, 5)
	active.AttemptStarted(start+1, routing.SendAttempt{
		Server:       7,
		FillSource:   9,
		CopyRank:     2,
		JoinFill:     true,
		Revalidate:   true,
		OnlyIfCached: true,
		MaxAge:       time.Second,
	})
	active.AttemptEnded(start+41.25, routing.ServerError, 0, routing.LoadReport{Inflight: 3, LinkUtilization: math.NaN()},
		WireTimes{DialedAt: start + 2, ConnectedAt: start + 3, WrittenAt: start + 3.5, MaxAge: 500})
	active.AttemptStarted(start+41.5, routing.SendAttempt{Server: 8, FillSource: 8})
	active.AttemptEnded(start+60, routing.Served, 4096, routing.LoadReport{Inflight: math.NaN(), LinkUtilization: 0.5}, WireTimes{})
	active.Responded(start+61, Served)
	finished := active.Finished()
	finished.Links = []Link{{From: finished.Spans[0].ID, Trace: ID{9}, To: 77}}
	return finished
}

// TestRecordMatchesGolden checks that the stored form of a trace does not change. Retained
// traces stay on disk when a router is updated, and the new version must be able to read them.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestRecordMatchesGolden(t *testing.T) {
	want := goldenTrace()
	golden.Compare(t, "record.bin", Append(nil, want))
	got, err := Decode(golden.Read(t, "record.bin"))
	if err != nil {
		t.Fatalf("Decode: %v", err)
	}
	if !equalTraces(got, want) {
		t.Errorf("Decode returned\n%+v, want\n%+v", got, want)
	}
}

// TestDerivedValuesMatchGolden checks that derived values do not change: the IDs of the root
// span and of other spans, the sampling order, the traceparent header, and the names of kinds
// and outcomes. Routers of different versions, collectors and operators share these values.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestDerivedValuesMatchGolden(t *testing.T) {
	var text bytes.Buffer
	for n := range byte(8) {
		id := ID{n, 1, 2, 15: 255 - n}
		header := SpanContext{Trace: id, Span: SpanID(n) + 1, Sampled: n%2 == 1}
		fmt.Fprintf(&text, "%v root %016x span %016x order %.17g header %s\n",
			id, uint64(id.Root()), uint64(id.Span(uint64(n)+7)), id.Order(), header)
	}
	for kind := range kindCount + 1 {
		fmt.Fprintf(&text, "kind %v\n", kind)
	}
	for outcome := range outcomeCount + 1 {
		fmt.Fprintf(&text, "outcome %v\n", outcome)
	}
	golden.Compare(t, "derived.txt", text.Bytes())
}
