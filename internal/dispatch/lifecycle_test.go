package dispatch

import (
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// hangingTransport is a carrier that takes every attempt and says nothing more of it.
type hangingTransport struct {
	sent     []*Attempt
	canceled []*Attempt
}

func (h *hangingTransport) Send(a *Attempt) *Completion { h.sent = append(h.sent, a); return nil }
func (h *hangingTransport) Cancel(a *Attempt)           { h.canceled = append(h.canceled, a) }
func (h *hangingTransport) Release(*Attempt)            {}

// harness is a core that is stepped by hand, on a set clock, before caches that hang.
type harness struct {
	*Dispatcher
	clock     *clock.Manual
	transport hangingTransport
	responses map[*Request][]Response
}

func newHarness(t *testing.T, change func(*routing.Settings)) *harness {
	t.Helper()
	set := settings()
	if change != nil {
		change(&set)
	}
	clk := clock.NewManual(startTime)
	c, err := New(clk, set, 1, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	c.handleMessage(endpointList())
	return &harness{Dispatcher: c, clock: clk, responses: map[*Request][]Response{}}
}

// submit takes a request whose client waits for so many ms.
func (b *harness) submit(class int, ms float64) *Request {
	r := &Request{Class: class, Object: 7, Deadline: b.clock.Now() + ms, Transport: &b.transport}
	r.Respond = func(a Response) { b.responses[r] = append(b.responses[r], a) }
	b.handleMessage(r)
	return r
}

func (b *harness) advance(ms float64) {
	for range int(ms) {
		b.clock.Advance(1)
		b.fireTimers()
	}
}

// Guards against an answer after the client of a very short request has given up: the
// core's own wait for the module does not count from the same few milliseconds.
func TestShortDeadline(t *testing.T) {
	for _, ms := range []float64{20, 45, 180, 1480} {
		b := newHarness(t, nil)
		r := b.submit(0, ms)
		b.advance(ms + 1 + ms*responseGraceShare)
		if len(b.responses[r]) != 1 {
			t.Errorf("%v ms: no answer %v ms after", ms, 1+ms*responseGraceShare)
		}
	}
}

// Guards against requests that wait for a cache that hangs until the process is killed: all
// that is open, or comes yet, has its answer by the time that is set.
func TestDrainBy(t *testing.T) {
	b := newHarness(t, nil)
	open := b.submit(0, 6000)
	b.DrainBy(b.clock.Now() + 500)
	b.handleMessage(<-b.Dispatcher.mailbox)
	late := b.submit(2, 6000)
	b.advance(499)
	if len(b.responses) > 0 {
		t.Fatal("answered before the end")
	}
	b.advance(10)
	for _, r := range []*Request{open, late} {
		if a := b.responses[r]; len(a) != 1 || a[0].Kind != Failed {
			t.Errorf("at the end: %+v", a)
		}
	}
	if len(b.transport.canceled) != 2 {
		t.Errorf("%d attempts were given up", len(b.transport.canceled))
	}
	// What was never sent on is harmless to retry, and says so.
	b = newHarness(t, nil)
	r := b.submit(0, 6000)
	for len(b.transport.sent) > 0 {
		a := b.transport.sent[0]
		b.transport.sent = b.transport.sent[1:]
		b.handleMessage(*Unsent(a, routing.ConnectFailed))
	}
	if a := b.responses[r]; len(a) != 1 || a[0].Kind != Rejected {
		t.Errorf("never sent on: %+v", a)
	}
}

// Guards against a repeat that is written after the window of its key, since it waited for
// a connection, and against any repeat of what must not run twice.
func TestRetryForbidden(t *testing.T) {
	b := newHarness(t, nil)
	r := b.submit(1, 3000)
	first := b.transport.sent[0]
	b.advance(300)
	b.handleMessage(Completion{Attempt: first, Result: routing.ConnectionLost, Load: UnknownLoad()})
	b.advance(cancelTransit)
	if len(b.transport.sent) != 2 {
		t.Fatalf("%d attempts", len(b.transport.sent))
	}
	if a := b.transport.sent[1]; first.SendDeadline != 0 || a.SendDeadline != startTime+1000 {
		t.Errorf("the repeat may be written until %v, want 1000", a.SendDeadline-startTime)
	}
	// Whatever the module asks for.
	for class, want := range map[int]bool{0: false, 1: true, 2: true} {
		r := &Request{Class: class, attempts: []*Attempt{{sentAt: startTime, ended: true}}}
		a := &Attempt{Request: r, Class: &b.settings.Classes[class], sentAt: startTime + 1000}
		if got := b.retryForbidden(r, a); got != want {
			t.Errorf("class %d: barred %v", class, got)
		}
		if r.attempts[0].notExecuted = true; b.retryForbidden(r, a) {
			t.Errorf("class %d: barred though nothing ran", class)
		}
	}
	if len(b.responses[r]) > 0 {
		t.Error("answered while a repeat is out")
	}
}

// Guards against work for nobody: a request whose client left between attempts, or while it
// waited in the module, is not sent on though the core has not heard of it yet.
func TestDisconnectedClientIsNotForwarded(t *testing.T) {
	b := newHarness(t, nil)
	r := b.submit(0, 6000)
	b.Disconnect(r) // it is in the mailbox, behind the end of the attempt
	b.handleMessage(Completion{Attempt: b.transport.sent[0], Result: routing.ServerError, Load: UnknownLoad()})
	if len(b.transport.sent) != 1 {
		t.Errorf("%d attempts for a client that has left", len(b.transport.sent))
	}
	b.handleMessage(<-b.Dispatcher.mailbox)
	if n := b.metrics.Counter("clients_gone_waiting").Load(); n > 1 || len(b.openRequests) != 0 {
		t.Errorf("%d left while they waited, %d are open", n, len(b.openRequests))
	}

	// Held in the module: caches that refuse make requests wait.
	b = newHarness(t, func(s *routing.Settings) {
		s.TransferKBPerSecond, s.WeightIsCapacity, s.RoutersByZone, s.Classes[0].ObjectiveTransferFactor = 1000, true, []int{8}, 4
	})
	var held []*Request
	for i := range 40 {
		r := b.submit(0, 6000)
		if r.Object = routing.ObjectID(i + 1); len(r.attempts) == 0 && len(b.responses[r]) == 0 {
			held = append(held, r)
		}
	}
	if len(held) == 0 {
		t.Fatal("none waits in the module")
	}
	for _, r := range held {
		b.Disconnect(r)
	}
	before := len(b.transport.sent)
	for range held {
		b.handleMessage(<-b.Dispatcher.mailbox)
	}
	for _, a := range b.transport.sent[:before] {
		b.handleMessage(Completion{Attempt: a, Result: routing.Served, Response: Response{Kind: Served}, Load: UnknownLoad()})
	}
	b.advance(300)
	for _, a := range b.transport.sent {
		for _, r := range held {
			if a.Request == r {
				t.Error("sent on for a client that left while it waited")
			}
		}
	}
	if got := b.metrics.Counter("clients_gone_waiting").Load(); got != int64(len(held)) {
		t.Errorf("%d are counted, want %d", got, len(held))
	}
}

// Guards against a wall clock that is set while the router runs: what the change log tells by
// it, of a purge and of a server's start, is as old as it was.
func TestWallClockStep(t *testing.T) {
	for _, by := range []float64{-3_600_000, 0, 3_600_000} {
		b := newHarness(t, nil)
		b.clock.StepWallClock(by)
		b.handleMessage(platformconfig.WatchEvent{Purge: &platformconfig.Purge{Object: 7, At: startTime + by - 50}})
		b.submit(0, 1480)
		if a := b.transport.sent; len(a) != 1 || a[0].Decision.MaxAge != 50*time.Millisecond {
			t.Errorf("set by %v ms: %d sent, copies of %v will do", by, len(a), a[0].Decision.MaxAge)
		}
		l := b.membershipChange(platformconfig.WatchEvent{Endpoints: []platformconfig.Endpoint{{Server: routing.Server{StartedAt: clock.Duration(startTime + by - 50)}}, {}}}).Servers
		if l[0].StartedAt != clock.Duration(startTime-50) || l[1].StartedAt != 0 {
			t.Errorf("set by %v ms: %v", by, l)
		}
	}
}

// Guards against a request that is out twice: what is sent on at once overtakes the cancel,
// or the end of the connection, by which the attempt before was given up.
func TestRetryWaitsForCancelTransit(t *testing.T) {
	for _, res := range []routing.Result{routing.Canceled, routing.ConnectionLost} {
		b := newHarness(t, nil)
		r := b.submit(0, 1480)
		if res == routing.Canceled {
			b.cancelAttempt(r.attempts[0], routing.Canceled)
		}
		b.handleMessage(Completion{Attempt: r.attempts[0], Result: res})
		b.advance(cancelTransit - 1)
		if len(b.transport.sent) != 1 {
			t.Fatalf("%v: sent on within %v ms", res, cancelTransit-1)
		}
		b.advance(1)
		if len(b.transport.sent) != 2 {
			t.Errorf("%v: %d sent after %v ms, want the next one", res, len(b.transport.sent), cancelTransit)
		}
	}
	b := newHarness(t, nil) // its client leaves meanwhile: nothing is sent on
	r := b.submit(0, 1480)
	b.handleMessage(Completion{Attempt: r.attempts[0], Result: routing.ConnectionLost})
	b.Disconnect(r)
	b.handleMessage(disconnectMessage{r})
	b.advance(2 * cancelTransit)
	if len(b.transport.sent) != 1 || !r.attempts[0].ended || len(b.openRequests) != 0 {
		t.Errorf("%d sent for a client that left, ended %v, %d open", len(b.transport.sent), r.attempts[0].ended, len(b.openRequests))
	}
}

// Guards against an answer that is held back for the way of a cancel when nothing can be sent
// on any more: at the attempt's end the client is told at once that a retry is harmless.
func TestExpiredAttemptCompletesAtOnce(t *testing.T) {
	b := newHarness(t, nil)
	r := b.submit(0, 1480)
	b.advance(1480)
	if len(b.transport.canceled) != 1 {
		t.Fatalf("%d attempts were given up at the end", len(b.transport.canceled))
	}
	b.handleMessage(Completion{Attempt: r.attempts[0], Result: routing.Canceled, Load: UnknownLoad()})
	if a := b.responses[r]; len(a) != 1 || a[0].Kind != Rejected {
		t.Errorf("answered %+v, want a refusal at once", a)
	}
}

// Guards against a repeat after a window of keys, or more attempts, than the settings allow by
// now: what is reloaded under an open request holds for its next attempt.
func TestReloadShortensKeyWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*routing.Settings)
		sent   int
		sendBy float64
	}{
		{"not shortened", func(*routing.Settings) {}, 2, startTime + 1000},
		{"shorter, not over", func(s *routing.Settings) { s.Classes[1].KeyWindow = 400 * time.Millisecond }, 2, startTime + 400},
		{"shorter, over", func(s *routing.Settings) { s.Classes[1].KeyWindow = 200 * time.Millisecond }, 1, 0},
		{"one attempt", func(s *routing.Settings) { s.MaxAttempts = 1 }, 1, 0},
	} {
		b := newHarness(t, nil)
		r := b.submit(1, 3000)
		next := settings()
		c.change(&next)
		b.Reload(next)
		b.handleMessage(<-b.Dispatcher.mailbox)
		b.advance(300)
		b.handleMessage(Completion{Attempt: b.transport.sent[0], Result: routing.ServerError, Load: UnknownLoad()})
		b.advance(100)
		if last := b.transport.sent[len(b.transport.sent)-1]; len(b.transport.sent) != c.sent || last.SendDeadline != c.sendBy {
			t.Errorf("%s: %d sent, the last to be written by %v", c.name, len(b.transport.sent), last.SendDeadline-startTime)
		}
		if a := b.responses[r]; c.sent == 1 && (len(a) != 1 || a[0].Kind != Failed) {
			t.Errorf("%s: answered %+v", c.name, a)
		}
	}
}

