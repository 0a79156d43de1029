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
	// firstPlainHit is the index from which all further requests are cache hits. The router sends
	// the last verdicts with these requests. A verdict tells a cache to retain a trace.
	firstPlainHit = 300
	// clientSampleInterval is the interval of client sampling: one of this many requests is sampled
	// by its client.
	clientSampleInterval = 50
)

// propagationTest is a router that propagates trace contexts to two caches, which propagate them to
// their parent.
type propagationTest struct {
	t       *testing.T
	router  *tracedRouter
	servers []*fakeserver.TracingServer // the first is the parent
	dirs    []string                    // trace directories of the servers

	routerTraces []*trace.Trace
	byID         map[trace.ID][]*trace.Trace // the traces of all processes
	verdicts     int                         // number of verdicts that the caches received
	retainedSelf int                         // number of traces that the caches retained without a verdict
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

// propagationRequest returns the text of request i. Some requests for objects whose ids end in
// "e" fail. Each cache fills an object whose id ends in "f" only once.
func propagationRequest(random *rand.Rand, i int) string {
	object := fmt.Sprintf("%015x%c", 1+random.IntN(12), "0123e0123f"[random.IntN(10)])
	header := []string{daemontest.Transaction(i + 1), daemontest.ClientTimeout(3 * time.Second)}
	switch {
	case i >= firstPlainHit:
		object = fmt.Sprintf("%015x0", 1+i)
	case i%clientSampleInterval == clientSampleInterval-1: // the request may join a fill whose trace would otherwise be dropped
		object = fmt.Sprintf("%015xf", 1+i%3)
		header = append(header, fmt.Sprintf("Traceparent: 00-%032x-%016x-01", 1<<30+i, 7))
	}
	return daemontest.Request("GET", "/v1/part/"+object, header...)
}

// stop stops the router and the servers, and collects the traces that they retained.
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
				p.t.Errorf("%s retained the ordinary trace %v, want it dropped", server.Name, found.ID)
			}
			p.byID[found.ID] = append(p.byID[found.ID], found)
		}
	}
}

// propagationCounts counts the spans and links that were checked: the work spans of caches, the
// links to fills, and the work spans of the parent server. A work span covers a server's work for one
// request. The test fails if too few were checked.
type propagationCounts struct{ works, joinedFills, parentWorks int }

// check checks the merged trace of each request that the router retained.
func (p *propagationTest) check() propagationCounts {
	p.t.Helper()
	var counts propagationCounts
	for _, found := range p.routerTraces {
		spans := trace.Merge(found.ID, p.byID[found.ID])
		workByAttempt, parentWork := p.checkServerWork(spans)
		counts.parentWorks += parentWork
		for _, span := range spans {
			sentToCache := span.Kind == trace.Attempt && span.Flags&trace.FlagSent != 0 && (span.Server == 1 || span.Server == 2)
			if !sentToCache {
				continue
			}
			counts.works++
			if workByAttempt[span.ID] != 1 {
				p.t.Errorf("attempt %v of trace %v has %d work spans of its cache, want 1", span.AttemptNumber, found.ID, workByAttempt[span.ID])
			}
		}
		counts.joinedFills += p.checkLinks(found.ID)
	}
	return counts
}

// checkServerWork checks the work spans of all servers. The work span of a cache has to lie within
// the attempt that is its parent span. The work span of the parent server has to lie within the
// fill that is its parent span. checkServerWork returns the number of work spans of each attempt,
// and the number of work spans of the parent server.
func (p *propagationTest) checkServerWork(spans []trace.Span) (workByAttempt map[trace.SpanID]int, parentWork int) {
	p.t.Helper()
	byID := map[trace.SpanID]trace.Span{}
	for _, span := range spans {
		byID[span.ID] = span
	}
	workByAttempt = map[trace.SpanID]int{}
	for _, span := range spans {
		if span.Kind != trace.ServerWork {
			continue
		}
		cause := byID[span.Parent]
		if cause.Kind == trace.Fill {
			parentWork++
			if span.Start < cause.Start-0.01 || span.End > cause.End+0.01 {
				p.t.Fatalf("work span of the parent from %v to %v is not within its fill from %v to %v", span.Start, span.End, cause.Start, cause.End)
			}
			continue
		}
		workByAttempt[cause.ID]++
		beginsBefore := span.Start < cause.Start-0.01 && span.End-span.Start < cause.End-cause.Start
		if cause.Kind != trace.Attempt || beginsBefore || span.Start-cause.Start > 1000 {
			p.t.Fatalf("work span of a cache from %v to %v does not fit its parent span, %v from %v to %v", span.Start, span.End, cause.Kind, cause.Start, cause.End)
		}
	}
	return workByAttempt, parentWork
}

// checkLinks checks that each fill that a trace links to is retained, and returns the number of
// links.
func (p *propagationTest) checkLinks(id trace.ID) int {
	p.t.Helper()
	links := 0
	for _, part := range p.byID[id] {
		for _, link := range part.Links {
			links++
			if !p.hasFill(link) {
				p.t.Errorf("trace %v joined a fill that is not retained", id)
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

// traceWithLink returns the id of a trace that several processes retained, and whose last partial
// trace links to a fill.
func (p *propagationTest) traceWithLink() trace.ID {
	var found trace.ID
	for id, parts := range p.byID {
		if len(parts) > 1 && len(parts[len(parts)-1].Links) > 0 {
			found = id
		}
	}
	return found
}

// If the operators' file has peers = true, the caches continue the router's traces, and the parent
// server continues the caches' traces. Each attempt that arrived has a work span of its cache as a
// child. This span lies within the time of the attempt, although the server's clock is an hour
// ahead. A server retains the traces that the router retains and those that failed, and no other
// traces. If the router tells a cache to retain the trace of a request that joined a fill, the
// trace of that fill is retained too.
func TestServersContinueTraces(t *testing.T) {
	test := newPropagationTest(t)
	test.run()
	test.stop()
	counts := test.check()
	if counts.works < 10 || counts.joinedFills < 2 || test.verdicts < 8 || counts.parentWorks < 1 {
		t.Errorf("too few spans checked: %+v, %d verdicts, %d traces retained without a verdict", counts, test.verdicts, test.retainedSelf)
	}
	args := []string{"show", "--folder", test.router.traceDir}
	for _, dir := range test.dirs {
		args = append(args, "--folder", dir)
	}
	out := runTraceCommand(t, append(args, test.traceWithLink().String())...)
	for _, want := range []string{"work: joined a fill", "it rode a fill of trace"} {
		if !strings.Contains(out, want) {
			t.Errorf("trace show: want %q in the output: %s", want, out)
		}
	}
}
