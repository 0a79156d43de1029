package sampling

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
)

func newID(rng *rand.Rand) (id trace.ID) {
	binary.BigEndian.PutUint64(id[:8], rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], rng.Uint64())
	return id
}

func finishedTrace(rng *rand.Rand, class string, at, took float64, o trace.Outcome) *trace.Trace {
	return &trace.Trace{ID: newID(rng), Class: class, Start: at - took, End: at, Outcome: o, Attempts: 1}
}

// What failed, was refused, tried again or slow is kept, each with its reason.
func TestRetentionReasons(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	k := New(1<<20, Class{LatencyObjective: 400}, nil)
	for i, c := range []struct {
		took     float64
		o        trace.Outcome
		attempts uint8
		try      uint8
		why      trace.Reason
	}{
		{10, trace.Failed, 1, 0, trace.ReasonFailed}, {10, trace.ClientDisconnected, 1, 0, trace.ReasonFailed}, {10, trace.Rejected, 0, 0, trace.ReasonRejected},
		{10, trace.Served, 2, 0, trace.ReasonRetried}, {10, trace.Served, 1, 1, trace.ReasonRetried}, {401, trace.Served, 1, 0, trace.ReasonSlow},
		{500, trace.Rejected, 2, 1, trace.ReasonSlow | trace.ReasonRejected | trace.ReasonRetried}, {400, trace.Served, 1, 0, 0}, {10, trace.NotModified, 1, 0, 0},
	} {
		x := finishedTrace(rng, "part", 1e6, c.took, c.o)
		x.Attempts, x.Retry = c.attempts, c.try
		if !k.Reserve(300) {
			t.Fatal("no room")
		}
		got := k.Finish(x, 300)
		if (got != nil) != (c.why != 0) || got != nil && (got.Reasons != c.why || got.Weight != 1) {
			t.Errorf("%d: %+v, want why %b", i, got, c.why)
		}
	}
}

// The weights of what is drawn stand for what was met, without a bias, in windows
// that are quiet, busy and short of memory; and the budget holds in each window.
func TestSampledWeightsAreUnbiased(t *testing.T) {
	for _, c := range []struct {
		name        string
		n, most     int
		ordinary    float64
		wantKept    int
		wantPushing bool
		windows     int
	}{
		{"under the budget", 3, 1 << 20, 5, 3, false, 2000}, {"busy", 400, 1 << 20, 5, 5, false, 2000}, {"short of memory", 400, 1500, 50, 50, true, 2000},
		{"one in five seconds", 20, 1 << 20, 0.2, 3, false, 45_000},
	} {
		rng := rand.New(rand.NewPCG(7, 7))
		k := New(c.most, Class{LatencyObjective: 1e9, OrdinaryPerSecond: c.ordinary}, nil)
		sum, met := 0.0, 0
		for w := range c.windows {
			now := 1e9 + float64(w)*1000
			for _, x := range k.Tick(now) {
				sum += x.Weight
			}
			for i := range c.n {
				if !k.Reserve(200) {
					t.Fatalf("%s: no room", c.name)
				}
				met++
				if k.Finish(finishedTrace(rng, "part", now+float64(i), 5, trace.Served), 200) != nil {
					t.Fatalf("%s: an ordinary trace is kept at once", c.name)
				}
				if k.Bytes() > c.most {
					t.Fatalf("%s: %d bytes are held of %d", c.name, k.Bytes(), c.most)
				}
			}
		}
		last := k.Close()
		for _, x := range last {
			sum += x.Weight
		}
		if err := math.Abs(sum/float64(met) - 1); err > 0.04 {
			t.Errorf("%s: weights of %.0f stand for %d traces, %.1f%% off", c.name, sum, met, 100*err)
		}
		if len(last) > c.wantKept || (k.Counts.Evicted > 0) != c.wantPushing {
			t.Errorf("%s: %d in the last window, %d pushed", c.name, len(last), k.Counts.Evicted)
		}
	}
}

// Two routers that meet the same traces draw the same ones.
func TestRoutersSampleTheSameTraces(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	a, b := New(1<<20, Class{OrdinaryPerSecond: 4}, nil), New(1<<20, Class{OrdinaryPerSecond: 4}, nil)
	a.Tick(1e6)
	b.Tick(1e6)
	for range 300 {
		x := finishedTrace(rng, "part", 1e6, 5, trace.Served)
		y := *x
		a.Reserve(200)
		b.Reserve(200)
		a.Finish(x, 200)
		b.Finish(&y, 200)
	}
	drawn := map[trace.ID]bool{}
	for _, x := range a.Close() {
		drawn[x.ID] = true
	}
	for _, y := range b.Close() {
		if !drawn[y.ID] {
			t.Errorf("%v is drawn by one alone", y.ID)
		}
	}
	if len(drawn) != 4 {
		t.Errorf("%d drawn, want 4", len(drawn))
	}
}

