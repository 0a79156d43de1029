package store

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
	"garnetline/routing"
)

const (
	// testStart is the start of the first trace of a test, in Unix ms. testInterval is the time
	// between the starts of consecutive traces, in ms.
	testStart    = 1.7e12
	testInterval = 5
	// testClose is the time, in Unix ms, at which tests close a Writer. It is after the end of
	// all traces.
	testClose = 2e12
	// failingServer is the server of the failed attempts of newTrace. No other attempt uses it.
	failingServer = 7
	// slowDuration is the duration, in ms, of the few slow attempts of newTrace.
	slowDuration = 3000
	// noLimit is a size limit for a folder, in bytes, that tests never reach.
	noLimit = 1 << 40
)

// newTrace returns the trace with the given index in a sequence of traces. Each trace has two
// attempts. In 50 of every 5,000 traces, both attempts are at failingServer and fail.
func newTrace(rng *rand.Rand, index int) *trace.Trace {
	var id trace.ID
	binary.BigEndian.PutUint64(id[:8], rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], rng.Uint64())
	start := testStart + float64(index)*testInterval
	active := trace.Begin(trace.Trace{
		ID:     id,
		Router: "n1",
		Class:  []string{"part", "sheet"}[index%2],
		Object: rng.Uint64(),
		Start:  start,
		Weight: 1,
	}, rng.Uint64())
	server := routing.ServerID(10 + rng.IntN(40))
	duration := 5 + rng.Float64()*40
	result, outcome := routing.Served, trace.Served
	if index%5000 >= 4000 && index%5000 < 4050 {
		server = failingServer
		result, outcome = routing.ServerError, trace.Failed
	}
	if index%10_000 == 77 {
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

// writeTraces writes count traces to a folder and returns the first 100,000 of them.
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

// queryFolder queries a folder. It returns the traces that the filter selects and the number of
// blocks that the query read.
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
