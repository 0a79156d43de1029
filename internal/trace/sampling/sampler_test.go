package sampling

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
)

const (
	className   = "part"
	startTime   = 1e6 // Unix ms
	reservation = 300 // bytes reserved for each request
)

func randomID(rng *rand.Rand) trace.ID {
	var id trace.ID
	binary.BigEndian.PutUint64(id[:8], rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], rng.Uint64())
	return id
}

// finishedTrace returns the trace of a request with one attempt. The end is in Unix ms, and the
// duration is in ms.
func finishedTrace(rng *rand.Rand, class string, endedAt, duration float64, outcome trace.Outcome) *trace.Trace {
	return &trace.Trace{ID: randomID(rng), Class: class, Start: endedAt - duration, End: endedAt, Outcome: outcome, Attempts: 1}
}

func reserve(tb testing.TB, sampler *Sampler, size int) {
	tb.Helper()
	if !sampler.Reserve(size) {
		tb.Fatalf("Reserve(%d) = false with %d bytes held, want true", size, sampler.Bytes())
	}
}

// TestRetentionReasons checks that the traces of requests that failed, were rejected, were
// retried or were slow are retained immediately, each with its reasons. Other traces must not be
// retained immediately.
func TestRetentionReasons(t *testing.T) {
	tests := []struct {
		name     string
		duration float64
		outcome  trace.Outcome
		attempts uint8
		retry    uint8
		want     trace.Reason
	}{
		{"failed", 10, trace.Failed, 1, 0, trace.ReasonFailed},
		{"client disconnected", 10, trace.ClientDisconnected, 1, 0, trace.ReasonFailed},
		{"rejected", 10, trace.Rejected, 0, 0, trace.ReasonRejected},
		{"second attempt", 10, trace.Served, 2, 0, trace.ReasonRetried},
		{"retry of the client", 10, trace.Served, 1, 1, trace.ReasonRetried},
		{"slow", 401, trace.Served, 1, 0, trace.ReasonSlow},
		{"three reasons", 500, trace.Rejected, 2, 1, trace.ReasonSlow | trace.ReasonRejected | trace.ReasonRetried},
		{"at the latency objective", 400, trace.Served, 1, 0, 0},
		{"ordinary", 10, trace.NotModified, 1, 0, 0},
	}
	rng := rand.New(rand.NewPCG(1, 1))
	sampler := New(1<<20, Class{LatencyObjective: 400}, nil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			finished := finishedTrace(rng, className, startTime, test.duration, test.outcome)
			finished.Attempts = test.attempts
			finished.Retry = test.retry
			reserve(t, sampler, reservation)
			got := sampler.Finish(finished, reservation)
			switch {
			case test.want == 0 && got != nil:
				t.Errorf("got a trace retained immediately for reasons %b, want an ordinary trace", got.Reasons)
			case test.want != 0 && got == nil:
				t.Errorf("got an ordinary trace, want one retained immediately for reasons %b", test.want)
			case got != nil && (got.Reasons != test.want || got.Weight != 1):
				t.Errorf("got reasons %b and weight %v, want %b and 1", got.Reasons, got.Weight, test.want)
			}
		})
	}
}

// weightTest is one case of TestSampledWeightsAreUnbiased. It describes the load and the
// expected results.
type weightTest struct {
	name              string
	tracesPerSecond   int // ordinary traces
	maxBytes          int
	ordinaryPerSecond float64
	maxInLastWindow   int
	wantEvictions     bool
	seconds           int
}

// TestSampledWeightsAreUnbiased checks that the sum of the weights of the sampled traces is
// close to the number of all traces. It covers loads below and above the sampling rate, and a
// lack of memory. It also checks the number of traces that are sampled in the last window.
func TestSampledWeightsAreUnbiased(t *testing.T) {
	const maxError = 0.04
	tests := []weightTest{
		{"under the rate", 3, 1 << 20, 5, 3, false, 2000},
		{"busy", 400, 1 << 20, 5, 5, false, 2000},
		{"short of memory", 400, 1500, 50, 50, true, 2000},
		{"one in five seconds", 20, 1 << 20, 0.2, 3, false, 45_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sampler := New(test.maxBytes, Class{LatencyObjective: 1e9, OrdinaryPerSecond: test.ordinaryPerSecond}, nil)
			weights := test.run(t, sampler)
			last := sampler.Close()
			weights += sumOfWeights(last)
			traceCount := test.seconds * test.tracesPerSecond
			if deviation := math.Abs(weights/float64(traceCount) - 1); deviation > maxError {
				t.Errorf("got weights with a sum of %.0f for %d traces, a relative error of %.1f%%, want at most %.1f%%", weights, traceCount, 100*deviation, 100*maxError)
			}
			if len(last) > test.maxInLastWindow {
				t.Errorf("got %d traces sampled in the last window, want at most %d", len(last), test.maxInLastWindow)
			}
			if evicted := sampler.Counts.Evicted; (evicted > 0) != test.wantEvictions {
				t.Errorf("got %d evicted candidates, want evictions: %t", evicted, test.wantEvictions)
			}
		})
	}
}

