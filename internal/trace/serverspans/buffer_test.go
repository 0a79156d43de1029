package serverspans

import (
	"math/rand/v2"
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
)

func serverTrace(id byte, span trace.SpanID, fill trace.SpanID, rides ...trace.Link) *trace.Trace {
	t := &trace.Trace{ID: trace.ID{id}, Router: "s-00000005", Spans: []trace.Span{{ID: span, Kind: trace.ServerWork}}, Links: rides}
	if fill != 0 {
		t.Spans = append(t.Spans, trace.Span{ID: fill, Parent: span, Kind: trace.Fill})
	}
	return t
}

// A verdict keeps the pieces of its trace and the fill that it rode, which belongs to a
// first asker whose own trace is not kept; a verdict after the limit finds nothing.
func TestRetentionDecisions(t *testing.T) {
	h := New(1000, 1<<20)
	first := serverTrace(1, 10, 11)
	h.Add(0, first, false)
	rider := serverTrace(2, 20, 0, trace.Link{From: 20, Trace: trace.ID{1}, To: 11})
	h.Add(1, rider, false)
	if kept := h.Retain(trace.ID{2}); len(kept) != 2 || kept[0] != first || kept[1] != rider {
		t.Errorf("%v", kept)
	}
	if kept := append(h.Retain(trace.ID{2}), h.Retain(trace.ID{1})...); len(kept) != 0 {
		t.Errorf("kept twice: %v", kept)
	}
	h.Add(2, serverTrace(3, 30, 0), false)
	failed := serverTrace(4, 40, 0)
	h.Add(3, failed, true)
	if kept := h.Tick(1001); len(kept) != 0 {
		t.Errorf("before the limit: %v", kept)
	}
	if kept := h.Tick(1003); len(kept) != 1 || kept[0] != failed {
		t.Errorf("at the limit: %v, want what failed alone", kept)
	}
	if kept := h.Retain(trace.ID{3}); len(kept) != 0 || h.Bytes() != 0 {
		t.Errorf("after the limit: %v, %d bytes", kept, h.Bytes())
	}
}

// FuzzBufferAccounting checks by random steps that the bound holds, nothing is kept twice, what
// failed is always kept in the end, and nothing is held then.
func FuzzBufferAccounting(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 500)
	f.Fuzz(func(t *testing.T, steps []byte) {
		const most = 5000
		rng, h, now, next := rand.New(rand.NewPCG(uint64(len(steps)), 1)), New(100, most), 0.0, trace.SpanID(1)
		seen, failed := map[*trace.Trace]bool{}, map[*trace.Trace]bool{}
		take := func(kept []*trace.Trace) {
			for _, x := range kept {
				if seen[x] {
					t.Fatal("kept twice")
				}
				seen[x] = true
			}
		}
		var fills []trace.Link
		for i := 0; i+1 < len(steps) && i < 2000; i += 2 {
			x := steps[i+1]
			switch steps[i] % 4 {
			case 0, 1:
				w := serverTrace(x%16, next, map[bool]trace.SpanID{true: next + 1}[x%3 == 0])
				if x%5 == 0 && len(fills) > 0 {
					w.Links = append(w.Links, fills[rng.IntN(len(fills))])
				}
				if x%3 == 0 {
					fills = append(fills, trace.Link{Trace: w.ID, To: next + 1})
				}
				next += 2
				failed[w] = x%7 == 0
				take(h.Add(now, w, x%7 == 0))
			case 2:
				take(h.Retain(trace.ID{x % 16}))
			case 3:
				now += float64(x)
				take(h.Tick(now))
			}
			if h.Bytes() > most {
				t.Fatalf("%d bytes", h.Bytes())
			}
		}
		take(h.Tick(now + 101))
		for w, f := range failed {
			if f && !seen[w] {
				t.Error("what failed was forgotten")
			}
		}
		if h.Bytes() != 0 || len(h.byTrace) != 0 || len(h.byFill) != 0 {
			t.Errorf("%d bytes, %d traces and %d fills are held in the end", h.Bytes(), len(h.byTrace), len(h.byFill))
		}
	})
}
