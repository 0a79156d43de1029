package trace

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"garnetline/internal/fuzzutil"
	"garnetline/routing"
)

// randomTrace records a partial trace with random attempts, a random outcome and random links.
// It calls the methods of ActiveTrace in an order in which a router could call them.
func randomTrace(tb testing.TB, id ID, rng *rand.Rand, start float64) *Trace {
	tb.Helper()
	active := Begin(Trace{
		ID:            id,
		Router:        "n1",
		TransactionID: "9b1f03aa5c7e2d41",
		Class:         "part",
		Object:        rng.Uint64(),
		Chunk:         3,
		PurgeGroup:    17,
		Start:         start,
		Weight:        1,
	}, rng.Uint64())
	now := start
	for range rng.IntN(4) {
		now = randomAttempt(active, rng, now+rng.Float64()*10)
	}
	active.Responded(now, Outcome(rng.IntN(int(outcomeCount))))
	if !active.Done() {
		tb.Fatal("Done returned false after the response, want true")
	}
	finished := active.Finished()
	for range rng.IntN(3) {
		link := Link{From: finished.Spans[0].ID, Trace: ID{9, byte(rng.Uint32())}, To: SpanID(rng.Uint64())}
		finished.Links = append(finished.Links, link)
	}
	return finished
}

// randomAttempt records an attempt that starts at the time now. It returns the time at which the
// attempt ends. Both times are in Unix ms. The client may disconnect before the attempt ends.
func randomAttempt(active *ActiveTrace, rng *rand.Rand, now float64) float64 {
	active.AttemptStarted(now, routing.SendAttempt{
		Server:     routing.ServerID(rng.Uint32()),
		FillSource: 9,
		CopyRank:   2,
		JoinFill:   true,
		MaxAge:     time.Second,
	})
	dialedAt := now + rng.Float64()
	endedAt := dialedAt + rng.Float64()*100
	timing := WireTimes{}
	if rng.IntN(2) == 0 {
		timing = WireTimes{DialedAt: dialedAt, ConnectedAt: dialedAt + 1, WrittenAt: dialedAt + 1, MaxAge: 500}
	}
	if rng.IntN(3) == 0 {
		active.Responded(endedAt, ClientDisconnected)
	}
	load := routing.LoadReport{Inflight: 7, LinkUtilization: math.NaN()}
	active.AttemptEnded(endedAt, routing.Result(rng.IntN(9)), rng.IntN(1000), load, timing)
	return endedAt
}

// equalTraces reports whether two traces are equal. Times may differ slightly, because they are
// stored rounded to the microsecond. Two NaN values, which stand for missing load reports, count
// as equal.
func equalTraces(got, want *Trace) bool {
	if len(got.Spans) != len(want.Spans) {
		return false
	}
	for i := range got.Spans {
		if !equalSpans(got.Spans[i], want.Spans[i]) {
			return false
		}
	}
	if !equalTimes(got.Start, want.Start) || !equalTimes(got.End, want.End) {
		return false
	}
	restGot, restWant := *got, *want
	for _, rest := range []*Trace{&restGot, &restWant} {
		rest.Spans = nil
		rest.Start = 0
		rest.End = 0
	}
	return reflect.DeepEqual(restGot, restWant)
}

func equalSpans(got, want Span) bool {
	if !equalTimes(got.Start, want.Start) || !equalTimes(got.End, want.End) {
		return false
	}
	if !equalLoads(got.Inflight, want.Inflight) || !equalLoads(got.LinkUtilization, want.LinkUtilization) {
		return false
	}
	for _, span := range []*Span{&got, &want} {
		span.Start = 0
		span.End = 0
		span.Inflight = 0
		span.LinkUtilization = 0
	}
	return got == want
}

func equalTimes(a, b float64) bool {
	const tolerance = 0.002 // ms, twice the maximum rounding error of the end of a span
	return math.Abs(a-b) < tolerance
}

func equalLoads(a, b float32) bool {
	return a == b || math.IsNaN(float64(a)) && math.IsNaN(float64(b))
}

// FuzzDecode checks that encoding and then decoding a trace returns an equal trace. It also
// checks that Decode does not return a complete trace for a truncated record, and that no input
// makes Decode panic.
func FuzzDecode(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 200)
	f.Fuzz(func(t *testing.T, input []byte) {
		checkReencoding(t, input)
		seed := uint64(len(input))
		for i, c := range input {
			seed += uint64(c) << (i % 56)
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		want := randomTrace(t, ID{1, byte(seed)}, rng, 1.7e12+rng.Float64())
		record := Append(nil, want)
		got, err := Decode(record)
		if err != nil || !equalTraces(got, want) {
			t.Fatalf("Decode returned\n%+v, %v, want\n%+v", got, err, want)
		}
		for size := range record {
			got, err := Decode(record[:size])
			if err == nil && len(got.Links) >= len(want.Links) {
				t.Fatalf("a record of %d bytes was decoded completely from its first %d bytes", len(record), size)
			}
		}
	})
}

// checkReencoding decodes an arbitrary input. If Decode returns a trace, checkReencoding checks
// that the trace can be encoded and decoded again.
func checkReencoding(t *testing.T, input []byte) {
	t.Helper()
	decoded, err := Decode(input)
	if err != nil {
		return
	}
	again, err := Decode(Append(nil, decoded))
	if err != nil {
		t.Errorf("decoding the encoded trace again: %v", err)
	} else if len(again.Spans) != len(decoded.Spans) {
		t.Errorf("got %d spans from the first decoding and %d from the second, want the same number", len(decoded.Spans), len(again.Spans))
	}
}