// run passes the ordinary traces of all seconds to the sampler. It returns the sum of the
// weights of the traces that were sampled in all windows except the last window.
func (w weightTest) run(t *testing.T, sampler *Sampler) float64 {
	t.Helper()
	const size = 200
	rng := rand.New(rand.NewPCG(7, 7))
	weights := 0.0
	for second := range w.seconds {
		now := 1e9 + float64(second)*1000
		weights += sumOfWeights(sampler.Tick(now))
		for i := range w.tracesPerSecond {
			reserve(t, sampler, size)
			finished := finishedTrace(rng, className, now+float64(i), 5, trace.Served)
			if sampler.Finish(finished, size) != nil {
				t.Fatal("got an ordinary trace retained immediately, want nil from Finish")
			}
			if sampler.Bytes() > w.maxBytes {
				t.Fatalf("got %d bytes held, want at most %d", sampler.Bytes(), w.maxBytes)
			}
		}
	}
	return weights
}

func sumOfWeights(traces []*trace.Trace) float64 {
	sum := 0.0
	for _, t := range traces {
		sum += t.Weight
	}
	return sum
}

// TestRoutersSampleTheSameTraces checks that the samplers of two routers choose the same traces,
// if requests with the same trace IDs end at both routers.
func TestRoutersSampleTheSameTraces(t *testing.T) {
	const size, perSecond = 200, 4
	rng := rand.New(rand.NewPCG(3, 3))
	first := New(1<<20, Class{OrdinaryPerSecond: perSecond}, nil)
	second := New(1<<20, Class{OrdinaryPerSecond: perSecond}, nil)
	first.Tick(startTime)
	second.Tick(startTime)
	for range 300 {
		finished := finishedTrace(rng, className, startTime, 5, trace.Served)
		copied := *finished
		reserve(t, first, size)
		reserve(t, second, size)
		first.Finish(finished, size)
		second.Finish(&copied, size)
	}
	sampled := map[trace.ID]bool{}
	for _, t := range first.Close() {
		sampled[t.ID] = true
	}
	for _, other := range second.Close() {
		if !sampled[other.ID] {
			t.Errorf("trace %v is sampled only by the second router, want it sampled by both", other.ID)
		}
	}
	if len(sampled) != perSecond {
		t.Errorf("got %d sampled traces, want %d", len(sampled), perSecond)
	}
}

// TestLostTracesAreReportedOnce checks that no further requests are traced when requests in
// flight fill the memory budget. The traces of some untraced requests would have been retained.
// Only the next retained trace must report the number of these lost traces.
func TestLostTracesAreReportedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	sampler := New(1000, Class{OrdinaryPerSecond: 5}, nil)
	for range 3 {
		reserve(t, sampler, reservation)
	}
	if sampler.Reserve(reservation) {
		t.Fatal("Reserve returned true beyond the memory budget, want false")
	}
	sampler.RecordUntraced(&trace.Trace{Class: className, End: 10, Outcome: trace.Failed, Attempts: 1})
	sampler.RecordUntraced(&trace.Trace{Class: className, End: 10, Outcome: trace.Served, Attempts: 1})
	sampler.RecordUntraced(&trace.Trace{Class: className, End: 10, Outcome: trace.Served, Attempts: 3})
	for _, want := range []uint32{2, 0} {
		rejected := finishedTrace(rng, className, startTime, 5, trace.Rejected)
		retained := sampler.Finish(rejected, reservation)
		if retained == nil {
			t.Fatal("got an ordinary trace for a rejected request, want it retained")
		}
		if retained.LostBefore != want {
			t.Errorf("got %d lost traces reported by the retained trace, want %d", retained.LostBefore, want)
		}
	}
	if got := sampler.Counts; got.Lost != 2 || got.Untraced != 1 {
		t.Errorf("got counts of %d lost and %d untraced, want 2 and 1", got.Lost, got.Untraced)
	}
}
