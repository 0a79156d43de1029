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
	"testing"

	"garnetline/internal/fakeserver"
	"garnetline/internal/trace"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// Where the operators' file says that boxes take it, a trace goes on there, and by them at
// their hub: each attempt
// that arrived has the box's work under it, within its time though the box's clock is an
// hour ahead; the box keeps what the router keeps and what failed, and no more; and a
// rider's verdict keeps the fill that it rode.
func TestPeersTakePart(t *testing.T) {
	var hosts []string
	var boxes []*fakeserver.TracingServer
	folders := []string{}
	var hub *fakeserver.TracingServer
	for i := range 3 { // the first is the hub
		folder := t.TempDir()
		s, err := fakeserver.NewTracingServer(routing.ServerID(i).String(), folder, hub, uint64(i)<<32)
		if err != nil {
			t.Fatal(err)
		}
		boxes, folders = append(boxes, s), append(folders, folder)
		if i == 0 {
			hub = s
			continue
		}
		hosts = append(hosts, host(i, "box", newCache(t, s.Serve).Addr()))
	}
	hosts = append(hosts, host(9, "origin", newCache(t, func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", "x") }).Addr()))
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
		kept, err := s.Close()
		if err != nil {
			t.Fatal(err)
		}
		if s.Parent != nil {
			told, own = told+s.Verdicts, own+kept
		}
		x, err := store.Read(folders[i])
		if err != nil {
			t.Fatal(err)
		}
		x.Query(store.Filter{}, func(p *trace.Trace) bool {
			if byID[p.ID] == nil && len(p.Spans) == 1 && p.Outcome != trace.Failed {
				t.Errorf("%s kept the ordinary %v", s.Name, p.ID)
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
			if s.Kind != trace.ServerWork {
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
			if s.Kind == trace.Attempt && s.Flags&trace.FlagSent != 0 && (s.Server == 1 || s.Server == 2) {
				if works++; under[s.ID] != 1 {
					t.Errorf("attempt %v of %v has %d works of its box", s.AttemptNumber, piece.ID, under[s.ID])
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
	if err := newTraceCommand(&out).Run(context.Background(), []string{"trace", "show", "--folder", r.folder, "--folder", folders[0], "--folder", folders[1], "--folder", folders[2], rider.String()}); err != nil ||
		!strings.Contains(out.String(), "work: joined a fill") || !strings.Contains(out.String(), "it rode a fill of trace") {
		t.Errorf("%v: %s", err, out.String())
	}
}
