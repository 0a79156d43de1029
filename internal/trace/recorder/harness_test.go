package recorder

import (
	"sync"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fakeserver"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

const (
	startTime   = 1.7e12 // Unix ms
	testTimeout = 10 * time.Second
)

// Request classes of the tests.
var (
	partClass = routing.Class{
		Name:                    "part",
		LatencyObjective:        400 * time.Millisecond,
		ObjectiveTransferFactor: 2,
		Deadline:                4 * time.Second,
	}
	formClass = routing.Class{
		Name:             "form",
		Idempotency:      routing.IdempotentWithKey,
		Write:            true,
		LatencyObjective: 400 * time.Millisecond,
		Deadline:         4 * time.Second,
	}
)

// fakeSink stores the added traces and returns err from each call.
type fakeSink struct {
	err   error
	gate  chan bool     // if not nil, Add blocks until gate is closed
	added chan struct{} // receives a value after each Add

	mu     sync.Mutex
	traces []*trace.Trace
	closed bool
}

func (s *fakeSink) Add(t *trace.Trace) error {
	if s.gate != nil {
		<-s.gate
	}
	s.mu.Lock()
	s.traces = append(s.traces, t)
	s.mu.Unlock()
	s.added <- struct{}{}
	return s.err
}

func (s *fakeSink) Flush(float64) error { return s.err }

func (s *fakeSink) Close(float64) error {
	s.closed = true
	return s.err
}

// waitAdded waits until count traces have been added since the previous call of waitAdded.
func (s *fakeSink) waitAdded(t *testing.T, count int64) {
	t.Helper()
	timeout := time.After(testTimeout)
	for i := range count {
		select {
		case <-s.added:
		case <-timeout:
			t.Fatalf("got %d traces added within %v, want %d", i, testTimeout, count)
		}
	}
}

// harness is a running recorder with its sink, clock and log.
type harness struct {
	*Recorder
	t     *testing.T
	sink  *fakeSink
	clock *clock.Manual
	log   *fakeserver.Output
}

// newHarness starts a recorder, which the test must shut down. The default class has a latency
// objective of 400 ms, and the expected transfer rate to clients is 1000 bytes per second.
func newHarness(t *testing.T, sink *fakeSink, settings Settings) *harness {
	t.Helper()
	if settings.UndecidedBytes == 0 {
		settings.UndecidedBytes = 1 << 20
	}
	settings.DefaultClass.LatencyObjective = 400
	sink.added = make(chan struct{}, 2*queueCapacity)
	clk := clock.NewManual(startTime)
	log := &fakeserver.Output{}
	recorder := New(Options{
		Clock:                clk,
		Router:               "n1",
		Secret:               "s",
		Seed:                 7,
		Metrics:              metrics.New(),
		Log:                  logs.New(log),
		Sink:                 sink,
		ClientBytesPerSecond: func() float64 { return 1000 },
	}, settings)
	go recorder.Run()
	return &harness{Recorder: recorder, t: t, sink: sink, clock: clk, log: log}
}

// testRequest describes a request that a test records. Each attempt starts when the previous
// attempt ends.
type testRequest struct {
	request       Request
	outcome       trace.Outcome
	attempts      int
	responseBytes int
	duration      float64 // ms, total of all attempts
}

// record opens the trace of a request, records its attempts and its response, and closes the trace.
func (h *harness) record(test testRequest) *RequestTrace {
	h.t.Helper()
	class := &partClass
	if test.request.IdempotencyKey != "" {
		class = &formClass
	}
	opened := h.Open(h.clock.Now(), test.request, class)
	for range test.attempts {
		opened.AttemptStarted(h.clock.Now(), routing.SendAttempt{Server: 5, FillSource: 6})
		h.clock.Advance(test.duration / float64(test.attempts))
		opened.AttemptEnded(h.clock.Now(), routing.Served, test.responseBytes, routing.LoadReport{}, trace.WireTimes{WrittenAt: 1})
	}
	opened.Responded(h.clock.Now(), test.outcome)
	if !opened.Done() {
		h.t.Fatalf("trace of the request for object %d is not done after the response", test.request.Object)
	}
	h.Close(h.clock.Now(), opened)
	return opened
}

// counter returns the value of a counter.
func (h *harness) counter(name string) int64 { return h.Metrics.Counter(name).Load() }

// ordinaryPerSecond returns a sampling policy with the given rate of ordinary traces: traces that
// are retained for no other reason than that they were sampled.
func ordinaryPerSecond(rate float64) sampling.Class { return sampling.Class{OrdinaryPerSecond: rate} }
