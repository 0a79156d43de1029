package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"garnetline/decide"
	"garnetline/internal/trace"
	"garnetline/internal/trace/hold"
	"garnetline/internal/trace/store"
)

// speaker is a stand-in box that takes the fields trace and kept: it holds its spans and
// keeps them in a folder of its own. Its clock is an hour ahead.
type speaker struct {
	name   string
	mu     sync.Mutex
	h      *hold.Holder
	w      *store.Writer
	fills  map[string]trace.Link // by object; one stays under way to the end
	next   uint64
	errors int
	told   int      // verdicts
	hub    *speaker // what it fills from; nil: it is a hub, and fills from the archive
}

// ask has a hub fill for a span of a box, which hands on the verdicts that it was told.
func (s *speaker) ask(p trace.Parent, class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	start := s.now()
	work := trace.Span{ID: p.Trace.Span(s.next), Parent: p.Span, Kind: trace.Work, Start: start, Result: uint8(decide.FilledByOrigin)}
	fetch := trace.Span{ID: p.Trace.Span(s.next | 1<<40), Parent: work.ID, Kind: trace.Fill, Start: s.now(), End: s.now(), Result: uint8(decide.FilledByOrigin)}
	work.End = s.now()
	s.keep(s.h.Add(work.End, &trace.Trace{ID: p.Trace, Router: s.name, Class: class, Start: start, End: work.End, Weight: 1, Outcome: trace.Served,
		Spans: []trace.Span{work, fetch}}, false))
}

func (s *speaker) hear(id trace.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told++
	s.keep(s.h.Kept(id))
}

const ahead = 3_600_000.0

func (s *speaker) now() float64 { return float64(time.Now().UnixMicro())/1000 + ahead }

func (s *speaker) keep(kept []*trace.Trace) {
	for _, t := range kept {
		s.w.Add(t)
	}
}

// serve answers one request: a hit, an error, or a fill, which others may ride while it
// is under way. It has the lock except while a fill is.
func (s *speaker) serve(id, fields string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := map[string]string{}
	for x := range strings.SplitSeq(fields, ",") {
		k, v, _ := strings.Cut(x, "=")
		f[k] = v
	}
	start := s.now()
	s.keep(s.h.Tick(start))
	if v := f["kept"]; v != "" {
		for x := range strings.SplitSeq(v, "+") {
			if id, ok := trace.ParseID(x); ok {
				s.told++
				kept := s.h.Kept(id)
				for _, t := range kept { // a fill that a rider keeps is of another trace
					s.hub.hear(t.ID)
				}
				s.keep(kept)
			}
		}
	}
	p, traced := trace.ParseParent(f["trace"])
	s.next++
	work := trace.Span{ID: p.Trace.Span(s.next), Parent: p.Span, Kind: trace.Work, Start: start, Result: uint8(decide.Hit)}
	t := &trace.Trace{ID: p.Trace, Router: s.name, Txn: id, Class: f["sort"], Start: start, Weight: 1, Outcome: trace.Served}
	failed := false
	switch asset := f["asset"]; {
	case strings.HasSuffix(asset, "e"): // an error now and then
		if s.errors++; s.errors%2 == 1 {
			failed, t.Outcome, work.Result = true, trace.Failed, uint8(decide.OriginFailed)
		}
	case strings.HasSuffix(asset, "f"):
		if l, ok := s.fills[asset]; ok {
			work.Result = uint8(decide.Joined)
			t.Links = append(t.Links, trace.Link{From: work.ID, Trace: l.Trace, To: l.To})
			break
		}
		work.Result = uint8(decide.Filled)
		fill := trace.Span{ID: p.Trace.Span(s.next | 1<<40), Parent: work.ID, Kind: trace.Fill, Start: s.now(), Result: uint8(decide.FilledByOrigin)}
		s.fills[asset] = trace.Link{Trace: p.Trace, To: fill.ID}
		if traced {
			s.hub.ask(trace.Parent{Trace: p.Trace, Span: fill.ID}, f["sort"])
		}
		fill.End = s.now()
		t.Spans = append(t.Spans, fill)
	}
	work.End = s.now()
	t.End = work.End
	t.Spans = append([]trace.Span{work}, t.Spans...)
	if traced {
		s.keep(s.h.Add(t.End, t, failed))
	}
	if failed {
		return answer(id, "BROKE", "-", "")
	}
	return answer(id, "DONE", "tag=t1,minted=1", "bytes")
}

