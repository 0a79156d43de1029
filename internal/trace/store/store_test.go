package store

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// made is a trace of a day on which server 7 fails fast for a while.
func newTrace(rng *rand.Rand, i int) *trace.Trace {
	var id trace.ID
	binary.BigEndian.PutUint64(id[:8], rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], rng.Uint64())
	start := 1.7e12 + float64(i)*5
	l := trace.Begin(trace.Trace{ID: id, Router: "n1", Class: []string{"part", "sheet"}[i%2], Object: rng.Uint64(), Start: start, Weight: 1}, rng.Uint64())
	server, took, res, out := routing.ServerID(10+rng.IntN(40)), 5+rng.Float64()*40, routing.Served, trace.Served
	if i%5000 >= 4000 && i%5000 < 4050 {
		server, res, out = 7, routing.ServerError, trace.Failed
	}
	if i%10_000 == 77 {
		took = 3000
	}
	for n := range 2 {
		l.AttemptStarted(start+float64(n)*took, routing.SendAttempt{Server: server, FillSource: 3})
		l.AttemptEnded(start+float64(n+1)*took, res, 100, routing.LoadReport{}, trace.WireTimes{WrittenAt: start + 1})
	}
	l.Responded(start+2*took, out)
	t := l.Finished()
	t.Reasons = trace.ReasonRetried
	return t
}

func writeTraces(t testing.TB, folder string, n int, segment int64) []*trace.Trace {
	t.Helper()
	w, err := Open(folder, segment, 1<<40)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var all []*trace.Trace
	for i := range n {
		x := newTrace(rng, i)
		if err := w.Add(x); err != nil {
			t.Fatal(err)
		}
		if len(all) < 100_000 {
			all = append(all, x)
		}
	}
	if err := w.Close(2e12); err != nil {
		t.Fatal(err)
	}
	return all
}

func queryFolder(t testing.TB, folder string, f Filter) (got []*trace.Trace, read int) {
	t.Helper()
	x, err := Read(folder)
	if err != nil {
		t.Fatal(err)
	}
	read, err = x.Query(f, func(t *trace.Trace) bool { got = append(got, t); return true })
	if err != nil {
		t.Fatal(err)
	}
	return got, read
}

// A query finds what a look at every trace finds, in several segments, and reads few
// blocks where what it wants is rare.
func TestQueryFindsWhatScanFinds(t *testing.T) {
	folder := t.TempDir()
	all := writeTraces(t, folder, 20_000, 256<<10)
	if paths, _ := segmentPaths(folder); len(paths) < 3 {
		t.Fatalf("%d segments", len(paths))
	}
	x, err := Read(folder)
	if err != nil {
		t.Fatal(err)
	}
	blocks, traces, spans := x.Stat()
	if traces != len(all) || spans < 3*traces {
		t.Errorf("%d traces, %d spans", traces, spans)
	}
	for _, f := range []Filter{{}, {ID: all[12_345].ID}, {Outcome: 1 << trace.Failed}, {Server: 7}, {MinDuration: 3000}, {Class: "sheet", MinDuration: 80},
		{From: all[100].Start, To: all[200].Start}, {MinAttempts: 3}, {Reasons: trace.ReasonSlow}, {Class: "none"}, {Outcome: 1 << trace.Failed, Class: "part", Server: 7}} {
		want := 0
		for _, x := range all {
			if f.Matches(x) {
				want++
			}
		}
		got, read := queryFolder(t, folder, f)
		if len(got) != want || f.ID != (trace.ID{}) && (len(got) != 1 || got[0].ID != f.ID) {
			t.Errorf("%+v: %d traces, want %d", f, len(got), want)
		}
		if rare := want < 300 && f.MinDuration != 80; rare && read > blocks/5 {
			t.Errorf("%+v: read %d of %d blocks", f, read, blocks)
		}
	}
}

