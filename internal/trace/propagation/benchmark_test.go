package propagation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
)

// BenchmarkRetryGuess measures the errors of the retry heuristic for requests without a
// traceparent and without an idempotency key. Each client has one of a given number of addresses
// and requests objects from a Zipf distribution. A tenth of the requests are rejected, and half
// of the rejected requests are retried after a second. "wrong%" is the share of first requests
// that are mistaken for retries. "missed%" is the share of retries that are not recognized.
func BenchmarkRetryGuess(b *testing.B) {
	for _, addresses := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("addresses=%d", addresses), func(b *testing.B) {
			benchmarkRetryGuess(b, addresses)
		})
	}
}

// pendingRetry is a retry that a client sends at a later time.
type pendingRetry struct {
	at      float64 // ms, when the client sends the retry
	request Request
	traceID trace.ID // trace ID of the rejected request
}

func benchmarkRetryGuess(b *testing.B, addresses int) {
	b.Helper()
	const (
		requestInterval = 5    // ms, 200 requests per second
		responseTime    = 50   // ms
		retryDelay      = 1000 // ms
	)
	rng := rand.New(rand.NewPCG(1, 2))
	objects := rand.NewZipf(rng, 1.1, 10, 20_000)
	correlator := New("", 5000, 1)
	var queue []pendingRetry
	wrong, missed, firsts, retries := 0, 0, 0, 0
	for i := range b.N {
		now := float64(i) * requestInterval
		var correlation Correlation
		request := Request{ClientAddress: fmt.Sprint(rng.IntN(addresses)), Class: "part", Object: objects.Uint64(), Chunk: rng.IntN(15)}
		if len(queue) > 0 && queue[0].at <= now {
			retry := queue[0]
			queue = queue[1:]
			request = retry.request
			retries++
			correlation = correlator.Correlate(now, request)
			if correlation.ID != retry.traceID {
				missed++
			}
		} else {
			firsts++
			correlation = correlator.Correlate(now, request)
			if correlation.Retry > 0 {
				wrong++
			}
		}
		rejected := rng.IntN(10) == 0
		correlator.RequestEnded(now+responseTime, correlation, !rejected)
		if rejected && rng.IntN(2) == 0 {
			queue = append(queue, pendingRetry{now + retryDelay, request, correlation.ID})
		}
	}
	b.ReportMetric(100*float64(wrong)/float64(max(firsts, 1)), "wrong%")
	b.ReportMetric(100*float64(missed)/float64(max(retries, 1)), "missed%")
}
