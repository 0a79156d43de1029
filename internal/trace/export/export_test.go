package export

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/collector/pdata/ptrace"

	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// collector is a stand-in that reads OTLP by OpenTelemetry's own library.
type fakeCollector struct {
	t        *testing.T
	mu       sync.Mutex
	spans    map[string]int // by trace and span
	calls    int
	respond  func(n int) (status int, retryAfter string)
	received chan bool
}

func (c *fakeCollector) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if status, after := c.respond(c.calls); status != 200 {
		w.Header().Set("Retry-After", after)
		w.WriteHeader(status)
		return
	}
	got, err := (&ptrace.JSONUnmarshaler{}).UnmarshalTraces(body)
	if err != nil || q.Header.Get("Content-Type") != "application/json" || q.URL.Path != "/v1/traces" {
		c.t.Errorf("%v: %.200s", err, body)
	}
	for i := range got.ResourceSpans().Len() {
		spans := got.ResourceSpans().At(i).ScopeSpans().At(0).Spans()
		ids := map[string]bool{}
		for j := range spans.Len() {
			ids[spans.At(j).SpanID().String()] = true
		}
		roots := 0
		for j := range spans.Len() {
			s := spans.At(j)
			c.spans[s.TraceID().String()+s.SpanID().String()]++
			if s.EndTimestamp() < s.StartTimestamp() {
				c.t.Errorf("%v ends before it starts", s.SpanID())
			}
			if !ids[s.ParentSpanID().String()] {
				roots++
			}
		}
		if roots != 1 {
			c.t.Errorf("%d spans without a parent in the piece", roots)
		}
	}
	select {
	case c.received <- true:
	default:
	}
	io.WriteString(w, "{}")
}

func failedTrace(n byte) *trace.Trace {
	l := trace.Begin(trace.Trace{ID: trace.ID{n, 9}, Router: "n1", Class: "part", Start: 1.7e12, Weight: 1, Reasons: trace.ReasonFailed}, uint64(n))
	l.AttemptStarted(1.7e12+1, routing.SendAttempt{Server: 3, FillSource: 4})
	l.AttemptEnded(1.7e12+5, routing.ServerError, 0, routing.LoadReport{}, trace.WireTimes{WrittenAt: 1.7e12 + 2, DialedAt: 1.7e12 + 1, ConnectedAt: 1.7e12 + 2})
	l.Responded(1.7e12+6, trace.Failed)
	return l.Finished()
}

func newExporter(t *testing.T, url string, queue int, timeout float64) (*Exporter, *metrics.Registry) {
	t.Helper()
	count := metrics.New()
	x, err := New(Options{URL: url, QueueSize: queue, Timeout: timeout, Metrics: count, Log: logs.New(&bytes.Buffer{}), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return x, count
}

// What is kept reaches a collector once, also after errors that pass, and is read there
// by OpenTelemetry's library; an answer that is final drops its batch alone.
func TestExporterDeliversEachSpanOnce(t *testing.T) {
	c := &fakeCollector{t: t, spans: map[string]int{}, received: make(chan bool, 100), respond: func(n int) (int, string) {
		return []int{503, 429, 400, 200}[min(n, 4)-1], "0"
	}}
	s := httptest.NewServer(c)
	defer s.Close()
	x, count := newExporter(t, s.URL, 100, 2000)
	x.Add(failedTrace(1))
	for count.Counter("traces_not_exported").Load() == 0 { // until the 400
		time.Sleep(time.Millisecond)
	}
	remote := failedTrace(2)
	remote.ClientSpan = 0x77
	for _, p := range []*trace.Trace{remote, failedTrace(3), failedTrace(4)} {
		x.Add(p)
	}
	<-c.received
	for count.Counter("traces_exported").Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	x.Close(0)
	if len(c.spans) != 5+6+6 || count.Counter("traces_not_exported").Load() != 1 || count.Counter("export_failures").Load() != 3 {
		t.Errorf("%d spans arrived: %v", len(c.spans), count.Snapshot())
	}
	for id, n := range c.spans {
		if n != 1 {
			t.Errorf("%s came %d times", id, n)
		}
	}
}

// A collector that accepts and never answers, or is gone, holds nobody up: what does not
// fit the queue is counted at once, and the end comes within the timeout.
func TestExporterDoesNotBlockOnFailingCollector(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	for _, addr := range []string{l.Addr().String(), gone.Addr().String()} {
		x, count := newExporter(t, "http://"+addr, 10, 100)
		began := time.Now()
		for i := range 10_000 {
			x.Add(failedTrace(byte(i)))
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("%s: 10,000 traces took %v", addr, took)
		}
		x.Close(0)
		if lost := count.Counter("traces_not_exported").Load(); lost != 10_000 {
			t.Errorf("%s: %d of 10000 are told as not exported", addr, lost)
		}
	}
}

// Waits grow, stay bounded and differ from router to router.
func TestBackoffGrowsWithJitter(t *testing.T) {
	p, q := backoff{random: rand.New(rand.NewPCG(1, 3))}, backoff{random: rand.New(rand.NewPCG(2, 3))}
	last := 0.0
	for i := range 20 {
		a, b := p.next(0), q.next(0)
		if a == b || a > maxBackoff || a < last/4 || i == 0 && a > minBackoff {
			t.Errorf("%d: %v and %v ms", i, a, b)
		}
		last = a
	}
	if w := p.next(maxBackoff); w != maxBackoff {
		t.Errorf("%v ms where the collector asked for %v", w, maxBackoff)
	}
}
