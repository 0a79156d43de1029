package propagation

import (
	"strings"
	"testing"

	"garnetline/internal/trace"
)

const (
	clientTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	clientTraceID     = "4bf92f3577b34da6a3ce929d0e0e4736"
	clientSpan        = 0xf067aa0ba902b7
	retryWindow       = 1000.0 // ms
)

// chunkRequest returns a request without a traceparent and without an idempotency key.
func chunkRequest() Request {
	return Request{ClientAddress: "1.1.1.1", Class: "part", Object: 7, Chunk: 3}
}

// newCorrelatorWithUnserved returns a correlator that has recorded one unserved request. The
// request is a chunkRequest that ended at 10 ms. The second result is the correlation of this
// request.
func newCorrelatorWithUnserved(t *testing.T) (*Correlator, Correlation) {
	t.Helper()
	correlator := New("s", retryWindow, 1)
	first := correlator.Correlate(0, chunkRequest())
	if first.ID == (trace.ID{}) || first.Retry != 0 {
		t.Fatalf("first request: got trace %v and retry %d, want a new trace and 0", first.ID, first.Retry)
	}
	correlator.RequestEnded(10, first, false)
	return correlator, first
}

// The client's traceparent takes precedence over an idempotency key.
func TestTraceparentTakesPrecedence(t *testing.T) {
	got := New("s", retryWindow, 1).Correlate(0, Request{TraceParent: clientTraceparent, IdempotencyKey: "k"})
	if got.ID.String() != clientTraceID || got.ClientSpan != clientSpan || !got.ClientSampled || got.Retry != 0 {
		t.Errorf("got %+v, want the client's trace and span, sampled, and retry 0", got)
	}
}

// A traceparent whose trace ID is zero is ignored.
func TestZeroTraceparentBeginsNewTrace(t *testing.T) {
	zero := "00-" + strings.Repeat("0", 32) + clientTraceparent[35:]
	got := New("s", retryWindow, 1).Correlate(0, Request{TraceParent: zero})
	if got.ID == (trace.ID{}) || got.ClientSpan != 0 {
		t.Errorf("got %+v, want a new trace and no client span", got)
	}
}

// All routers with the same secret derive the same trace ID from an idempotency key, and the trace
// ID does not disclose the key.
func TestIdempotencyKeyHasOneTraceAtAllRouters(t *testing.T) {
	const key = "secret-key"
	first := New("s", retryWindow, 1).Correlate(0, Request{IdempotencyKey: key, ClientAddress: "1.1.1.1"})
	second := New("s", retryWindow, 2).Correlate(5e6, Request{IdempotencyKey: key, ClientAddress: "2.2.2.2"})
	if first.ID != second.ID || first.ID == (trace.ID{}) {
		t.Errorf("got traces %v and %v for one key, want equal and nonzero trace IDs", first.ID, second.ID)
	}
	if strings.Contains(string(first.ID[:]), "secret") {
		t.Errorf("trace ID %q discloses the idempotency key", first.ID[:])
	}
	if other := New("other", retryWindow, 1).Correlate(0, Request{IdempotencyKey: key}); other.ID == first.ID {
		t.Errorf("got trace %v for one key with each of two secrets, want different traces", other.ID)
	}
}

// A request joins the trace of an unserved request as a retry if it arrives within the retry window
// and has the same client, object, chunk and class.
func TestRetryJoinsTraceWithinWindow(t *testing.T) {
	correlator, first := newCorrelatorWithUnserved(t)
	if got := correlator.Correlate(10+retryWindow, chunkRequest()); got.ID != first.ID || got.Retry != 1 {
		t.Errorf("got trace %v and retry %d, want %v and 1", got.ID, got.Retry, first.ID)
	}
	if got := correlator.Correlate(11+retryWindow, chunkRequest()); got.ID == first.ID || got.Retry != 0 {
		t.Errorf("got trace %v and retry %d after the retry window, want a new trace and 0", got.ID, got.Retry)
	}
}

// A request is not a retry of an earlier request that has not ended yet, even if both have the same
// client, object, chunk and class.
func TestConcurrentRequestIsNoRetry(t *testing.T) {
	correlator := New("s", retryWindow, 1)
	first := correlator.Correlate(0, chunkRequest())
	if got := correlator.Correlate(1, chunkRequest()); got.ID == first.ID {
		t.Errorf("got trace %v, want a new trace while the first request is open", got.ID)
	}
}

// A request is not a retry of an earlier request that was served, even if both have the same client,
// object, chunk and class.
func TestRequestAfterServedOneIsNoRetry(t *testing.T) {
	correlator, first := newCorrelatorWithUnserved(t)
	correlator.RequestEnded(1012, first, false)
	correlator.RequestEnded(1013, first, true)
	if got := correlator.Correlate(1014, chunkRequest()); got.ID == first.ID {
		t.Errorf("got trace %v, want a new trace after the first request was served", got.ID)
	}
}

// A request is a retry only if its client, chunk, class and object equal those of the unserved
// request.
func TestDifferentRequestIsNoRetry(t *testing.T) {
	tests := map[string]func(*Request){
		"client": func(r *Request) { r.ClientAddress = "1.1.1.2" },
		"chunk":  func(r *Request) { r.Chunk = 4 },
		"class":  func(r *Request) { r.Class = "sheet" },
		"object": func(r *Request) { r.Object = 8 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			correlator, first := newCorrelatorWithUnserved(t)
			request := chunkRequest()
			change(&request)
			if got := correlator.Correlate(11, request); got.ID == first.ID || got.Retry != 0 {
				t.Errorf("got trace %v and retry %d, want a new trace and 0", got.ID, got.Retry)
			}
		})
	}
}

// The table of unserved requests holds at most two generations of generationCapacity requests
// each.
func TestUnservedTableIsBounded(t *testing.T) {
	const limit = 2 * generationCapacity
	correlator := New("", 1e9, 1)
	for i := range 5 * generationCapacity {
		now := float64(i)
		correlation := correlator.Correlate(now, Request{ClientAddress: "c", Object: uint64(i)})
		correlator.RequestEnded(now, correlation, false)
	}
	table := &correlator.unserved
	if got := len(table.current) + len(table.previous); got > limit {
		t.Errorf("got %d unserved requests in the table, want at most %d", got, limit)
	}
}
