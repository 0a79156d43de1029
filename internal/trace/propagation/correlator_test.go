package propagation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"garnetline/internal/trace"
)

const clientTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// A retry belongs to its first try: by the client's word, by its key also at another
// router, and else by what it asks for, within the retry time and after no service.
func TestRetryJoinsItsTrace(t *testing.T) {
	a, b := New("s", 1000, 1), New("s", 1000, 2)
	if x := a.Correlate(0, Request{TraceParent: clientTraceparent, IdempotencyKey: "k"}); x.ID.String() != clientTraceparent[3:35] || x.ClientSpan != 0xf067aa0ba902b7 {
		t.Errorf("%+v", x)
	}
	x, y := a.Correlate(0, Request{IdempotencyKey: "secret-key", ClientAddress: "1.1.1.1"}), b.Correlate(5e6, Request{IdempotencyKey: "secret-key", ClientAddress: "2.2.2.2"})
	if x.ID != y.ID || x.ID == (trace.ID{}) || strings.Contains(string(x.ID[:]), "secret") {
		t.Errorf("%v and %v: want one trace for one key", x, y)
	}
	if z := New("other", 1000, 1).Correlate(0, Request{IdempotencyKey: "secret-key"}); z.ID == x.ID {
		t.Error("the trace of a key does not depend on the secret")
	}
	ask := Request{ClientAddress: "1.1.1.1", Class: "part", Object: 7, Chunk: 3}
	first := a.Correlate(0, ask)
	if again := a.Correlate(1, ask); again.ID == first.ID {
		t.Error("a second request is taken for a retry of one that is open")
	}
	a.RequestEnded(10, first, false)
	if again := a.Correlate(1010, ask); again.ID != first.ID || again.Retry != 1 {
		t.Errorf("%+v: want the second try of %+v", again, first)
	}
	for _, other := range []Request{{ClientAddress: "1.1.1.2", Class: "part", Object: 7, Chunk: 3}, {ClientAddress: "1.1.1.1", Class: "part", Object: 7, Chunk: 4},
		{ClientAddress: "1.1.1.1", Class: "sheet", Object: 7, Chunk: 3}, {ClientAddress: "1.1.1.1", Class: "part", Object: 8, Chunk: 3}} {
		if o := a.Correlate(11, other); o.ID == first.ID || o.Retry != 0 {
			t.Errorf("%+v is taken for a retry", other)
		}
	}
	if late := a.Correlate(1011, ask); late.ID == first.ID {
		t.Error("a retry after the retry time")
	}
	a.RequestEnded(1012, first, false)
	a.RequestEnded(1013, first, true)
	if served := a.Correlate(1014, ask); served.ID == first.ID {
		t.Error("a request after one that was served is taken for its retry")
	}
	if bad := a.Correlate(0, Request{TraceParent: "00-" + strings.Repeat("0", 32) + clientTraceparent[35:]}); bad.ID == (trace.ID{}) || bad.ClientSpan != 0 {
		t.Errorf("an all-zero parent: %+v", bad)
	}
}

// The table stays within its bound whatever comes.
func TestUnservedTableIsBounded(t *testing.T) {
	l := New("", 1e9, 1)
	for i := range 5 * generationCapacity {
		x := l.Correlate(float64(i), Request{ClientAddress: "c", Object: uint64(i)})
		l.RequestEnded(float64(i), x, false)
	}
	if n := len(l.current) + len(l.previous); n > 2*generationCapacity {
		t.Errorf("%d entries, want at most %d", n, 2*generationCapacity)
	}
}

// BenchmarkRetryGuess measures the guess for requests without a traceparent or a key:
// clients behind so many addresses, a tenth refused, of which half come again after a
// second; objects by a skewed draw. wrong: first tries that are taken for retries;
// missed: retries that are not known for ones.
func BenchmarkRetryGuess(b *testing.B) {
	for _, addresses := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("addresses=%d", addresses), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			zipf := rand.NewZipf(rng, 1.1, 10, 20_000)
			l := New("", 5000, 1)
			type retry struct {
				at  float64
				ask Request
				id  trace.ID
			}
			var queue []retry
			wrong, missed, firsts, retries := 0, 0, 0, 0
			for i := range b.N {
				now := float64(i) * 5 // 200 a second
				var x Correlation
				ask := Request{ClientAddress: fmt.Sprint(rng.IntN(addresses)), Class: "part", Object: zipf.Uint64(), Chunk: rng.IntN(15)}
				if len(queue) > 0 && queue[0].at <= now {
					r := queue[0]
					queue, ask, retries = queue[1:], r.ask, retries+1
					if x = l.Correlate(now, ask); x.ID != r.id {
						missed++
					}
				} else {
					firsts++
					if x = l.Correlate(now, ask); x.Retry > 0 {
						wrong++
					}
				}
				refused := rng.IntN(10) == 0
				if l.RequestEnded(now+50, x, !refused); refused && rng.IntN(2) == 0 {
					queue = append(queue, retry{now + 1000, ask, x.ID})
				}
			}
			b.ReportMetric(100*float64(wrong)/float64(max(firsts, 1)), "wrong%")
			b.ReportMetric(100*float64(missed)/float64(max(retries, 1)), "missed%")
		})
	}
}
