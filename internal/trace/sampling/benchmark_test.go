package sampling

import (
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
)

const (
	benchmarkRate     = 10_000 // requests per second
	benchmarkOrdinary = 10     // ordinary traces sampled per second
)

// benchmarkTrace returns the trace of a request that ended at the time now, in Unix ms. The
// trace has three spans.
func benchmarkTrace(rng *rand.Rand, now float64) *trace.Trace {
	finished := finishedTrace(rng, className, now, 5, trace.Served)
	finished.Spans = append(finished.Spans, trace.Span{}, trace.Span{}, trace.Span{})
	return finished
}

// BenchmarkSampler compares two designs at 10,000 requests per second. "bound" is the sampler,
// and "plain" is a buffer of all traces of a window. The benchmark reports the time per trace
// and the maximum number of bytes held (heldB).
func BenchmarkSampler(b *testing.B) {
	b.Run("bound", benchmarkBoundedSampler)
	b.Run("plain", benchmarkWindowBuffer)
}

func benchmarkBoundedSampler(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	sampler := New(1<<30, Class{OrdinaryPerSecond: benchmarkOrdinary}, nil)
	mostHeld := 0
	for i := range b.N {
		now := startTime + float64(i)*1000/benchmarkRate
		sampler.Tick(now)
		finished := benchmarkTrace(rng, now)
		sampler.Reserve(finished.Size())
		sampler.Finish(finished, finished.Size())
		mostHeld = max(mostHeld, sampler.Bytes())
	}
	b.ReportMetric(float64(mostHeld), "heldB")
}

func benchmarkWindowBuffer(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	var buffer []*trace.Trace
	held, mostHeld, sampled := 0, 0, 0
	for i := range b.N {
		if i%benchmarkRate == 0 {
			for _, t := range buffer {
				if t.ID.Order() < float64(benchmarkOrdinary)/benchmarkRate {
					sampled++
				}
			}
			buffer, held = nil, 0
		}
		finished := benchmarkTrace(rng, startTime+float64(i)*1000/benchmarkRate)
		buffer = append(buffer, finished)
		held += finished.Size()
		mostHeld = max(mostHeld, held)
	}
	b.ReportMetric(float64(mostHeld), "heldB")
}