// Where even what is open fills the memory, requests are not traced, and what would
// have been kept is counted and told by the next trace that is.
func TestLostTracesAreReportedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	k := New(1000, Class{OrdinaryPerSecond: 5}, nil)
	for range 3 {
		if !k.Reserve(300) {
			t.Fatal("no room")
		}
	}
	if k.Reserve(300) {
		t.Fatal("room beyond the bound")
	}
	k.RecordUntraced("part", 10, trace.Failed, 1, 0)
	k.RecordUntraced("part", 10, trace.Served, 1, 0)
	k.RecordUntraced("part", 10, trace.Served, 3, 0)
	if x := k.Finish(finishedTrace(rng, "part", 1e6, 5, trace.Rejected), 300); x == nil || x.LostBefore != 2 {
		t.Errorf("%+v: want a mark of two", x)
	}
	if x := k.Finish(finishedTrace(rng, "part", 1e6, 5, trace.Rejected), 300); x == nil || x.LostBefore != 0 {
		t.Errorf("%+v: marked twice", x)
	}
	if k.Counts.Lost != 2 || k.Counts.Untraced != 1 {
		t.Errorf("%+v", k.Counts)
	}
}

// FuzzSamplerAccounting checks by random steps that the bound holds, that all that must be kept
// is kept or told as lost, and that nothing is held in the end.
func FuzzSamplerAccounting(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 600)
	f.Fuzz(func(t *testing.T, steps []byte) {
		rng := rand.New(rand.NewPCG(uint64(len(steps)), 9))
		k := New(4000, Class{LatencyObjective: 50, OrdinaryPerSecond: 2}, map[string]Class{"b": {LatencyObjective: 10, OrdinaryPerSecond: 0.5}})
		now, open, must, got, lost := 1e6, 0, int64(0), int64(0), int64(0)
		take := func(xs ...*trace.Trace) {
			for _, x := range xs {
				if x == nil {
					continue
				}
				if lost += int64(x.LostBefore); x.Reasons&^trace.ReasonSampled != 0 {
					got++
				} else if x.Weight < 1 {
					t.Fatalf("weight %v", x.Weight)
				}
			}
		}
		for i := 0; i+1 < len(steps) && i < 2000; i += 2 {
			x := int(steps[i+1])
			class, o, took := string("ab"[x%2]), trace.Outcome(x%5), float64(x)
			switch steps[i] % 4 {
			case 0, 1:
				if k.Reserve(300) {
					open++
				} else if took > 50 || class == "b" && took > 10 || o != trace.Served && o != trace.NotModified {
					must++
					k.RecordUntraced(class, took, o, 1, 0)
				} else {
					k.RecordUntraced(class, took, o, 1, 0)
				}
			case 2:
				if open > 0 {
					open--
					z := finishedTrace(rng, class, now, took, o)
					if took > 50 || class == "b" && took > 10 || o != trace.Served && o != trace.NotModified {
						must++
					}
					take(k.Finish(z, 300))
				}
			case 3:
				now += float64(x) * 10
				take(k.Tick(now)...)
			}
			if k.Bytes() > 4000 {
				t.Fatalf("%d bytes", k.Bytes())
			}
		}
		for ; open > 0; open-- {
			must++
			take(k.Finish(finishedTrace(rng, "a", now, 5, trace.Failed), 300))
		}
		take(k.Close()...)
		if k.Bytes() != 0 {
			t.Errorf("%d bytes are held in the end", k.Bytes())
		}
		if lost += int64(k.unreportedLost); got+lost != must {
			t.Errorf("%d had to be kept: %d are, %d are told as lost", must, got, lost)
		}
	})
}

// tail is the plain form: all traces of a window in a slice, sorted when it is over.
type windowBuffer struct{ all []*trace.Trace }

// BenchmarkSampler measures the held traces against a plain buffer of all of a window,
// at 10,000 requests a second: bytes held and time a trace.
func BenchmarkSampler(b *testing.B) {
	const rate = 10_000
	make := func(rng *rand.Rand, at float64) *trace.Trace {
		x := finishedTrace(rng, "part", at, 5, trace.Served)
		x.Spans = append(x.Spans, trace.Span{}, trace.Span{}, trace.Span{})
		return x
	}
	b.Run("bound", func(b *testing.B) {
		rng, most := rand.New(rand.NewPCG(1, 1)), 0
		k := New(1<<30, Class{OrdinaryPerSecond: 10}, nil)
		for i := range b.N {
			now := 1e6 + float64(i)*1000/rate
			k.Tick(now)
			x := make(rng, now)
			k.Reserve(x.Size())
			k.Finish(x, x.Size())
			most = max(most, k.Bytes())
		}
		b.ReportMetric(float64(most), "heldB")
	})
	b.Run("plain", func(b *testing.B) {
		rng, most, held, p, kept := rand.New(rand.NewPCG(1, 1)), 0, 0, windowBuffer{}, 0
		for i := range b.N {
			if i%rate == 0 {
				for _, x := range p.all {
					if x.ID.Order() < 10.0/rate {
						kept++
					}
				}
				p.all, held = nil, 0
			}
			x := make(rng, 1e6+float64(i)*1000/rate)
			p.all = append(p.all, x)
			held += x.Size()
			most = max(most, held)
		}
		b.ReportMetric(float64(most), "heldB")
	})
}