// Guards against work for a client that gave up early: what is out for it is given up, once,
// its late end is no answer, and the client may come again under the same id at once.
func TestDisconnectCancelsAttempt(t *testing.T) {
	b := newHarness(t, nil)
	ask := func() *Request {
		r := &Request{TransactionID: "9b1f03aa5c7e2d41", Object: 7, Deadline: b.clock.Now() + 1480, Transport: &b.transport}
		r.Respond = func(a Response) { b.responses[r] = append(b.responses[r], a) }
		b.handleMessage(r)
		return r
	}
	first := ask()
	b.handleMessage(disconnectMessage{first})
	b.handleMessage(disconnectMessage{first})
	if len(b.transport.canceled) != 1 || b.transport.canceled[0] != first.attempts[0] {
		t.Fatalf("%d attempts were given up", len(b.transport.canceled))
	}
	second := ask()
	if len(b.transport.sent) != 2 || len(b.responses[second]) != 0 {
		t.Fatalf("came again: %d sent, answered %+v", len(b.transport.sent), b.responses[second])
	}
	for _, r := range []*Request{first, second} {
		b.handleMessage(Completion{Attempt: r.attempts[0], Result: routing.Served, Response: Response{Kind: Served}, Load: UnknownLoad()})
	}
	if a := b.responses[second]; len(b.responses[first]) != 0 || len(a) != 1 || a[0].Kind != Served || len(b.openRequests) != 0 || len(b.byTransactionID) != 0 {
		t.Errorf("answered %v, %d open", b.responses, len(b.openRequests))
	}
}
