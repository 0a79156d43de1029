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

// goldenStart is the time when the requests of the golden traces were received, in Unix ms.
const goldenStart = 1_700_000_000_000.0

// routerTrace returns the partial trace of a router. Its first attempt has all flags and a new
// connection. Further attempts follow, one for each result.
func routerTrace(id trace.ID) *trace.Trace {
	active := trace.Begin(trace.Trace{
		ID:            id,
		Router:        "n1",
		TransactionID: "9b1f03aa5c7e2d41",
		Class:         "part",
		Object:        1 << 60,
		Chunk:         3,
		PurgeGroup:    17,
		Retry:         1,
		Start:         goldenStart,
		Reasons:       trace.ReasonRetried | trace.ReasonSlow,
		Weight:        2.5,
		LostBefore:    4,
	}, 5)
	active.AttemptStarted(goldenStart+1, routing.SendAttempt{
		Server:       7,
		FillSource:   9,
		CopyRank:     2,
		JoinFill:     true,
		Revalidate:   true,
		OnlyIfCached: true,
		MaxAge:       time.Second,
	})
	active.AttemptEnded(goldenStart+41.25, routing.ServerError, 0,
		routing.LoadReport{Inflight: 3, LinkUtilization: math.NaN()},
		trace.WireTimes{DialedAt: goldenStart + 2, ConnectedAt: goldenStart + 3, WrittenAt: goldenStart + 3.5, MaxAge: 500})
	for result := routing.Result(0); result <= routing.NotCached; result++ {
		sentAt := goldenStart + 50 + 10*float64(result)
		active.AttemptStarted(sentAt, routing.SendAttempt{Server: 8, FillSource: 8})
		active.AttemptEnded(sentAt+5, result, 4096,
			routing.LoadReport{Inflight: math.NaN(), LinkUtilization: 0.5}, trace.WireTimes{WrittenAt: sentAt + 1})
	}
	active.Responded(goldenStart+161, trace.Served)
	return active.Finished()
}

// serverTrace returns the partial trace that a server recorded for the given attempt. The
// server's fill failed.
func serverTrace(id trace.ID, attempt trace.SpanID) *trace.Trace {
	const (
		workID trace.SpanID = 1001
		fillID trace.SpanID = 1002
	)
	return &trace.Trace{
		ID:     id,
		Router: "s-7",
		Start:  goldenStart + 4,
		End:    goldenStart + 30,
		Spans: []trace.Span{
			{ID: workID, Parent: attempt, Kind: trace.ServerWork, Start: goldenStart + 4, End: goldenStart + 30, Server: 7, Result: uint8(routing.Filled)},
			{ID: fillID, Parent: workID, Kind: trace.Fill, Start: goldenStart + 5, End: goldenStart + 20, Server: 9, Result: uint8(routing.OriginFailed)},
		},
		Links: []trace.Link{{From: fillID, Trace: trace.ID{9}, To: 77}},
	}
}

// rejectedTrace returns the partial trace that a second router recorded for a rejected request.
// The request had no attempt. The client of the request sent its own span ID.
func rejectedTrace() *trace.Trace {
	active := trace.Begin(trace.Trace{
		ID:         trace.ID{9},
		ClientSpan: 99,
		Router:     "n2",
		Class:      "form",
		Start:      goldenStart,
		Reasons:    trace.ReasonFailed | trace.ReasonSampled | trace.ReasonIdempotent | trace.ReasonClientSampled | trace.ReasonRejected,
		Weight:     1,
	}, 9)
	active.Responded(goldenStart+20, trace.Rejected)
	return active.Finished()
}

// The formats must not change. Collectors depend on OTLP, and operators' scripts depend on the
// waterfall. UPDATE_GOLDEN=1 rewrites testdata.
func TestFormatsMatchGolden(t *testing.T) {
	id := trace.ID{1, 2, 3, 15: 16}
	fromRouter := routerTrace(id)
	partials := []*trace.Trace{fromRouter, serverTrace(id, fromRouter.Spans[1].ID)}
	spans := trace.Merge(id, partials)
	rejected := rejectedTrace()

	t.Run("OTLP", func(t *testing.T) {
		var line bytes.Buffer
		if err := OTLP(&line, id, spans, partials); err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "trace.otlp.json", line.Bytes())
	})
	t.Run("Batch", func(t *testing.T) {
		request, err := Batch([]*trace.Trace{partials[0], partials[1], rejected})
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "batch.otlp.json", request)
	})
	t.Run("Waterfall", func(t *testing.T) {
		var lines bytes.Buffer
		if err := Waterfall(&lines, spans, 40); err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "waterfall.txt", lines.Bytes())
	})
	t.Run("Page", func(t *testing.T) {
		var page bytes.Buffer
		traces := [][]trace.Span{spans, nil, trace.Merge(rejected.ID, []*trace.Trace{rejected})}
		if err := Page(&page, "a <title>", traces); err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "page.html", page.Bytes())
	})
}