// Where the operators' file says that boxes take it, a trace goes on there, and by them at
// their hub: each attempt
// that arrived has the box's work under it, within its time though the box's clock is an
// hour ahead; the box keeps what the router keeps and what failed, and no more; and a
// rider's verdict keeps the fill that it rode.
func TestPeersTakePart(t *testing.T) {
	var hosts []string
	var boxes []*speaker
	folders := []string{}
	var hub *speaker
	for i := range 3 { // the first is the hub
		folder := t.TempDir()
		w, err := store.Open(folder, 1<<20, 1<<30)
		if err != nil {
			t.Fatal(err)
		}
		s := &speaker{name: decide.ServerID(i).String(), hub: hub, h: hold.New(60_000, 1<<20), w: w, fills: map[string]trace.Link{}, next: uint64(i) << 32}
		boxes, folders = append(boxes, s), append(folders, folder)
		if i == 0 {
			hub = s
			continue
		}
		hosts = append(hosts, host(i, "box", newCache(t, s.serve).Addr()))
	}
	hosts = append(hosts, host(9, "origin", newCache(t, func(id, _ string) string { return answer(id, "DONE", "tag=t1,minted=1", "x") }).Addr()))
	log, _ := newLog(t)
	r := startTracer(t, "a1", log, strings.Join(hosts, ","), "peers = true\n ordinary_per_s = 0\n")
	conn, err := net.Dial("tcp", r.listen)
	if err != nil {
		t.Fatal(err)
	}
	in, rng := bufio.NewReader(conn), rand.New(rand.NewPCG(1, 1))
	statuses := map[string]int{}
	for i := range 400 {
		// Objects that end in e fail now and then, those in f are filled, once a box; from
		// 300 on plain hits alone, on which the last verdicts ride.
		object := fmt.Sprintf("%015x%c", 1+rng.IntN(12), "0123e0123f"[rng.IntN(10)])
		if i >= 300 {
			object = fmt.Sprintf("%015x0", 1+i)
		}
		more := ""
		if i%50 == 49 && i < 300 { // its client samples this one: a rider, maybe, of a fill that nobody kept
			more, object = fmt.Sprintf("Traceparent: 00-%032x-%016x-01\r\n", 1<<30+i, 7), fmt.Sprintf("%015xf", 1+i%3)
		}
		txn := fmt.Sprintf("%016x", i+1)
		fmt.Fprintf(conn, "GET /v1/part/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Ttl-Ms: 3000\r\n%s\r\n", object, txn, more)
		w, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, w.Body)
		statuses[txn] = w.StatusCode
	}
	conn.Close()
	pieces := r.end(t)
	told, own := 0, 0
	byID := map[trace.ID][]*trace.Trace{}
	for _, p := range pieces {
		byID[p.ID] = append(byID[p.ID], p)
	}
	for i, s := range boxes {
		s.mu.Lock()
		if s.keep(s.h.Tick(s.now() + 1e6)); s.hub != nil { // the limit
			told, own = told+s.told, own+int(s.h.Counts.Own)
		}
		s.w.Close(s.now())
		s.mu.Unlock()
		x, err := store.Read(folders[i])
		if err != nil {
			t.Fatal(err)
		}
		x.Query(store.Filter{}, func(p *trace.Trace) bool {
			if byID[p.ID] == nil && len(p.Spans) == 1 && p.Outcome != trace.Failed {
				t.Errorf("%s kept the ordinary %v", s.name, p.ID)
			}
			byID[p.ID] = append(byID[p.ID], p)
			return true
		})
	}
	works, rides, fetches := 0, 0, 0
	for _, piece := range pieces {
		spans := map[trace.SpanID]trace.Span{}
		all := trace.Merge(piece.ID, byID[piece.ID])
		for _, s := range all {
			spans[s.ID] = s
		}
		under := map[trace.SpanID]int{}
		for _, s := range all {
			if s.Kind != trace.Work {
				continue
			}
			a := spans[s.Parent]
			if a.Kind == trace.Fill { // a hub's, under the box's fill
				if fetches++; s.Start < a.Start-0.01 || s.End > a.End+0.01 {
					t.Fatalf("the hub's work from %v to %v under a fill from %v to %v", s.Start, s.End, a.Start, a.End)
				}
				continue
			}
			if under[a.ID]++; a.Kind != trace.Attempt || s.Start < a.Start-0.01 && s.End-s.Start < a.End-a.Start || s.Start-a.Start > 1000 {
				t.Fatalf("work from %v to %v under %v from %v to %v", s.Start, s.End, a.Kind, a.Start, a.End)
			}
		}
		for _, s := range all {
			if s.Kind == trace.Attempt && s.Flags&trace.Sent != 0 && (s.Server == 1 || s.Server == 2) {
				if works++; under[s.ID] != 1 {
					t.Errorf("attempt %v of %v has %d works of its box", s.N, piece.ID, under[s.ID])
				}
			}
		}
		for _, p := range byID[piece.ID] {
			for _, l := range p.Links {
				rides++
				found := false
				for _, q := range byID[l.Trace] {
					for _, s := range q.Spans {
						found = found || s.ID == l.To && s.Kind == trace.Fill
					}
				}
				if !found {
					t.Errorf("the fill that %v rode is not kept", p.ID)
				}
			}
		}
	}
	if works < 10 || rides < 2 || told < 8 || fetches < 1 {
		t.Errorf("%d works, %d rides, %d fetches of the hub, %d verdicts, %d kept at the limit: too few to show anything", works, rides, fetches, told, own)
	}
	var rider trace.ID
	for id, of := range byID {
		if len(of) > 1 && len(of[len(of)-1].Links) > 0 {
			rider = id
		}
	}
	var out bytes.Buffer
	if err := traceCommand(&out).Run(context.Background(), []string{"trace", "show", "--folder", r.folder, "--folder", folders[0], "--folder", folders[1], "--folder", folders[2], rider.String()}); err != nil ||
		!strings.Contains(out.String(), "work: joined a fill") || !strings.Contains(out.String(), "it rode a fill of trace") {
		t.Errorf("%v: %s", err, out.String())
	}
}
