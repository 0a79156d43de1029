package trace

import (
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"garnetline/internal/fuzzutil"
	"garnetline/routing"
)

// What the specification of traceparent allows is read, and all else is none.
func TestParseTraceparent(t *testing.T) {
	good := "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	p, ok := ParseTraceparent(good)
	if !ok || p.String() != good || !p.Sampled {
		t.Errorf("%v %v", p, ok)
	}
	if p, ok := ParseTraceparent("cc" + good[2:] + "-what-comes-later"); !ok || p.Span != 0xf067aa0ba902b7 {
		t.Errorf("a later version: %v %v", p, ok)
	}
	for _, bad := range []string{"", good[:54], good + "-x", "ff" + good[2:], strings.ToUpper(good), "cc" + good[2:] + "x",
		"00-" + strings.Repeat("0", 32) + good[35:], good[:36] + strings.Repeat("0", 16) + good[52:], "cc" + good[2:] + "-" + strings.Repeat("x", 4096),
		strings.Replace(good, "f", "g", 1), strings.Replace(good, "-", "_", 1), "0x" + good[2:], good[:53] + "0x"} {
		if p, ok := ParseTraceparent(bad); ok {
			t.Errorf("%.80q was read as %v", bad, p)
		}
	}
}

// FuzzParent checks that what is read is written the same way.
func FuzzTraceparent(f *testing.F) {
	f.Add("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	f.Add("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-03-more")
	f.Fuzz(func(t *testing.T, s string) {
		p, ok := ParseTraceparent(s)
		if q, again := ParseTraceparent(p.String()); ok && (!again || q != p || p.Trace == ID{} || p.Span == 0) {
			t.Errorf("%q is %v, and that %v", s, p, q)
		}
	})
}

// play makes a piece by random legal steps.
func randomTrace(id ID, rng *rand.Rand, start float64) *Trace {
	l := Begin(Trace{ID: id, Router: "n1", TransactionID: "9b1f03aa5c7e2d41", Class: "part", Object: rng.Uint64(), Chunk: 3, PurgeGroup: 17, Start: start, Weight: 1}, rng.Uint64())
	now := start
	for range rng.IntN(4) {
		now += rng.Float64() * 10
		l.AttemptStarted(now, routing.SendAttempt{Server: routing.ServerID(rng.Uint32()), FillSource: 9, CopyRank: 2, JoinFill: true, MaxAge: time.Second})
		at := now + rng.Float64()
		now = at + rng.Float64()*100
		w := WireTimes{}
		if rng.IntN(2) == 0 {
			w = WireTimes{DialedAt: at, ConnectedAt: at + 1, WrittenAt: at + 1, MaxAge: 500}
		}
		if rng.IntN(3) == 0 {
			l.Responded(now, ClientDisconnected)
		}
		l.AttemptEnded(now, routing.Result(rng.IntN(9)), rng.IntN(1000), routing.LoadReport{Inflight: 7, LinkUtilization: math.NaN()}, w)
	}
	l.Responded(now, Outcome(rng.IntN(int(outcomeCount))))
	if !l.Done() {
		panic("not done")
	}
	p := l.Finished()
	for range rng.IntN(3) {
		p.Links = append(p.Links, Link{p.Spans[0].ID, ID{9, byte(rng.Uint32())}, SpanID(rng.Uint64())})
	}
	return p
}

// same compares traces whose missing load reports are NaN, to the microsecond.
func equalTraces(a, b *Trace) bool {
	if len(a.Spans) != len(b.Spans) {
		return false
	}
	near := func(x, y float64) bool { return math.Abs(x-y) < 0.002 }
	for i, s := range a.Spans {
		q := b.Spans[i]
		if !near(s.Start, q.Start) || !near(s.End, q.End) || math.IsNaN(float64(s.LinkUtilization)) != math.IsNaN(float64(q.LinkUtilization)) {
			return false
		}
		s.Start, s.End, q.Start, q.End, s.LinkUtilization, q.LinkUtilization, s.Inflight, q.Inflight = 0, 0, 0, 0, 0, 0, 0, 0
		if s != q {
			return false
		}
	}
	x, y := *a, *b
	if !near(x.Start, y.Start) || !near(x.End, y.End) {
		return false
	}
	x.Spans, y.Spans, x.Start, y.Start, x.End, y.End = nil, nil, 0, 0, 0, 0
	return reflect.DeepEqual(x, y)
}

// FuzzCode checks that a trace comes back as it was, and that no bytes break the
// reader or make it hold much.
func FuzzDecode(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 200)
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := Decode(b); err == nil {
			if again, err := Decode(Append(nil, got)); err != nil || len(again.Spans) != len(got.Spans) {
				t.Errorf("read, but not again: %v", err)
			}
		}
		seed := uint64(len(b))
		for i, c := range b {
			seed += uint64(c) << (i % 56)
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		in := randomTrace(ID{1, byte(seed)}, rng, 1.7e12+rng.Float64())
		code := Append(nil, in)
		if out, err := Decode(code); err != nil || !equalTraces(in, out) {
			t.Fatalf("%v\n%+v\n%+v", err, in, out)
		}
		for n := range code {
			if got, err := Decode(code[:n]); err == nil && len(got.Links) >= len(in.Links) {
				t.Fatalf("cut at %d of %d it is read whole", n, len(code))
			}
		}
	})
}

