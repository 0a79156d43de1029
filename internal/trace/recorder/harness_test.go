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

// The classes of test requests.
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

// fakeSink stores the traces that are added, and returns one error for every call.
type fakeSink struct {
	err   error
	gate  chan bool     // Add waits until it is closed; nil: it does not wait
	added chan struct{} // one for each Add that is done

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

// waitAdded waits until so many more traces have been added.
func (s *fakeSink) waitAdded(t *testing.T, count int64) {
	t.Helper()
	timeout := time.After(testTimeout)
	for i := range count {
		select {
		case <-s.added:
		case <-timeout:
			t.Fatalf("%d traces were added within %v, want %d", i, testTimeout, count)
		}
	}
}

// harness is a running recorder with the parts that a test looks at.
type harness struct {
	*Recorder
	t     *testing.T
	sink  *fakeSink
	clock *clock.Manual
	log   *fakeserver.Output
}

// newHarness starts a recorder, which the test must shut down. Its default class has a latency
// objective of 400 ms, and clients receive 1000 bytes per second.
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

// playback is a request to be played, with attempts one after the other.
type playback struct {
	request       Request
	outcome       trace.Outcome
	attempts      int
	responseBytes int
	duration      float64 // ms, of all attempts
}

// play opens a request, plays its attempts, responds and closes it.
func (h *harness) play(played playback) *RequestTrace {
	h.t.Helper()
	class := &partClass
	if played.request.IdempotencyKey != "" {
		class = &formClass
	}
	opened := h.Open(h.clock.Now(), played.request, class)
	for range played.attempts {
		opened.AttemptStarted(h.clock.Now(), routing.SendAttempt{Server: 5, FillSource: 6})
		h.clock.Advance(played.duration / float64(played.attempts))
		opened.AttemptEnded(h.clock.Now(), routing.Served, played.responseBytes, routing.LoadReport{}, trace.WireTimes{WrittenAt: 1})
	}
	opened.Responded(h.clock.Now(), played.outcome)
	if !opened.Done() {
		h.t.Fatalf("request for object %d is not done after its response", played.request.Object)
	}
	h.Close(h.clock.Now(), opened)
	return opened
}

// counter returns the value of a counter.
func (h *harness) counter(name string) int64 { return h.Metrics.Counter(name).Load() }

// ordinaryPerSecond is a default class with a rate of ordinary traces to sample.
func ordinaryPerSecond(rate float64) sampling.Class { return sampling.Class{OrdinaryPerSecond: rate} }
