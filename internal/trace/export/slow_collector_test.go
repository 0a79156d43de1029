package export

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestSlowCollectorGetsEachBatchFewTimes guards against a collector that always needs longer than the
// timeout: it got the same batch again and again, and no trace ever counted as exported.
func TestSlowCollectorGetsEachBatchFewTimes(t *testing.T) {
	const timeout, needed = 100.0, 250 * time.Millisecond
	var calls atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, request.Body)
		select {
		case <-time.After(needed):
		case <-request.Context().Done():
		}
	}))
	defer collector.Close()
	exporter, registry := newExporter(t, collector.URL, 10, timeout)
	for number := byte(1); number <= 2; number++ {
		addTraces(t, exporter, failedTrace(number))
		deadline := time.Now().Add(receiveTimeout)
		for registry.Counter(metricExported).Load() < int64(number) {
			if time.Now().After(deadline) {
				t.Fatalf("trace %d not exported, %d calls", number, calls.Load())
			}
			time.Sleep(time.Millisecond)
		}
	}
	if got := calls.Load(); got > 4 {
		t.Errorf("got %d calls for two batches, want at most 4: the first batch at most 3 times, the second once", got)
	}
	closeExporter(t, exporter)
}

// TestCloseEndsSlowCall checks that a call whose timeout has grown does not delay Close.
func TestCloseEndsSlowCall(t *testing.T) {
	called, released := make(chan struct{}, 10), make(chan struct{})
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		called <- struct{}{}
		_, _ = io.Copy(io.Discard, request.Body)
		<-released
	}))
	defer collector.Close()
	defer close(released)
	exporter, registry := newExporter(t, collector.URL, 10, 50)
	addTraces(t, exporter, failedTrace(1))
	for range 5 { // the fifth call has a timeout of 800 ms
		<-called
	}
	start := time.Now()
	closeExporter(t, exporter)
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Errorf("closing took %v, want 50 ms for the call in progress and at most 100 ms for the last one", took)
	}
	checkCounter(t, registry, metricNotExported, 1)
}
