package render

import (
	"bytes"
	"math"
	"testing"
	"time"

	"garnetline/internal/golden"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// pinned returns two pieces of a trace, with each kind of span, flag and outcome of an attempt
// at a router and at a server, and one piece of another trace.
func goldenTraces() (id trace.ID, pieces []*trace.Trace, other *trace.Trace) {
	const start = 1_700_000_000_000.0
	id = trace.ID{1, 2, 3, 15: 16}
	l := trace.Begin(trace.Trace{ID: id, Router: "n1", TransactionID: "9b1f03aa5c7e2d41", Class: "part", Object: 1 << 60, Chunk: 3,
		PurgeGroup: 17, Retry: 1, Start: start, Reasons: trace.ReasonRetried | trace.ReasonSlow, Weight: 2.5, LostBefore: 4}, 5)
	l.AttemptStarted(start+1, routing.SendAttempt{Server: 7, FillSource: 9, CopyRank: 2, JoinFill: true, Revalidate: true, OnlyIfCached: true, MaxAge: time.Second})
	l.AttemptEnded(start+41.25, routing.ServerError, 0, routing.LoadReport{Inflight: 3, LinkUtilization: math.NaN()},
		trace.WireTimes{DialedAt: start + 2, ConnectedAt: start + 3, WrittenAt: start + 3.5, MaxAge: 500})
	for n := routing.Result(0); n <= routing.NotCached; n++ {
		at := start + 50 + 10*float64(n)
		l.AttemptStarted(at, routing.SendAttempt{Server: 8, FillSource: 8})
		l.AttemptEnded(at+5, n, 4096, routing.LoadReport{Inflight: math.NaN(), LinkUtilization: 0.5}, trace.WireTimes{WrittenAt: at + 1})
	}
	l.Responded(start+161, trace.Served)
	router := l.Finished()
	attempt := router.Spans[1]
	server := &trace.Trace{ID: id, Router: "s-7", Start: start + 4, End: start + 30, Spans: []trace.Span{
		{ID: 1001, Parent: attempt.ID, Kind: trace.ServerWork, Start: start + 4, End: start + 30, Server: 7, Result: uint8(routing.Filled)},
		{ID: 1002, Parent: 1001, Kind: trace.Fill, Start: start + 5, End: start + 20, Server: 9, Result: uint8(routing.OriginFailed)},
	}, Links: []trace.Link{{From: 1002, Trace: trace.ID{9}, To: 77}}}
	o := trace.Begin(trace.Trace{ID: trace.ID{9}, ClientSpan: 99, Router: "n2", Class: "form", Start: start, Reasons: trace.ReasonFailed | trace.ReasonSampled | trace.ReasonIdempotent | trace.ReasonClientSampled | trace.ReasonRejected, Weight: 1}, 9)
	o.Responded(start+20, trace.Rejected)
	return id, []*trace.Trace{router, server}, o.Finished()
}

// What collectors, terminals and browsers are given of a trace. UPDATE_GOLDEN=1 rewrites testdata.
func TestFormatsMatchGolden(t *testing.T) {
	id, pieces, other := goldenTraces()
	spans := trace.Merge(id, pieces)
	var otlp, waterfall, page bytes.Buffer
	if err := OTLP(&otlp, id, spans, pieces); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "trace.otlp.json", otlp.Bytes())
	batch, err := Batch(append(pieces, other))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "batch.otlp.json", batch)
	if err := Waterfall(&waterfall, spans, 40); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "waterfall.txt", waterfall.Bytes())
	if err := Page(&page, "a <title>", [][]trace.Span{spans, nil, trace.Merge(other.ID, []*trace.Trace{other})}); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "page.html", page.Bytes())
}
