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
	reservation = 300 // bytes reserved per request
)

func randomID(rng *rand.Rand) trace.ID {
	var id trace.ID
	binary.BigEndian.PutUint64(id[:8], rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], rng.Uint64())
	return id
}

// finishedTrace is the trace of a request that ended at a time, in Unix ms, after a duration in
// ms and one attempt.
func finishedTrace(rng *rand.Rand, class string, endedAt, duration float64, outcome trace.Outcome) *trace.Trace {
	return &trace.Trace{ID: randomID(rng), Class: class, Start: endedAt - duration, End: endedAt, Outcome: outcome, Attempts: 1}
}

func reserve(tb testing.TB, sampler *Sampler, size int) {
	tb.Helper()
	if !sampler.Reserve(size) {
		tb.Fatalf("no memory for %d bytes, %d are held", size, sampler.Bytes())
	}
}

// Traces of requests that failed, were rejected, were retried or were slow are retained at once,
// each with its reasons.
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
				t.Errorf("retained at once for reasons %b, want an ordinary trace", got.Reasons)
			case test.want != 0 && got == nil:
				t.Errorf("not retained at once, want reasons %b", test.want)
			case got != nil && (got.Reasons != test.want || got.Weight != 1):
				t.Errorf("reasons %b and weight %v, want %b and 1", got.Reasons, got.Weight, test.want)
			}
		})
	}
}

// weightTest describes windows with so many ordinary traces each.
type weightTest struct {
	name              string
	tracesPerWindow   int
	maxBytes          int
	ordinaryPerSecond float64
	maxInLastWindow   int
	wantEvictions     bool
	seconds           int
}

// The weights of the sampled traces stand for the traces that were met, without a bias, in
// windows that are quiet, busy and short of memory; and the rate holds in each window.
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
			weights := test.play(t, sampler)
			last := sampler.Close()
			weights += sumOfWeights(last)
			met := test.seconds * test.tracesPerWindow
			if deviation := math.Abs(weights/float64(met) - 1); deviation > maxError {
				t.Errorf("weights of %.0f stand for %d traces, %.1f%% off", weights, met, 100*deviation)
			}
			if len(last) > test.maxInLastWindow {
				t.Errorf("%d sampled in the last window, want at most %d", len(last), test.maxInLastWindow)
			}
			if evicted := sampler.Counts.Evicted; (evicted > 0) != test.wantEvictions {
				t.Errorf("%d evicted, want some: %t", evicted, test.wantEvictions)
			}
		})
	}
}

// play finishes the ordinary traces of all windows and returns the weights of those sampled
// in all but the last one.
func (w weightTest) play(t *testing.T, sampler *Sampler) float64 {
	t.Helper()
	const size = 200
	rng := rand.New(rand.NewPCG(7, 7))
	weights := 0.0
	for second := range w.seconds {
		now := 1e9 + float64(second)*1000
		weights += sumOfWeights(sampler.Tick(now))
		for i := range w.tracesPerWindow {
			reserve(t, sampler, size)
			finished := finishedTrace(rng, className, now+float64(i), 5, trace.Served)
			if sampler.Finish(finished, size) != nil {
				t.Fatal("an ordinary trace is retained at once")
			}
			if sampler.Bytes() > w.maxBytes {
				t.Fatalf("%d bytes are held, want at most %d", sampler.Bytes(), w.maxBytes)
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

// Two routers that meet the same traces sample the same ones.
func TestRoutersSampleTheSameTraces(t *testing.T) {
	const size, perSecond = 200, 4
	rng := rand.New(rand.NewPCG(3, 3))
	first := New(1<<20, Class{OrdinaryPerSecond: perSecond}, nil)
	second := New(1<<20, Class{OrdinaryPerSecond: perSecond}, nil)
	first.Tick(startTime)
	second.Tick(startTime)
	for range 300 {
		met := finishedTrace(rng, className, startTime, 5, trace.Served)
		same := *met
		reserve(t, first, size)
		reserve(t, second, size)
		first.Finish(met, size)
		second.Finish(&same, size)
	}
	sampled := map[trace.ID]bool{}
	for _, t := range first.Close() {
		sampled[t.ID] = true
	}
	for _, other := range second.Close() {
		if !sampled[other.ID] {
			t.Errorf("%v is sampled by the second router alone", other.ID)
		}
	}
	if len(sampled) != perSecond {
		t.Errorf("%d sampled, want %d", len(sampled), perSecond)
	}
}

// Where even the requests in flight fill the memory, further ones are not traced, and the next
// retained trace says how many of those would have been retained.
func TestLostTracesAreReportedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	sampler := New(1000, Class{OrdinaryPerSecond: 5}, nil)
	for range 3 {
		reserve(t, sampler, reservation)
	}
	if sampler.Reserve(reservation) {
		t.Fatal("memory beyond the limit")
	}
	sampler.RecordUntraced(&trace.Trace{Class: className, End: 10, Outcome: trace.Failed, Attempts: 1})
	sampler.RecordUntraced(&trace.Trace{Class: className, End: 10, Outcome: trace.Served, Attempts: 1})
	sampler.RecordUntraced(&trace.Trace{Class: className, End: 10, Outcome: trace.Served, Attempts: 3})
	for _, want := range []uint32{2, 0} {
		rejected := finishedTrace(rng, className, startTime, 5, trace.Rejected)
		retained := sampler.Finish(rejected, reservation)
		if retained == nil {
			t.Fatal("the trace of a rejected request is not retained")
		}
		if retained.LostBefore != want {
			t.Errorf("the retained trace reports %d lost before it, want %d", retained.LostBefore, want)
		}
	}
	if got := sampler.Counts; got.Lost != 2 || got.Untraced != 1 {
		t.Errorf("%d lost and %d untraced, want 2 and 1", got.Lost, got.Untraced)
	}
}
