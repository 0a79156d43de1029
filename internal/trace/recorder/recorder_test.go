package recorder

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fakeserver"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/internal/trace/propagation"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

// sink keeps what it is given, or fails.
type fakeSink struct {
	mu     sync.Mutex
	traces []*trace.Trace
	err    error
	gate   chan bool // nil: open
	closed bool
}

func (s *fakeSink) Add(t *trace.Trace) error {
	if s.gate != nil {
		<-s.gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.traces = append(s.traces, t)
	return s.err
}
func (s *fakeSink) Flush(float64) error { return s.err }
func (s *fakeSink) Close(float64) error { s.closed = true; return s.err }

var classes = []routing.Class{{Name: "part", LatencyObjective: 400 * time.Millisecond, ObjectiveTransferFactor: 2, Deadline: 4 * time.Second},
	{Name: "form", Idempotency: routing.IdempotentWithKey, Write: true, LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second}}

func newRecorder(s *fakeSink, set Settings) (*Recorder, *clock.Manual, *metrics.Registry, *fakeserver.Output) {
	clk, count, out := clock.NewManual(1.7e12), metrics.New(), &fakeserver.Output{}
	if set.UndecidedBytes == 0 {
		set.UndecidedBytes = 1 << 20
	}
	set.DefaultClass = sampling.Class{LatencyObjective: 400, OrdinaryPerSecond: set.DefaultClass.OrdinaryPerSecond}
	r := New(Options{Clock: clk, Router: "n1", Secret: "s", Seed: 7, Metrics: count, Log: logs.New(out), Sink: s,
		ClientBytesPerSecond: func() float64 { return 1000 }}, set)
	return r, clk, count, out
}

// pass plays a request of so many attempts.
func playRequest(r *Recorder, clk *clock.Manual, q Request, o trace.Outcome, attempts, bytes int, took float64) *RequestTrace {
	class := 0
	if q.IdempotencyKey != "" {
		class = 1
	}
	t := r.Open(clk.Now(), q, &classes[class])
	for range attempts {
		t.AttemptStarted(clk.Now(), routing.SendAttempt{Server: 5, FillSource: 6})
		clk.Advance(took / float64(attempts))
		t.AttemptEnded(clk.Now(), routing.Served, bytes, routing.LoadReport{}, trace.WireTimes{WrittenAt: 1})
	}
	t.Responded(clk.Now(), o)
	if t.Done() {
		r.Close(clk.Now(), t)
	}
	return t
}

// An answer that is late against the aim of its class is slow, but one whose bytes
// allow it is not; what is ordinary waits for its draw.
func TestSlowAllowsForResponseSize(t *testing.T) {
	s := &fakeSink{}
	r, clk, _, _ := newRecorder(s, Settings{DefaultClass: sampling.Class{OrdinaryPerSecond: 5}})
	go r.Run()
	playRequest(r, clk, Request{Object: 1}, trace.Served, 1, 0, 450)
	playRequest(r, clk, Request{Object: 2}, trace.Served, 1, 100, 450) // 100 ms of sending, and twice that
	playRequest(r, clk, Request{Object: 3}, trace.Failed, 0, 0, 0)
	playRequest(r, clk, Request{Object: 4}, trace.Served, 2, 0, 10)
	r.Shutdown()
	whys := map[uint64]trace.Reason{}
	for _, k := range s.traces {
		whys[k.Object] |= k.Reasons
	}
	for o, want := range map[uint64]trace.Reason{1: trace.ReasonSlow, 2: trace.ReasonSampled, 3: trace.ReasonFailed, 4: trace.ReasonRetried} {
		if got := whys[r.correlator.HashObject(o)]; got != want {
			t.Errorf("object %d is kept for %b, want %b", o, got, want)
		}
	}
	if !s.closed {
		t.Error("the sink was not closed")
	}
}

// A sink that stands still, and one that fails, hold nothing up: what cannot be taken is
// lost, counted and told by the next trace; errors are logged at ever fewer steps.
func TestBlockedSinkLosesAndCountsTraces(t *testing.T) {
	s := &fakeSink{gate: make(chan bool), err: errors.New("disk full")}
	r, clk, count, out := newRecorder(s, Settings{})
	go r.Run()
	const n = queueCapacity + 200
	for i := range n {
		playRequest(r, clk, Request{Object: routing.ObjectID(i + 1)}, trace.Failed, 1, 0, 1)
	}
	missed := count.Counter("traces_not_taken").Load()
	if missed < n-queueCapacity-2 || missed > n-queueCapacity {
		t.Errorf("%d were not taken of %d", missed, n)
	}
	close(s.gate)
	for len(r.retained) > 0 { // the actor takes what waits
		time.Sleep(time.Millisecond)
	}
	playRequest(r, clk, Request{Object: 9}, trace.Failed, 1, 0, 1)
	r.Shutdown()
	if last := s.traces[len(s.traces)-1]; int64(last.LostBefore) != missed || int64(len(s.traces)) != n-missed+1 {
		t.Errorf("the next one tells of %d, %d are kept", last.LostBefore, len(s.traces))
	}
	if n := strings.Count(out.String(), "disk full"); n < 5 || n > 14 {
		t.Errorf("%d lines for over a thousand failures", n)
	}
}

// Where there is no room for spans a request is followed blindly: what had to be kept
// is counted, and an attempt that is out when its client leaves is waited for.
func TestRequestsWithoutMemoryAreCounted(t *testing.T) {
	s := &fakeSink{}
	r, clk, count, _ := newRecorder(s, Settings{UndecidedBytes: 2*reservedBytes + 10, RetryWindow: 1000})
	go r.Run()
	first := Request{ClientAddress: "1.1.1.1"}
	open := []*RequestTrace{r.Open(clk.Now(), first, &classes[0]), r.Open(clk.Now(), Request{}, &classes[0])}
	for range 3 {
		if x := playRequest(r, clk, Request{Object: 8}, trace.Rejected, 2, 0, 5); len(x.Spans) > 1 {
			t.Errorf("%d spans without room", len(x.Spans))
		}
	}
	open[0].AttemptStarted(clk.Now(), routing.SendAttempt{Server: 1})
	open[0].Responded(clk.Now(), trace.ClientDisconnected)
	if open[0].Done() {
		t.Error("done with an attempt out")
	}
	if again := r.correlator.Correlate(clk.Now(), propagation.Request{Class: "part", ClientAddress: "1.1.1.1"}); again.ID != open[0].ID {
		t.Error("a client that comes again while an attempt is out is not known")
	}
	open[0].AttemptEnded(clk.Now(), routing.Canceled, 0, routing.LoadReport{}, trace.WireTimes{})
	r.Close(clk.Now(), open[0])
	r.Shutdown()
	if len(s.traces) != 1 || s.traces[0].LostBefore != 3 || count.Counter("traces_without_room").Load() != 3 {
		t.Errorf("%+v", s.traces)
	}
}

// Keyed requests are all kept, their two tries at two routers under one trace, and
// other settings hold from the next request on.
func TestIdempotentTracesAndNewSettings(t *testing.T) {
	s := &fakeSink{}
	r, clk, _, _ := newRecorder(s, Settings{Classes: map[string]sampling.Class{"form": {RetainAll: true}}, RetainClientSampled: true})
	go r.Run()
	q := func(client string) Request {
		return Request{IdempotencyKey: "secretkey", Object: 5, ReceivedAt: 1.7e12, ClientAddress: client}
	}
	playRequest(r, clk, q("1.1.1.1"), trace.Served, 1, 0, 1)
	playRequest(r, clk, q("2.2.2.2"), trace.Served, 1, 0, 1)
	asked := Request{Object: 6, ReceivedAt: 1.7e12, TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}
	playRequest(r, clk, asked, trace.Served, 1, 0, 1)
	r.UpdateSettings(Settings{UndecidedBytes: 1 << 20})
	playRequest(r, clk, asked, trace.Served, 1, 0, 1)
	r.Shutdown()
	if len(s.traces) != 3 || s.traces[0].ID != s.traces[1].ID || s.traces[0].Reasons != trace.ReasonIdempotent || s.traces[2].Reasons != trace.ReasonClientSampled || s.traces[2].ClientSpan == 0 {
		t.Errorf("%d kept: %+v", len(s.traces), s.traces)
	}
	if text := fmt.Sprintf("%+v", s.traces); strings.Contains(text, "secretkey") {
		t.Error("a key stands in a trace")
	}
}
