package dispatch

import (
	"testing"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// longTimeout is the longest time in ms for which a client can ask to wait.
const longTimeout = 60_000

// TestEndedRequestLeavesNoTimer guards against a router that runs out of memory although its clients
// read every answer: the timers of an ended request kept it, its attempts and the channel of its
// answer in memory until its deadline, up to 60 s.
func TestEndedRequestLeavesNoTimer(t *testing.T) {
	served := func(h *testHarness, r *Request) { complete(h.Dispatcher, r.attempts[0], routing.Served) }
	for _, test := range []struct {
		name   string
		class  int
		sizeKB float64
		end    func(h *testHarness, r *Request)
	}{
		{name: "served", end: served},
		{name: "served, but announced with an absurd size", sizeKB: 1e9, end: served},
		{name: "served by a retry", end: func(h *testHarness, r *Request) {
			complete(h.Dispatcher, r.attempts[0], routing.ConnectionLost)
			h.advance(cancelTransit)
			complete(h.Dispatcher, r.attempts[1], routing.Served)
		}},
		{name: "failed", class: nonIdempotentClass, end: func(h *testHarness, r *Request) {
			complete(h.Dispatcher, r.attempts[0], routing.ServerError)
		}},
		{name: "client disconnected", end: func(h *testHarness, r *Request) {
			disconnectMessage{r}.apply(h.Dispatcher)
			complete(h.Dispatcher, r.attempts[0], routing.Canceled)
		}},
		{name: "client disconnected before a retry", end: func(h *testHarness, r *Request) {
			complete(h.Dispatcher, r.attempts[0], routing.ConnectionLost)
			disconnectMessage{r}.apply(h.Dispatcher)
			h.advance(cancelTransit)
		}},
		{name: "drained", class: nonIdempotentClass, end: func(h *testHarness, r *Request) {
			drainMessage{h.clock.Now() + 10}.apply(h.Dispatcher)
			h.advance(20)
			complete(h.Dispatcher, r.attempts[0], routing.Canceled)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, func(settings *routing.Settings) { settings.TransferKBPerSecond = 5000 })
			request := &Request{Class: test.class, Object: 1, SizeKB: test.sizeKB, Deadline: harness.clock.Now() + longTimeout,
				Transport: &harness.transport, Respond: func(Response) {}}
			submitMessage{request}.apply(harness.Dispatcher)
			test.end(harness, request)
			if open, timers := len(harness.openRequests), len(harness.timers); open != 0 || timers != 0 {
				t.Errorf("after the end of the request: got %d open requests and %d timers, want none", open, timers)
			}
		})
	}
}

// resolvingTransport ends each attempt when it is sent, as a DNS lookup does.
type resolvingTransport struct{}

func (resolvingTransport) Send(attempt *Attempt) *Completion { return Resolved(attempt) }

// TestRequestServedAtOnceLeavesNoTimer is TestEndedRequestLeavesNoTimer for requests that end before
// the decision module has asked for their timers, as DNS lookups do.
func TestRequestServedAtOnceLeavesNoTimer(t *testing.T) {
	harness := newHarness(t, nil)
	request := &Request{Object: 1, Deadline: harness.clock.Now() + longTimeout, Transport: resolvingTransport{}, Respond: func(Response) {}}
	submitMessage{request}.apply(harness.Dispatcher)
	if !request.responded || len(harness.timers) != 0 {
		t.Errorf("got response %v and %d timers, want a response and no timer", request.responded, len(harness.timers))
	}
}

// TestDrainKeepsEarlierDeadline checks that a drain brings the deadline of an open request forward,
// but never moves it back.
func TestDrainKeepsEarlierDeadline(t *testing.T) {
	for _, drainAfter := range []float64{50, 500} {
		harness := newHarness(t, nil)
		request := harness.submit(nonIdempotentClass, 100)
		drainMessage{harness.clock.Now() + drainAfter}.apply(harness.Dispatcher)
		harness.advance(min(100+responseGrace, drainAfter) - 1)
		if len(harness.responses[request]) != 0 {
			t.Errorf("drain in %v ms: got a response early, want none", drainAfter)
		}
		harness.advance(2)
		if len(harness.responses[request]) != 1 {
			t.Errorf("drain in %v ms: got %d responses, want one", drainAfter, len(harness.responses[request]))
		}
	}
}

// TestTimersFireInOrder checks that timers fire in the order of their times, and that a canceled
// timer does not fire.
func TestTimersFireInOrder(t *testing.T) {
	clk := clock.NewManual(startTime)
	dispatcher := newDispatcher(t, clk, settings())
	timers := make([]timer, 50)
	for i := range timers {
		dispatcher.timers.schedule(&timers[i], startTime+float64((i*37)%50))
	}
	for i := range timers {
		if i%3 == 0 {
			dispatcher.timers.cancel(&timers[i])
			dispatcher.timers.cancel(&timers[i]) // a second call has no effect
		}
	}
	dispatcher.timers.schedule(&timers[1], startTime+100) // moves the timer
	var last float64
	fired := 0
	for due := dispatcher.timers.popDue(startTime + 100); due != nil; due = dispatcher.timers.popDue(startTime + 100) {
		if due.at < last {
			t.Errorf("a timer of %v ms fired after one of %v ms", due.at-startTime, last-startTime)
		}
		last = due.at
		fired++
	}
	if fired != 33 || last != startTime+100 || len(dispatcher.timers) != 0 {
		t.Errorf("got %d timers fired, the last at %v ms, and %d left; want 33, 100 ms and none", fired, last-startTime, len(dispatcher.timers))
	}
}
