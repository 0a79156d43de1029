package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"garnetline/internal/daemontest"
	"garnetline/internal/fakeserver"
	"garnetline/internal/trace"
	"garnetline/routing"
)

const (
	propagationRequests = 400
	// From this request on there are cache hits alone, with which the last verdicts are sent.
	firstPlainHit = 300
	// Each of so many requests is sampled by its client.
	clientSampleInterval = 50
)

// propagationTest is a router that passes traces on to two caches, and they to their parent.
type propagationTest struct {
	t       *testing.T
	router  *tracedRouter
	servers []*fakeserver.TracingServer // the first is the parent
	dirs    []string                    // of their traces

	routerTraces []*trace.Trace
	byID         map[trace.ID][]*trace.Trace // of all processes
	verdicts     int                         // that the caches received
	retainedSelf int                         // by the caches, without a verdict
}

func newPropagationTest(t *testing.T) *propagationTest {
	t.Helper()
	test := &propagationTest{t: t, byID: map[trace.ID][]*trace.Trace{}}
	origin := daemontest.NewServer(t, func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", "x") })
	endpoints := []daemontest.Endpoint{{ID: 9, Kind: daemontest.Origin, Addr: origin.Addr()}}
	parent := test.addServer(0, nil)
	for id := 1; id <= 2; id++ {
		cache := test.addServer(id, parent)
		endpoints = append(endpoints, daemontest.Endpoint{ID: id, Kind: daemontest.Cache, Addr: daemontest.NewServer(t, cache.Serve).Addr()})
	}
	config := daemontest.Config{Name: "a1", ChangeLog: daemontest.NewIdleChangeLog(t).Addr(), Endpoints: endpoints}
	test.router = startTracedRouter(t, config, "peers = true\n ordinary_per_s = 0\n")
	return test
}

func (p *propagationTest) addServer(id int, parent *fakeserver.TracingServer) *fakeserver.TracingServer {
	p.t.Helper()
	dir := p.t.TempDir()
	server, err := fakeserver.NewTracingServer(routing.ServerID(id).String(), dir, parent, uint64(id)<<32)
	if err != nil {
		p.t.Fatal(err)
	}
	p.servers = append(p.servers, server)
	p.dirs = append(p.dirs, dir)
	return server
}

// run sends all requests, one after another on one connection.
func (p *propagationTest) run() {
	p.t.Helper()
	client := daemontest.Dial(p.t, p.router.addr)
	defer daemontest.Close(p.t, client)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range propagationRequests {
		client.Exchange(p.t, propagationRequest(random, i))
	}
}

// propagationRequest is the i-th request. Objects that end in e fail now and then, those in f
// are filled, once at each cache.
func propagationRequest(random *rand.Rand, i int) string {
	object := fmt.Sprintf("%015x%c", 1+random.IntN(12), "0123e0123f"[random.IntN(10)])
	header := []string{daemontest.Transaction(i + 1), daemontest.ClientTimeout(3 * time.Second)}
	switch {
	case i >= firstPlainHit:
		object = fmt.Sprintf("%015x0", 1+i)
	case i%clientSampleInterval == clientSampleInterval-1: // it may join a fill of which nothing is retained otherwise
		object = fmt.Sprintf("%015xf", 1+i%3)
		header = append(header, fmt.Sprintf("Traceparent: 00-%032x-%016x-01", 1<<30+i, 7))
	}
	return daemontest.Request("GET", "/v1/part/"+object, header...)
}

// stop ends all processes and collects what they retained.
func (p *propagationTest) stop() {
	p.t.Helper()
	p.routerTraces = p.router.stop(p.t)
	for _, found := range p.routerTraces {
		p.byID[found.ID] = append(p.byID[found.ID], found)
	}
	for i, server := range p.servers {
		retainedSelf, err := server.Close()
		if err != nil {
			p.t.Fatal(err)
		}
		if server.Parent != nil {
			p.verdicts += server.Verdicts
			p.retainedSelf += retainedSelf
		}
		for _, found := range readTraces(p.t, p.dirs[i]) {
			if p.byID[found.ID] == nil && len(found.Spans) == 1 && found.Outcome != trace.Failed {
				p.t.Errorf("%s retained the ordinary %v", server.Name, found.ID)
			}
			p.byID[found.ID] = append(p.byID[found.ID], found)
		}
	}
}

// propagationCounts is how much was checked, so that a test can see that it showed something.
type propagationCounts struct{ works, joinedFills, parentWorks int }

// check checks the merged trace of each request that the router retained.
func (p *propagationTest) check() propagationCounts {
	p.t.Helper()
	var counts propagationCounts
	for _, found := range p.routerTraces {
		spans := trace.Merge(found.ID, p.byID[found.ID])
		worksOf, parentWorks := p.checkServerWork(spans)
		counts.parentWorks += parentWorks
		for _, span := range spans {
			sentToCache := span.Kind == trace.Attempt && span.Flags&trace.FlagSent != 0 && (span.Server == 1 || span.Server == 2)
			if !sentToCache {
				continue
			}
			counts.works++
			if worksOf[span.ID] != 1 {
				p.t.Errorf("attempt %v of %v has %d works of its cache, want 1", span.AttemptNumber, found.ID, worksOf[span.ID])
			}
		}
		counts.joinedFills += p.checkLinks(found.ID)
	}
	return counts
}

// checkServerWork checks that the work of a server lies within the attempt, or the work of a
// parent within the fill, that it is a child of. It returns the number of works of each attempt,
// and that of all works of the parent.
func (p *propagationTest) checkServerWork(spans []trace.Span) (worksOf map[trace.SpanID]int, parentWorks int) {
	p.t.Helper()
	byID := map[trace.SpanID]trace.Span{}
	for _, span := range spans {
		byID[span.ID] = span
	}
	worksOf = map[trace.SpanID]int{}
	for _, span := range spans {
		if span.Kind != trace.ServerWork {
			continue
		}
		cause := byID[span.Parent]
		if cause.Kind == trace.Fill {
			parentWorks++
			if span.Start < cause.Start-0.01 || span.End > cause.End+0.01 {
				p.t.Fatalf("the parent's work from %v to %v under a fill from %v to %v", span.Start, span.End, cause.Start, cause.End)
			}
			continue
		}
		worksOf[cause.ID]++
		beginsBefore := span.Start < cause.Start-0.01 && span.End-span.Start < cause.End-cause.Start
		if cause.Kind != trace.Attempt || beginsBefore || span.Start-cause.Start > 1000 {
			p.t.Fatalf("work from %v to %v under %v from %v to %v", span.Start, span.End, cause.Kind, cause.Start, cause.End)
		}
	}
	return worksOf, parentWorks
}

// checkLinks checks that each fill which a trace links to is retained, and returns their number.
func (p *propagationTest) checkLinks(id trace.ID) int {
	p.t.Helper()
	links := 0
	for _, part := range p.byID[id] {
		for _, link := range part.Links {
			links++
			if !p.hasFill(link) {
				p.t.Errorf("the fill that %v joined is not retained", id)
			}
		}
	}
	return links
}

func (p *propagationTest) hasFill(link trace.Link) bool {
	for _, part := range p.byID[link.Trace] {
		for _, span := range part.Spans {
			if span.ID == link.To && span.Kind == trace.Fill {
				return true
			}
		}
	}
	return false
}

// traceWithLink returns a trace whose last part joined a fill of another trace.
func (p *propagationTest) traceWithLink() trace.ID {
	var found trace.ID
	for id, parts := range p.byID {
		if len(parts) > 1 && len(parts[len(parts)-1].Links) > 0 {
			found = id
		}
	}
	return found
}

// Where the operators' file says that servers take traces, a trace is continued there, and by
// them at their parent: each attempt that arrived has the server's work under it, within its
// time though the server's clock is an hour ahead; the server retains what the router retains
// and what failed, and no more; and a verdict on a request that joined a fill retains that fill.
func TestServersContinueTraces(t *testing.T) {
	test := newPropagationTest(t)
	test.run()
	test.stop()
	counts := test.check()
	if counts.works < 10 || counts.joinedFills < 2 || test.verdicts < 8 || counts.parentWorks < 1 {
		t.Errorf("%+v, %d verdicts, %d retained without one: too few to show anything", counts, test.verdicts, test.retainedSelf)
	}
	args := []string{"show", "--folder", test.router.traceDir}
	for _, dir := range test.dirs {
		args = append(args, "--folder", dir)
	}
	out := runTraceCommand(t, append(args, test.traceWithLink().String())...)
	for _, want := range []string{"work: joined a fill", "it rode a fill of trace"} {
		if !strings.Contains(out, want) {
			t.Errorf("trace show prints no %q: %s", want, out)
		}
	}
}
