package dispatch

import (
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// hangingTransport accepts every attempt and never reports a completion.
type hangingTransport struct {
	sent     []*Attempt
	canceled []*Attempt
}

func (h *hangingTransport) Send(attempt *Attempt) *Completion {
	h.sent = append(h.sent, attempt)
	attempt.TransportState = h
	return nil
}
func (h *hangingTransport) Cancel(attempt *Attempt) { h.canceled = append(h.canceled, attempt) }
func (h *hangingTransport) Release(*Attempt)        {}

// testHarness is a dispatcher whose messages and timers a test runs by hand, on a manual clock,
// with servers that hang.
type testHarness struct {
	*Dispatcher
	clock     *clock.Manual
	transport hangingTransport
	responses map[*Request][]Response
}

func newHarness(t *testing.T, change func(*routing.Settings)) *testHarness {
	t.Helper()
	changed := settings()
	if change != nil {
		change(&changed)
	}
	clk := clock.NewManual(startTime)
	return &testHarness{Dispatcher: newDispatcher(t, clk, changed), clock: clk, responses: map[*Request][]Response{}}
}

// submit submits a request whose client waits for ms.
func (h *testHarness) submit(class int, ms float64) *Request {
	request := &Request{Class: class, Object: 7, Deadline: h.clock.Now() + ms, Transport: &h.transport}
	request.Respond = func(response Response) { h.responses[request] = append(h.responses[request], response) }
	submitMessage{request}.apply(h.Dispatcher)
	return request
}

func (h *testHarness) advance(ms float64) {
	for range int(ms) {
		h.clock.Advance(1)
		h.fireTimers()
	}
}

// Guards against a response after the client of a very short request has given up: the time
// that the dispatcher waits for the module is bounded by the time that the request had.
func TestShortDeadline(t *testing.T) {
	for _, ms := range []float64{20, 45, 180, 1480} {
		harness := newHarness(t, nil)
		request := harness.submit(idempotentClass, ms)
		harness.advance(ms + 1 + ms*responseGraceShare)
		if len(harness.responses[request]) != 1 {
			t.Errorf("%v ms: no answer %v ms after", ms, 1+ms*responseGraceShare)
		}
	}
}

// Guards against requests that wait for a hanging cache until the process is killed: what is
// open, and what is submitted later, is answered by the time that is set.
func TestDrainBy(t *testing.T) {
	harness := newHarness(t, nil)
	open := harness.submit(idempotentClass, 6000)
	harness.DrainBy(harness.clock.Now() + 500)
	(<-harness.mailbox).apply(harness.Dispatcher)
	late := harness.submit(nonIdempotentClass, 6000)
	harness.advance(499)
	if len(harness.responses) > 0 {
		t.Fatal("answered before the end")
	}
	harness.advance(10)
	for _, request := range []*Request{open, late} {
		if responses := harness.responses[request]; len(responses) != 1 || responses[0].Kind != Failed {
			t.Errorf("at the end: %+v", responses)
		}
	}
	if len(harness.transport.canceled) != 2 {
		t.Errorf("%d attempts were canceled", len(harness.transport.canceled))
	}
	// What was never sent is harmless to retry, and its response says so.
	harness = newHarness(t, nil)
	request := harness.submit(idempotentClass, 6000)
	for len(harness.transport.sent) > 0 {
		attempt := harness.transport.sent[0]
		harness.transport.sent = harness.transport.sent[1:]
		completionMessage{Unsent(attempt, routing.ConnectFailed)}.apply(harness.Dispatcher)
	}
	if responses := harness.responses[request]; len(responses) != 1 || responses[0].Kind != Rejected {
		t.Errorf("never sent: %+v", responses)
	}
}

// Guards against a retry that is written after the window of its key, since it waited for a
// connection, and against any retry of what must not be executed twice.
func TestRetryForbidden(t *testing.T) {
	harness := newHarness(t, nil)
	request := harness.submit(keyedClass, 3000)
	first := harness.transport.sent[0]
	harness.advance(300)
	complete(harness.Dispatcher, first, routing.ConnectionLost)
	harness.advance(cancelTransit)
	if len(harness.transport.sent) != 2 {
		t.Fatalf("%d attempts", len(harness.transport.sent))
	}
	if attempt := harness.transport.sent[1]; first.SendDeadline != 0 || attempt.SendDeadline != startTime+1000 {
		t.Errorf("the retry may be written until %v, want 1000", attempt.SendDeadline-startTime)
	}
	// The check holds whatever the module decides.
	for class, want := range map[int]bool{idempotentClass: false, keyedClass: true, nonIdempotentClass: true} {
		request := &Request{Class: class, attempts: []*Attempt{{sentAt: startTime, ended: true}}}
		attempt := &Attempt{Request: request, Class: &harness.settings.Classes[class], sentAt: startTime + 1000}
		if got := attempt.retryForbidden(); got != want {
			t.Errorf("class %d: forbidden: %v", class, got)
		}
		if request.attempts[0].notExecuted = true; attempt.retryForbidden() {
			t.Errorf("class %d: forbidden though nothing was executed", class)
		}
	}
	if len(harness.responses[request]) > 0 {
		t.Error("answered while a retry is in flight")
	}
}

// Guards against work for nobody: a request whose client disconnected between attempts, or
// while the module had it queued, is not sent, though the dispatcher has not handled the
// message about it yet.
func TestDisconnectedClientIsNotForwarded(t *testing.T) {
	harness := newHarness(t, nil)
	request := harness.submit(idempotentClass, 6000)
	harness.Disconnect(request) // it is in the mailbox, behind the end of the attempt
	complete(harness.Dispatcher, harness.transport.sent[0], routing.ServerError)
	if len(harness.transport.sent) != 1 {
		t.Errorf("%d attempts for a client that has disconnected", len(harness.transport.sent))
	}
	(<-harness.mailbox).apply(harness.Dispatcher)
	if n := harness.metrics.Counter("clients_gone_waiting").Load(); n > 1 || len(harness.openRequests) != 0 {
		t.Errorf("%d disconnected without an attempt in flight, %d are open", n, len(harness.openRequests))
	}

	// Queued in the module: caches without capacity make requests wait.
	harness = newHarness(t, func(settings *routing.Settings) {
		settings.TransferKBPerSecond = 1000
		settings.WeightIsCapacity = true
		settings.RoutersByZone = []int{8}
		settings.Classes[idempotentClass].ObjectiveTransferFactor = 4
	})
	var queued []*Request
	for i := range 40 {
		request := harness.submit(idempotentClass, 6000)
		request.Object = routing.ObjectID(i + 1)
		if len(request.attempts) == 0 && len(harness.responses[request]) == 0 {
			queued = append(queued, request)
		}
	}
	if len(queued) == 0 {
		t.Fatal("none is queued in the module")
	}
	for _, request := range queued {
		harness.Disconnect(request)
	}
	before := len(harness.transport.sent)
	for range queued {
		(<-harness.mailbox).apply(harness.Dispatcher)
	}
	for _, attempt := range harness.transport.sent[:before] {
		complete(harness.Dispatcher, attempt, routing.Served)
	}
	harness.advance(300)
	for _, attempt := range harness.transport.sent {
		for _, request := range queued {
			if attempt.Request == request {
				t.Error("sent for a client that disconnected while its request was queued")
			}
		}
	}
	if got := harness.metrics.Counter("clients_gone_waiting").Load(); got != int64(len(queued)) {
		t.Errorf("%d are counted, want %d", got, len(queued))
	}
}

// Guards against a wall clock that is set while the router runs: the age of a purge and of a
// server, whose times are the wall clock's, stays what it was.
func TestWallClockStep(t *testing.T) {
	for _, by := range []float64{-3_600_000, 0, 3_600_000} {
		harness := newHarness(t, nil)
		harness.clock.StepWallClock(by)
		watchMessage{platformconfig.WatchEvent{Purge: &platformconfig.Purge{Object: 7, At: startTime + by - 50}}}.apply(harness.Dispatcher)
		harness.submit(idempotentClass, 1480)
		if sent := harness.transport.sent; len(sent) != 1 || sent[0].Decision.MaxAge != 50*time.Millisecond {
			t.Errorf("set by %v ms: %d sent, copies of %v will do", by, len(sent), sent[0].Decision.MaxAge)
		}
		started := platformconfig.Endpoint{Server: routing.Server{StartedAt: clock.Duration(startTime + by - 50)}}
		servers := harness.endpointUpdate(platformconfig.WatchEvent{Endpoints: []platformconfig.Endpoint{started, {}}}).Servers
		if servers[0].StartedAt != clock.Duration(startTime-50) || servers[1].StartedAt != 0 {
			t.Errorf("set by %v ms: %v", by, servers)
		}
	}
}

// Guards against a request that is executed twice at a time: a retry that is sent at once
// overtakes the cancel, or the end of the connection, that ended the attempt before.
func TestRetryWaitsForCancelTransit(t *testing.T) {
	for _, result := range []routing.Result{routing.Canceled, routing.ConnectionLost} {
		harness := newHarness(t, nil)
		request := harness.submit(idempotentClass, 1480)
		if result == routing.Canceled {
			harness.cancelAttempt(request.attempts[0], routing.Canceled)
		}
		complete(harness.Dispatcher, request.attempts[0], result)
		harness.advance(cancelTransit - 1)
		if len(harness.transport.sent) != 1 {
			t.Fatalf("%v: sent again within %v ms", result, cancelTransit-1)
		}
		harness.advance(1)
		if len(harness.transport.sent) != 2 {
			t.Errorf("%v: %d sent after %v ms, want the next one", result, len(harness.transport.sent), cancelTransit)
		}
	}
	harness := newHarness(t, nil) // its client disconnects meanwhile: nothing is sent
	request := harness.submit(idempotentClass, 1480)
	complete(harness.Dispatcher, request.attempts[0], routing.ConnectionLost)
	harness.Disconnect(request)
	disconnectMessage{request}.apply(harness.Dispatcher)
	harness.advance(2 * cancelTransit)
	if len(harness.transport.sent) != 1 || !request.attempts[0].ended || len(harness.openRequests) != 0 {
		t.Errorf("%d sent for a client that disconnected, ended %v, %d open", len(harness.transport.sent), request.attempts[0].ended, len(harness.openRequests))
	}
}

// Guards against a response that is delayed for a cancel's transit though nothing can be sent
// any more: when the attempt expires the client is told at once that a retry is harmless.
func TestExpiredAttemptCompletesAtOnce(t *testing.T) {
	harness := newHarness(t, nil)
	request := harness.submit(idempotentClass, 1480)
	harness.advance(1480)
	if len(harness.transport.canceled) != 1 {
		t.Fatalf("%d attempts were canceled at the end", len(harness.transport.canceled))
	}
	complete(harness.Dispatcher, request.attempts[0], routing.Canceled)
	if responses := harness.responses[request]; len(responses) != 1 || responses[0].Kind != Rejected {
		t.Errorf("answered %+v, want a rejection at once", responses)
	}
}

// Guards against a retry after the window of its key, or more attempts than allowed, by the
// settings in use: what is reloaded while a request is open holds for its next attempt.
func TestReloadShortensKeyWindow(t *testing.T) {
	for _, test := range []struct {
		name         string
		change       func(*routing.Settings)
		sent         int
		sendDeadline float64
	}{
		{"not shortened", func(*routing.Settings) {}, 2, startTime + 1000},
		{"shorter, not over", func(settings *routing.Settings) { settings.Classes[keyedClass].KeyWindow = 400 * time.Millisecond }, 2, startTime + 400},
		{"shorter, over", func(settings *routing.Settings) { settings.Classes[keyedClass].KeyWindow = 200 * time.Millisecond }, 1, 0},
		{"one attempt", func(settings *routing.Settings) { settings.MaxAttempts = 1 }, 1, 0},
	} {
		harness := newHarness(t, nil)
		request := harness.submit(keyedClass, 3000)
		next := settings()
		test.change(&next)
		harness.Reload(next)
		(<-harness.mailbox).apply(harness.Dispatcher)
		harness.advance(300)
		complete(harness.Dispatcher, harness.transport.sent[0], routing.ServerError)
		harness.advance(100)
		if last := harness.transport.sent[len(harness.transport.sent)-1]; len(harness.transport.sent) != test.sent || last.SendDeadline != test.sendDeadline {
			t.Errorf("%s: %d sent, the last to be written by %v", test.name, len(harness.transport.sent), last.SendDeadline-startTime)
		}
		if responses := harness.responses[request]; test.sent == 1 && (len(responses) != 1 || responses[0].Kind != Failed) {
			t.Errorf("%s: answered %+v", test.name, responses)
		}
	}
}

// Guards against work for a client that gave up early: its attempt is canceled, once, the late
// completion is no response, and the client may use the same id again at once.
func TestDisconnectCancelsAttempt(t *testing.T) {
	harness := newHarness(t, nil)
	submit := func() *Request {
		request := &Request{TransactionID: "9b1f03aa5c7e2d41", Object: 7, Deadline: harness.clock.Now() + 1480, Transport: &harness.transport}
		request.Respond = func(response Response) { harness.responses[request] = append(harness.responses[request], response) }
		submitMessage{request}.apply(harness.Dispatcher)
		return request
	}
	first := submit()
	disconnectMessage{first}.apply(harness.Dispatcher)
	disconnectMessage{first}.apply(harness.Dispatcher)
	if len(harness.transport.canceled) != 1 || harness.transport.canceled[0] != first.attempts[0] {
		t.Fatalf("%d attempts were canceled", len(harness.transport.canceled))
	}
	second := submit()
	if len(harness.transport.sent) != 2 || len(harness.responses[second]) != 0 {
		t.Fatalf("the id again: %d sent, answered %+v", len(harness.transport.sent), harness.responses[second])
	}
	for _, request := range []*Request{first, second} {
		complete(harness.Dispatcher, request.attempts[0], routing.Served)
	}
	if responses := harness.responses[second]; len(harness.responses[first]) != 0 || len(responses) != 1 || responses[0].Kind != Served || len(harness.openRequests) != 0 || len(harness.byTransactionID) != 0 {
		t.Errorf("answered %v, %d open", harness.responses, len(harness.openRequests))
	}
}
