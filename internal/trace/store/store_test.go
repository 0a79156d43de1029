package store

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
	"garnetline/routing"
)

const (
	// testStart is when the first trace of a test started, in Unix ms, and testInterval the
	// time between two, in ms.
	testStart    = 1.7e12
	testInterval = 5
	// testClose is when writers of tests are closed, in Unix ms: after all traces.
	testClose = 2e12
	// failingServer fails fast in some of the traces, and in no other.
	failingServer = 7
	// slowDuration is how long, in ms, the slow attempts take, of which there are a few.
	slowDuration = 3000
	// noLimit is a folder's limit that is never reached, in bytes.
	noLimit = 1 << 40
)

// newTrace returns the trace at a place in a day on which failingServer fails at times. Each
// trace has two attempts.
func newTrace(rng *rand.Rand, place int) *trace.Trace {
	var id trace.ID
	binary.BigEndian.PutUint64(id[:8], rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], rng.Uint64())
	start := testStart + float64(place)*testInterval
	active := trace.Begin(trace.Trace{
		ID:     id,
		Router: "n1",
		Class:  []string{"part", "sheet"}[place%2],
		Object: rng.Uint64(),
		Start:  start,
		Weight: 1,
	}, rng.Uint64())
	server := routing.ServerID(10 + rng.IntN(40))
	duration := 5 + rng.Float64()*40
	result, outcome := routing.Served, trace.Served
	if place%5000 >= 4000 && place%5000 < 4050 {
		server = failingServer
		result, outcome = routing.ServerError, trace.Failed
	}
	if place%10_000 == 77 {
		duration = slowDuration
	}
	for n := range 2 {
		sentAt := start + float64(n)*duration
		endedAt := start + float64(n+1)*duration
		active.AttemptStarted(sentAt, routing.SendAttempt{Server: server, FillSource: 3})
		active.AttemptEnded(endedAt, result, 100, routing.LoadReport{}, trace.WireTimes{WrittenAt: start + 1})
	}
	active.Responded(start+2*duration, outcome)
	finished := active.Finished()
	finished.Reasons = trace.ReasonRetried
	return finished
}

func openWriter(tb testing.TB, folder string, segmentLimit, folderLimit int64) *Writer {
	tb.Helper()
	writer, err := Open(folder, segmentLimit, folderLimit)
	if err != nil {
		tb.Fatal(err)
	}
	return writer
}

func addTrace(tb testing.TB, writer *Writer, added *trace.Trace) {
	tb.Helper()
	if err := writer.Add(added); err != nil {
		tb.Fatal(err)
	}
}

func closeWriter(tb testing.TB, writer *Writer, now float64) {
	tb.Helper()
	if err := writer.Close(now); err != nil {
		tb.Fatal(err)
	}
}

// writeTraces writes traces to a folder and returns the first 100,000 of them.
func writeTraces(tb testing.TB, folder string, count int, segmentLimit int64) []*trace.Trace {
	tb.Helper()
	const maxReturned = 100_000
	writer := openWriter(tb, folder, segmentLimit, noLimit)
	rng := rand.New(rand.NewPCG(1, 1))
	var written []*trace.Trace
	for i := range count {
		added := newTrace(rng, i)
		addTrace(tb, writer, added)
		if len(written) < maxReturned {
			written = append(written, added)
		}
	}
	closeWriter(tb, writer, testClose)
	return written
}

func listSegments(tb testing.TB, folder string) []string {
	tb.Helper()
	paths, err := segmentPaths(folder)
	if err != nil {
		tb.Fatal(err)
	}
	return paths
}

func readIndex(tb testing.TB, folder string) *Index {
	tb.Helper()
	index, err := Read(folder)
	if err != nil {
		tb.Fatal(err)
	}
	return index
}

// queryFolder returns the traces of a folder that a filter selects, and how many blocks were
// read for them.
func queryFolder(tb testing.TB, folder string, filter Filter) (found []*trace.Trace, blocksRead int) {
	tb.Helper()
	blocksRead, err := readIndex(tb, folder).Query(filter, func(t *trace.Trace) bool {
		found = append(found, t)
		return true
	})
	if err != nil {
		tb.Fatal(err)
	}
	return found, blocksRead
}