// The pieces of a trace that two routers made have one root, every span a parent, and
// nothing ends before it starts; also where one piece is missing a part.
func TestMergeReturnsOneRoot(t *testing.T) {
	id := ID{7}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		a, b := randomTrace(id, rng, 1000), randomTrace(id, rng, 1500)
		if seed%3 == 0 { // the router that made it was killed with a part of it
			b.Spans = b.Spans[1:]
		}
		spans := Merge(id, []*Trace{a, b, randomTrace(ID{8}, rng, 1), a})
		ids, roots := map[SpanID]bool{}, 0
		for _, s := range spans {
			if ids[s.ID] {
				t.Fatalf("seed %d: span %x stands twice", seed, s.ID)
			}
			ids[s.ID] = true
		}
		for _, s := range spans {
			if s.Kind == Client {
				roots++
			} else if !ids[s.Parent] {
				t.Fatalf("seed %d: %v has no parent", seed, s)
			}
			if s.End < s.Start {
				t.Fatalf("seed %d: %v ends before it starts", seed, s)
			}
		}
		if roots != 1 || spans[0].Kind != Client || len(spans) != 1+len(a.Spans)+len(b.Spans) {
			t.Fatalf("seed %d: %d roots, %d spans", seed, roots, len(spans))
		}
	}
}

// What a server tells by a clock that is seconds off lies within its attempt, all of it
// moved alike; one whose router's piece is lost stands under the root.
func TestMergeShiftsServerSpansIntoAttempt(t *testing.T) {
	id := ID{3}
	l := Begin(Trace{ID: id, Router: "n1", Start: 1000}, 1)
	p := l.AttemptStarted(1002, routing.SendAttempt{Server: 5})
	l.AttemptEnded(1052, routing.Served, 10, routing.LoadReport{}, WireTimes{WrittenAt: 1003})
	l.Responded(1053, Served)
	for _, off := range []float64{-5000, 0, 3, 1e6} {
		start := 1010 + off
		box := &Trace{ID: id, Router: "s-00000005", Start: start, End: start + 30, Spans: []Span{
			{ID: 77, Parent: p.Span, Kind: ServerWork, Start: start, End: start + 30}, {ID: 78, Parent: 77, Kind: Fill, Start: start + 5, End: start + 25}}}
		hub := &Trace{ID: id, Router: "s-00000008", Start: start - 2*off, End: start - 2*off + 10, Spans: []Span{
			{ID: 79, Parent: 78, Kind: ServerWork, Start: start - 2*off, End: start - 2*off + 10}}}
		at := map[SpanID]Span{}
		for _, s := range Merge(id, []*Trace{hub, box, l.Finished()}) {
			at[s.ID] = s
		}
		if h, f := at[79], at[78]; h.Parent != 78 || h.Start < f.Start || h.End > f.End || h.End-h.Start != 10 {
			t.Errorf("%v ms off: the hub's work from %v to %v under the fill from %v to %v", off, h.Start, h.End, f.Start, f.End)
		}
		a, w, f := at[p.Span], at[77], at[78]
		if w.Start < a.Start || w.End > a.End || f.Start-w.Start != 5 || f.End-f.Start != 20 || w.Parent != a.ID || f.Parent != w.ID {
			t.Errorf("%v ms off: attempt %v to %v, work %v to %v, fill %v to %v", off, a.Start, a.End, w.Start, w.End, f.Start, f.End)
		}
		if off >= 0 && off <= 3 && w.Start != start {
			t.Errorf("%v ms off: moved though it lay within", off)
		}
		if alone := Merge(id, []*Trace{box}); len(alone) != 3 || alone[1].Parent != alone[0].ID || alone[0].Kind != Client {
			t.Errorf("without the router's piece: %+v", alone)
		}
	}
}

// Order is spread evenly, and alike for all who know the id.
func TestOrderIsUniform(t *testing.T) {
	var n [10]int
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		var id ID
		for i := range id {
			id[i] = byte(rng.Uint32())
		}
		o := id.Order()
		if o <= 0 || o > 1 {
			t.Fatalf("%v", o)
		}
		n[min(int(o*10), 9)]++
	}
	for i, c := range n {
		if c < 9600 || c > 10_400 {
			t.Errorf("%d of 100000 in tenth %d", c, i)
		}
	}
}
