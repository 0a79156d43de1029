package trace

import (
	"testing"

	"garnetline/routing"
)

// benchmarkStart is the time, in Unix ms, at which benchmark requests are received.
const benchmarkStart = 1.7e12

// recordAttempts records the trace of a request with two attempts.
func recordAttempts(seed uint64) *ActiveTrace {
	active := Begin(Trace{ID: ID{1, 2}, Router: "n1", TransactionID: "9b1f03aa5c7e2d41", Class: "part", Start: benchmarkStart, Weight: 1}, seed)
	for n := range 2 {
		sentAt := benchmarkStart + 10*float64(n)
		active.AttemptStarted(sentAt, routing.SendAttempt{Server: 7, FillSource: 9})
		active.AttemptEnded(sentAt+5, routing.Served, 4096, routing.LoadReport{}, WireTimes{WrittenAt: sentAt + 1})
	}
	active.Responded(benchmarkStart+20, Served)
	return active
}

// BenchmarkActiveTrace measures recording the trace of a request with two attempts.
func BenchmarkActiveTrace(b *testing.B) {
	b.ReportAllocs()
	seed := uint64(0)
	for b.Loop() {
		seed++
		recordAttempts(seed).Finished()
	}
}

// BenchmarkAppend measures encoding a trace of five spans into a buffer of sufficient capacity.
func BenchmarkAppend(b *testing.B) {
	b.ReportAllocs()
	finished := recordAttempts(1).Finished()
	buffer := make([]byte, 0, 4096)
	for b.Loop() {
		buffer = Append(buffer[:0], finished)
	}
}

// BenchmarkDecode measures decoding a trace of five spans.
func BenchmarkDecode(b *testing.B) {
	b.ReportAllocs()
	record := Append(nil, recordAttempts(1).Finished())
	for b.Loop() {
		if _, err := Decode(record); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMerge measures merging the partial traces of two routers.
func BenchmarkMerge(b *testing.B) {
	b.ReportAllocs()
	partials := []*Trace{recordAttempts(1).Finished(), recordAttempts(100).Finished()}
	for b.Loop() {
		Merge(partials[0].ID, partials)
	}
}
