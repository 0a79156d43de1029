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
type sink struct {
	mu     sync.Mutex
	kept   []*trace.Trace
	err    error
	gate   chan bool // nil: open
	closed bool
}

func (s *sink) Add(t *trace.Trace) error {
	if s.gate != nil {
		<-s.gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = append(s.kept, t)
	return s.err
}
func (s *sink) Flush(float64) error { return s.err }
func (s *sink) Close(float64) error { s.closed = true; return s.err }

var classes = []routing.Class{{Name: "part", LatencyObjective: 400 * time.Millisecond, ObjectiveTransferFactor: 2, Deadline: 4 * time.Second},
	{Name: "form", Idempotency: routing.IdempotentWithKey, Write: true, LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second}}

func newRecorder(s *sink, set Settings) (*Recorder, *clock.Manual, *metrics.Registry, *fakeserver.Output) {
	clk, count, out := clock.NewManual(1.7e12), metrics.New(), &fakeserver.Output{}
	if set.Undecided == 0 {
		set.Undecided = 1 << 20
	}
	set.Other = sampling.Class{Wanted: 400, Ordinary: set.Other.Ordinary}
	r := New(Options{Clock: clk, Router: "n1", Secret: "s", Seed: 7, Stats: count, Log: logs.New(out), Sink: s,
		Pace: func() float64 { return 1000 }}, set)
	return r, clk, count, out
}

// pass plays a request of so many attempts.
func pass(r *Recorder, clk *clock.Manual, q Asked, o trace.Outcome, attempts, bytes int, took float64) *Trail {
	class := 0
	if q.Key != "" {
		class = 1
	}
	t := r.Open(clk.Now(), q, &classes[class])
	for range attempts {
		t.AttemptStarted(clk.Now(), routing.SendAttempt{Server: 5, FillSource: 6})
		clk.Advance(took / float64(attempts))
		t.AttemptEnded(clk.Now(), routing.Served, bytes, routing.LoadReport{}, trace.Wire{Wrote: 1})
	}
	t.Responded(clk.Now(), o)
	if t.Done() {
		r.Close(clk.Now(), t)
	}
	return t
}

// An answer that is late against the aim of its class is slow, but one whose bytes
// allow it is not; what is ordinary waits for its draw.
func TestSlowGoesByTheBytes(t *testing.T) {
	s := &sink{}
	r, clk, _, _ := newRecorder(s, Settings{Other: sampling.Class{Ordinary: 5}})
	go r.Run()
	pass(r, clk, Asked{Object: 1}, trace.Served, 1, 0, 450)
	pass(r, clk, Asked{Object: 2}, trace.Served, 1, 100, 450) // 100 ms of sending, and twice that
	pass(r, clk, Asked{Object: 3}, trace.Failed, 0, 0, 0)
	pass(r, clk, Asked{Object: 4}, trace.Served, 2, 0, 10)
	r.Finish()
	whys := map[uint64]trace.Why{}
	for _, k := range s.kept {
		whys[k.Object] |= k.Why
	}
	for o, want := range map[uint64]trace.Why{1: trace.WhySlow, 2: trace.WhyChance, 3: trace.WhyFailed, 4: trace.WhyRetried} {
		if got := whys[r.link.Hide(o)]; got != want {
			t.Errorf("object %d is kept for %b, want %b", o, got, want)
		}
	}
	if !s.closed {
		t.Error("the sink was not closed")
	}
}

// A sink that stands still, and one that fails, hold nothing up: what cannot be taken is
// lost, counted and told by the next trace; errors are logged at ever fewer steps.
func TestSinkThatFails(t *testing.T) {
	s := &sink{gate: make(chan bool), err: errors.New("disk full")}
	r, clk, count, out := newRecorder(s, Settings{})
	go r.Run()
	const n = mailbox + 200
	for i := range n {
		pass(r, clk, Asked{Object: routing.ObjectID(i + 1)}, trace.Failed, 1, 0, 1)
	}
	missed := count.Counter("traces_not_taken").Load()
	if missed < n-mailbox-2 || missed > n-mailbox {
		t.Errorf("%d were not taken of %d", missed, n)
	}
	close(s.gate)
	for len(r.box) > 0 { // the actor takes what waits
		time.Sleep(time.Millisecond)
	}
	pass(r, clk, Asked{Object: 9}, trace.Failed, 1, 0, 1)
	r.Finish()
	if last := s.kept[len(s.kept)-1]; int64(last.Lost) != missed || int64(len(s.kept)) != n-missed+1 {
		t.Errorf("the next one tells of %d, %d are kept", last.Lost, len(s.kept))
	}
	if n := strings.Count(out.String(), "disk full"); n < 5 || n > 14 {
		t.Errorf("%d lines for over a thousand failures", n)
	}
}

// Where there is no room for spans a request is followed blindly: what had to be kept
// is counted, and an attempt that is out when its client leaves is waited for.
func TestNoRoom(t *testing.T) {
	s := &sink{}
	r, clk, count, _ := newRecorder(s, Settings{Undecided: 2*openSize + 10, RetryWithin: 1000})
	go r.Run()
	first := Asked{Client: "1.1.1.1"}
	open := []*Trail{r.Open(clk.Now(), first, &classes[0]), r.Open(clk.Now(), Asked{}, &classes[0])}
	for range 3 {
		if x := pass(r, clk, Asked{Object: 8}, trace.Refused, 2, 0, 5); len(x.Spans) > 1 {
			t.Errorf("%d spans without room", len(x.Spans))
		}
	}
	open[0].AttemptStarted(clk.Now(), routing.SendAttempt{Server: 1})
	open[0].Responded(clk.Now(), trace.Left)
	if open[0].Done() {
		t.Error("done with an attempt out")
	}
	if again := r.link.Tie(clk.Now(), propagation.Ask{Class: "part", Client: "1.1.1.1"}); again.ID != open[0].ID {
		t.Error("a client that comes again while an attempt is out is not known")
	}
	open[0].AttemptEnded(clk.Now(), routing.Canceled, 0, routing.LoadReport{}, trace.Wire{})
	r.Close(clk.Now(), open[0])
	r.Finish()
	if len(s.kept) != 1 || s.kept[0].Lost != 3 || count.Counter("traces_without_room").Load() != 3 {
		t.Errorf("%+v", s.kept)
	}
}

// Keyed requests are all kept, their two tries at two routers under one trace, and
// other settings hold from the next request on.
func TestKeyedAndAdopt(t *testing.T) {
	s := &sink{}
	r, clk, _, _ := newRecorder(s, Settings{Classes: map[string]sampling.Class{"form": {All: true}}, Sampled: true})
	go r.Run()
	q := func(client string) Asked {
		return Asked{Key: "secretkey", Object: 5, Came: 1.7e12, Client: client}
	}
	pass(r, clk, q("1.1.1.1"), trace.Served, 1, 0, 1)
	pass(r, clk, q("2.2.2.2"), trace.Served, 1, 0, 1)
	asked := Asked{Object: 6, Came: 1.7e12, Parent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}
	pass(r, clk, asked, trace.Served, 1, 0, 1)
	r.Adopt(Settings{Undecided: 1 << 20})
	pass(r, clk, asked, trace.Served, 1, 0, 1)
	r.Finish()
	if len(s.kept) != 3 || s.kept[0].ID != s.kept[1].ID || s.kept[0].Why != trace.WhyKeyed || s.kept[2].Why != trace.WhyAsked || s.kept[2].Remote == 0 {
		t.Errorf("%d kept: %+v", len(s.kept), s.kept)
	}
	if text := fmt.Sprintf("%+v", s.kept); strings.Contains(text, "secretkey") {
		t.Error("a key stands in a trace")
	}
}
