package export

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/collector/pdata/ptrace"
)

// receiveTimeout is how long a test waits for messages of a fakeCollector.
const receiveTimeout = 30 * time.Second

// fakeCollector is a collector that decodes OTLP with OpenTelemetry's own library.
type fakeCollector struct {
	t *testing.T
	// respond returns the HTTP status and the Retry-After header for a call. Calls are numbered
	// from 1.
	respond func(call int) (status int, retryAfter string)
	called  chan struct{} // receives a message for each call, before the response
	stored  chan struct{} // receives a message for each stored partial trace

	mutex sync.Mutex
	calls int
	spans map[string]int // how often each span was received, by trace ID and span ID
}

func newFakeCollector(t *testing.T, respond func(call int) (status int, retryAfter string)) *fakeCollector {
	t.Helper()
	const maxMessages = 100
	return &fakeCollector{
		t:       t,
		respond: respond,
		called:  make(chan struct{}, maxMessages),
		stored:  make(chan struct{}, maxMessages),
		spans:   map[string]int{},
	}
}

// ServeHTTP responds to a call with the result of respond. If the status is 200, it stores the
// spans of the call.
func (c *fakeCollector) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		c.t.Errorf("reading the request body: %v", err)
	}
	c.calls++
	c.called <- struct{}{}
	if status, retryAfter := c.respond(c.calls); status != http.StatusOK {
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(status)
		return
	}
	if got := request.Header.Get("Content-Type"); got != "application/json" {
		c.t.Errorf("got content type %q, want application/json", got)
	}
	if got := request.URL.Path; got != defaultPath {
		c.t.Errorf("got path %q, want %q", got, defaultPath)
	}
	c.storeBody(body)
	if _, err := io.WriteString(w, "{}"); err != nil {
		c.t.Errorf("writing the response: %v", err)
	}
}

// storeBody decodes the body of a call and stores its spans.
func (c *fakeCollector) storeBody(body []byte) {
	c.t.Helper()
	request, err := (&ptrace.JSONUnmarshaler{}).UnmarshalTraces(body)
	if err != nil {
		c.t.Errorf("decoding OTLP: %v in %.200s", err, body)
	}
	for _, resourceSpans := range request.ResourceSpans().All() {
		c.storeSpans(resourceSpans.ScopeSpans().At(0).Spans())
		c.stored <- struct{}{}
	}
}

// storeSpans stores the spans of one partial trace. It checks that no span ends before it
// starts. It also checks that exactly one span has its parent outside the partial trace.
func (c *fakeCollector) storeSpans(spans ptrace.SpanSlice) {
	c.t.Helper()
	ids := map[string]bool{}
	for _, span := range spans.All() {
		ids[span.SpanID().String()] = true
	}
	roots := 0
	for _, span := range spans.All() {
		c.spans[span.TraceID().String()+span.SpanID().String()]++
		if span.EndTimestamp() < span.StartTimestamp() {
			c.t.Errorf("span %v ends before it starts", span.SpanID())
		}
		if !ids[span.ParentSpanID().String()] {
			roots++
		}
	}
	if roots != 1 {
		c.t.Errorf("got %d spans whose parent is outside the partial trace, want 1", roots)
	}
}

// receivedSpans returns how often each span was received, by trace ID and span ID.
func (c *fakeCollector) receivedSpans() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.spans)
}

// receive receives the given number of messages. It fails the test if they do not arrive within
// receiveTimeout.
func receive(t *testing.T, messages <-chan struct{}, count int) {
	t.Helper()
	timeout := time.After(receiveTimeout)
	for i := range count {
		select {
		case <-messages:
		case <-timeout:
			t.Fatalf("received %d messages within %v, want %d", i, receiveTimeout, count)
		}
	}
}