// A segment cut at any byte is read up to its last whole block, and after the next
// start it ends there; one that another Writer holds is left alone.
func TestTornTailIsCutOff(t *testing.T) {
	folder := t.TempDir()
	writeTraces(t, folder, 2000, 1<<30)
	paths, _ := segmentPaths(folder)
	whole, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	var ends []int64
	f, _ := os.Open(paths[0])
	defer f.Close()
	scanSegment(f, func(r blockRef) bool { ends = append(ends, r.offset+r.size); return true })
	if len(ends) < 3 {
		t.Fatalf("%d blocks", len(ends))
	}
	rng := rand.New(rand.NewPCG(2, 2))
	for i := range 60 {
		cut, last := int64(rng.IntN(len(whole))), int64(0)
		if i < 3 {
			cut = []int64{0, int64(len(segmentMagic)) - 1, ends[0] - 1}[i]
		}
		for _, e := range ends {
			if e <= cut {
				last = e
			}
		}
		torn := t.TempDir()
		path := filepath.Join(torn, filepath.Base(paths[0]))
		if err := os.WriteFile(path, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		before, _ := queryFolder(t, torn, Filter{})
		w, err := Open(torn, 1<<20, 1<<30)
		if err != nil {
			t.Fatal(err)
		}
		w.Close(1)
		after, _ := queryFolder(t, torn, Filter{})
		info, err := os.Stat(path)
		if size := max(last, int64(len(segmentMagic))); cut >= int64(len(segmentMagic)) && (err != nil || info.Size() != size) || cut < int64(len(segmentMagic)) && err == nil {
			t.Errorf("cut at %d: %v, %v, want %d bytes", cut, info, err, size)
		}
		if len(before) != len(after) || (last > 0) != (len(after) > 0) {
			t.Errorf("cut at %d: %d traces before the start, %d after it", cut, len(before), len(after))
		}
	}
	w, _ := Open(folder, 1<<20, 1<<30)
	w.Add(newTrace(rng, 1))
	if err := w.Flush(3e12); err != nil {
		t.Fatal(err)
	}
	paths, _ = segmentPaths(folder)
	own := paths[len(paths)-1]
	w.segment.Write([]byte("half a block"))
	if _, err := Open(folder, 1<<20, 1<<30); err != nil {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(own); string(b[len(b)-12:]) != "half a block" {
		t.Error("what a live writer was writing was cut off")
	}
	w.Close(3e12)
}

// The oldest segments go when there is too much.
func TestWriterRemovesOldestSegments(t *testing.T) {
	folder := t.TempDir()
	w, err := Open(folder, 50<<10, 200<<10)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 8000 {
		if err := w.Add(newTrace(rng, i)); err != nil {
			t.Fatal(err)
		}
	}
	w.Close(2e12)
	sum := int64(0)
	paths, _ := segmentPaths(folder)
	for _, p := range paths {
		info, _ := os.Stat(p)
		sum += info.Size()
	}
	got, _ := queryFolder(t, folder, Filter{})
	if last := got[len(got)-1]; sum > 200<<10 || last.Start < 1.7e12+7990*5 || got[0].Start < 1.7e12+1000*5 {
		t.Errorf("%d bytes in %d segments, from %v to %v", sum, len(paths), got[0].Start, last.Start)
	}
}

// FuzzSegment checks that no bytes break the reader.
func FuzzSegment(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 8, 200)
	folder := f.TempDir()
	writeTraces(f, folder, 30, 1<<20)
	paths, _ := segmentPaths(folder)
	whole, _ := os.ReadFile(paths[0])
	f.Add(whole)
	f.Fuzz(func(t *testing.T, b []byte) {
		dir := t.TempDir()
		if len(b)%2 == 1 && len(whole) > 0 { // a good file with bytes changed
			c := append([]byte(nil), whole...)
			for i, x := range b {
				c[(i*997+int(x)*31)%len(c)] ^= x
			}
			b = c
		}
		os.WriteFile(filepath.Join(dir, "1"+segmentSuffix), b, 0o600)
		if x, err := Read(dir); err == nil {
			x.Query(Filter{}, func(*trace.Trace) bool { return true })
		}
		if w, err := Open(dir, 1<<20, 1<<30); err == nil {
			w.Close(1)
		}
	})
}

// BenchmarkQuery measures queries by the index against a plain scan of all blocks, at
// 10,000, 100,000 and 1,000,000 spans.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		folder := b.TempDir()
		all := writeTraces(b, folder, n/3+1, 8<<20)
		x, err := Read(folder)
		if err != nil {
			b.Fatal(err)
		}
		_, _, spans := x.Stat()
		for _, q := range []struct {
			name string
			f    Filter
		}{{"id", Filter{ID: all[len(all)/2].ID}}, {"failed", Filter{Outcome: 1 << trace.Failed}}, {"slow", Filter{MinDuration: 3000}}, {"server", Filter{Server: 7}}} {
			b.Run(fmt.Sprintf("spans=%d/%s/index", spans, q.name), func(b *testing.B) {
				for b.Loop() {
					x.Query(q.f, func(*trace.Trace) bool { return true })
				}
			})
			b.Run(fmt.Sprintf("spans=%d/%s/scan", spans, q.name), func(b *testing.B) {
				for b.Loop() {
					x.Query(Filter{}, func(t *trace.Trace) bool { q.f.Matches(t); return true })
				}
			})
		}
		b.Run(fmt.Sprintf("spans=%d/read", spans), func(b *testing.B) {
			for b.Loop() {
				Read(folder)
			}
		})
	}
}
