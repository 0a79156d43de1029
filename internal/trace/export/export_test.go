package export

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// failedTrace returns the partial trace of a request whose only attempt failed. Its spans are
// the request, the attempt, the connection and the wait. n makes the trace ID unique.
func failedTrace(n byte) *trace.Trace {
	const start = 1.7e12
	active := trace.Begin(trace.Trace{
		ID:      trace.ID{n, 9},
		Router:  "n1",
		Class:   "part",
		Start:   start,
		Weight:  1,
		Reasons: trace.ReasonFailed,
	}, uint64(n))
	active.AttemptStarted(start+1, routing.SendAttempt{Server: 3, FillSource: 4})
	timing := trace.WireTimes{WrittenAt: start + 2, DialedAt: start + 1, ConnectedAt: start + 2}
	active.AttemptEnded(start+5, routing.ServerError, 0, routing.LoadReport{}, timing)
	active.Responded(start+6, trace.Failed)
	return active.Finished()
}

// newExporter returns an exporter and the registry of its metrics. The timeout is in ms.
func newExporter(t *testing.T, url string, queueSize int, timeout float64) (*Exporter, *metrics.Registry) {
	t.Helper()
	registry := metrics.New()
	exporter, err := New(Options{
		URL:       url,
		QueueSize: queueSize,
		Timeout:   timeout,
		Metrics:   registry,
		Log:       logs.New(&bytes.Buffer{}),
		Seed:      1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return exporter, registry
}

func addTraces(t *testing.T, exporter *Exporter, traces ...*trace.Trace) {
	t.Helper()
	for _, added := range traces {
		if err := exporter.Add(added); err != nil {
			t.Fatal(err)
		}
	}
}

func closeExporter(t *testing.T, exporter *Exporter) {
	t.Helper()
	if err := exporter.Close(0); err != nil {
		t.Fatal(err)
	}
}

func checkCounter(t *testing.T, registry *metrics.Registry, name string, want int64) {
	t.Helper()
	if got := registry.Counter(name).Load(); got != want {
		t.Errorf("counter %s: got %d, want %d", name, got, want)
	}
}

func TestNewRejectsInvalidURL(t *testing.T) {
	for _, text := range []string{"", "collector:4318", "https://collector:4318", "http://", "http://%zz"} {
		t.Run(text, func(t *testing.T) {
			if _, err := New(Options{URL: text}); !errors.Is(err, ErrInvalidURL) {
				t.Errorf("New: got error %v for URL %q, want %v", err, text, ErrInvalidURL)
			}
		})
	}
}

func TestNewCompletesURL(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"http://collector", "http://collector:80/v1/traces"},
		{"http://collector:4318", "http://collector:4318/v1/traces"},
		{"http://[::1]:4318/otlp?tenant=a", "http://[::1]:4318/otlp?tenant=a"},
	} {
		t.Run(test.text, func(t *testing.T) {
			exporter, _ := newExporter(t, test.text, 1, 100)
			closeExporter(t, exporter)
			if got := exporter.collector.String(); got != test.want {
				t.Errorf("got collector URL %s, want %s", got, test.want)
			}
		})
	}
}

// TestExporterDeliversEachSpanOnce checks that each span arrives exactly once, even if the first
// calls failed. A batch that the collector rejects permanently must not block later batches.
func TestExporterDeliversEachSpanOnce(t *testing.T) {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest}
	collector := newFakeCollector(t, func(call int) (int, string) {
		if call <= len(statuses) {
			return statuses[call-1], "0"
		}
		return http.StatusOK, ""
	})
	server := httptest.NewServer(collector)
	defer server.Close()
	exporter, registry := newExporter(t, server.URL, 100, 2000)
	addTraces(t, exporter, failedTrace(1))
	receive(t, collector.called, len(statuses)) // the last status, 400, makes the exporter drop the batch

	withClientSpan := failedTrace(2)
	withClientSpan.ClientSpan = 0x77
	addTraces(t, exporter, withClientSpan, failedTrace(3), failedTrace(4))
	receive(t, collector.stored, 3)
	closeExporter(t, exporter)

	checkCounter(t, registry, metricExported, 3)
	checkCounter(t, registry, metricNotExported, 1)
	checkCounter(t, registry, metricFailures, int64(len(statuses)))
	spans := collector.receivedSpans()
	if want := 5 + 6 + 6; len(spans) != want { // a trace with a client's span is sent without its root span
		t.Errorf("received %d spans, want %d", len(spans), want)
	}
	for id, count := range spans {
		if count != 1 {
			t.Errorf("received span %s %d times, want 1", id, count)
		}
	}
}

// listen returns the address of a listener that lets clients connect but never responds.
func listen(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// unusedAddress returns a local address on which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// A failing collector blocks neither Add nor Close. A blocked Add would delay requests, and a
// blocked Close would delay the end of the program. All lost traces are counted.
func TestExporterDoesNotBlockOnFailingCollector(t *testing.T) {
	const (
		traces     = 10_000
		maxAddTime = 5 * time.Second // for all traces together
	)
	for _, test := range []struct {
		name    string
		address string
	}{
		{"never responds", listen(t)},
		{"is down", unusedAddress(t)},
	} {
		t.Run(test.name, func(t *testing.T) {
			exporter, registry := newExporter(t, "http://"+test.address, 10, 100)
			started := time.Now()
			for i := range traces {
				addTraces(t, exporter, failedTrace(byte(i)))
			}
			if elapsed := time.Since(started); elapsed > maxAddTime {
				t.Errorf("adding %d traces took %v, want at most %v", traces, elapsed, maxAddTime)
			}
			closeExporter(t, exporter)
			checkCounter(t, registry, metricNotExported, traces)
		})
	}
}
