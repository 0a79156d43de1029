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

// testHarness is a dispatcher with a manual clock and a transport that never completes an attempt.
// Tests apply the messages of the dispatcher and fire its timers.
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

// submit submits a request with the given class. The client of the request gives up after the given
// number of milliseconds.
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

// TestShortDeadline checks that a request with a very short deadline is answered so soon after the
// deadline that its client still waits. After the deadline, the dispatcher waits for the decision
// of the module, but only for a share of the time between the arrival of the request and its
// deadline.
func TestShortDeadline(t *testing.T) {
	for _, ms := range []float64{20, 45, 180, 1480} {
		harness := newHarness(t, nil)
		request := harness.submit(idempotentClass, ms)
		harness.advance(ms + 1 + ms*responseGraceShare)
		if len(harness.responses[request]) != 1 {
			t.Errorf("deadline of %v ms: got no response or several, want exactly one by %v ms after the deadline", ms, 1+ms*responseGraceShare)
		}
	}
}

// TestDrainBy checks that requests that wait for a hanging cache are answered by the drain
// deadline, before the process is killed. The deadline applies to requests that were open when the
// drain began and to requests that were submitted later.
func TestDrainBy(t *testing.T) {
	harness := newHarness(t, nil)
	open := harness.submit(idempotentClass, 6000)
	harness.DrainBy(harness.clock.Now() + 500)
	(<-harness.mailbox).apply(harness.Dispatcher)
	late := harness.submit(nonIdempotentClass, 6000)
	harness.advance(499)
	if len(harness.responses) > 0 {
		t.Fatal("got a response before the drain deadline")
	}
	harness.advance(10)
	for _, request := range []*Request{open, late} {
		if responses := harness.responses[request]; len(responses) != 1 || responses[0].Kind != Failed {
			t.Errorf("at the drain deadline: got responses %+v, want one of kind Failed", responses)
		}
	}
	if len(harness.transport.canceled) != 2 {
		t.Errorf("got %d canceled attempts, want 2", len(harness.transport.canceled))
	}
	// A request that was never sent can be retried without harm. It gets a response of kind
	// Rejected.
	harness = newHarness(t, nil)
	request := harness.submit(idempotentClass, 6000)
	for len(harness.transport.sent) > 0 {
		attempt := harness.transport.sent[0]
		harness.transport.sent = harness.transport.sent[1:]
		completionMessage{Unsent(attempt, routing.ConnectFailed)}.apply(harness.Dispatcher)
	}
	if responses := harness.responses[request]; len(responses) != 1 || responses[0].Kind != Rejected {
		t.Errorf("request never sent: got responses %+v, want one of kind Rejected", responses)
	}
}

// TestRetryForbidden checks that the dispatcher forbids a retry that could make a server execute a
// request twice. A retry that waits for a connection is not written after the window of its
// idempotency key. A non-idempotent request is not retried.
func TestRetryForbidden(t *testing.T) {
	harness := newHarness(t, nil)
	request := harness.submit(keyedClass, 3000)
	first := harness.transport.sent[0]
	harness.advance(300)
	complete(harness.Dispatcher, first, routing.ConnectionLost)
	harness.advance(cancelTransit)
	if len(harness.transport.sent) != 2 {
		t.Fatalf("got %d attempts, want 2", len(harness.transport.sent))
	}
	if attempt := harness.transport.sent[1]; first.SendDeadline != 0 || attempt.SendDeadline != startTime+1000 {
		t.Errorf("got send deadline %v for the retry, want 1000 and none for the first attempt", attempt.SendDeadline-startTime)
	}
	// The dispatcher forbids the retry even if the module decides to send it.
	for class, want := range map[int]bool{idempotentClass: false, keyedClass: true, nonIdempotentClass: true} {
		request := &Request{Class: class, attempts: []*Attempt{{sentAt: startTime, ended: true}}}
		attempt := &Attempt{Request: request, Class: &harness.settings.Classes[class], sentAt: startTime + 1000}
		if got := attempt.retryForbidden(); got != want {
			t.Errorf("class %d: got retry forbidden %v, want the opposite", class, got)
		}
		if request.attempts[0].notExecuted = true; attempt.retryForbidden() {
			t.Errorf("class %d: retry forbidden although nothing was executed", class)
		}
	}
	if len(harness.responses[request]) > 0 {
		t.Error("got a response while a retry is in flight")
	}
}

// TestDisconnectedClientIsNotForwarded checks that no attempt is sent for a client that has
// disconnected. The client may disconnect between two attempts, or while the module has its request
// queued. No attempt is sent even if the dispatcher has not handled the disconnect message yet.
func TestDisconnectedClientIsNotForwarded(t *testing.T) {
	harness := newHarness(t, nil)
	request := harness.submit(idempotentClass, 6000)
	harness.Disconnect(request) // the message stays in the mailbox until the attempt has ended
	complete(harness.Dispatcher, harness.transport.sent[0], routing.ServerError)
	if len(harness.transport.sent) != 1 {
		t.Errorf("got %d attempts for a disconnected client, want 1", len(harness.transport.sent))
	}
	(<-harness.mailbox).apply(harness.Dispatcher)
	if n := harness.metrics.Counter("clients_gone_waiting").Load(); n > 1 || len(harness.openRequests) != 0 {
		t.Errorf("got %d disconnects without an attempt in flight and %d open requests, want at most 1 and 0", n, len(harness.openRequests))
	}

	// The module queues requests while the caches have no capacity.
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
		t.Fatal("got no request queued in the module, want at least one")
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
				t.Error("attempt sent for a client that disconnected while its request was queued")
			}
		}
	}
	if got := harness.metrics.Counter("clients_gone_waiting").Load(); got != int64(len(queued)) {
		t.Errorf("got %d disconnects without an attempt in flight, want %d", got, len(queued))
	}
}

// TestWallClockStep checks that setting the wall clock while the router runs does not change the
// age of a purge or of a server. Purges and endpoint lists give times in wall clock time.
func TestWallClockStep(t *testing.T) {
	for _, step := range []float64{-3_600_000, 0, 3_600_000} {
		harness := newHarness(t, nil)
		harness.clock.StepWallClock(step)
		watchMessage{platformconfig.WatchEvent{Purge: &platformconfig.Purge{Object: 7, At: startTime + step - 50}}}.apply(harness.Dispatcher)
		harness.submit(idempotentClass, 1480)
		if sent := harness.transport.sent; len(sent) != 1 || sent[0].Decision.MaxAge != 50*time.Millisecond {
			t.Errorf("wall clock step of %v ms: got %d attempts with maximum age %v, want one with 50ms", step, len(sent), sent[0].Decision.MaxAge)
		}
		started := platformconfig.Endpoint{Server: routing.Server{StartedAt: clock.Duration(startTime + step - 50)}}
		servers := harness.endpointUpdate(platformconfig.WatchEvent{Endpoints: []platformconfig.Endpoint{started, {}}}).Servers
		if servers[0].StartedAt != clock.Duration(startTime-50) || servers[1].StartedAt != 0 {
			t.Errorf("wall clock step of %v ms: got unexpected start times in servers %v", step, servers)
		}
	}
}

// TestRetryWaitsForCancelTransit checks that a retry after a cancel or a lost connection is delayed
// by cancelTransit. Without the delay, the retry could overtake the cancel or the end of the
// connection, and the request would be executed twice at the same time.
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
			t.Fatalf("%v: request sent again within %v ms", result, cancelTransit-1)
		}
		harness.advance(1)
		if len(harness.transport.sent) != 2 {
			t.Errorf("%v: got %d attempts after %v ms, want 2", result, len(harness.transport.sent), cancelTransit)
		}
	}
	harness := newHarness(t, nil) // if the client disconnects during the delay, no retry is sent
	request := harness.submit(idempotentClass, 1480)
	complete(harness.Dispatcher, request.attempts[0], routing.ConnectionLost)
	harness.Disconnect(request)
	disconnectMessage{request}.apply(harness.Dispatcher)
	harness.advance(2 * cancelTransit)
	if len(harness.transport.sent) != 1 || !request.attempts[0].ended || len(harness.openRequests) != 0 {
		t.Errorf("client disconnected: got %d attempts, first ended %v, %d open requests; want 1, true, 0", len(harness.transport.sent), request.attempts[0].ended, len(harness.openRequests))
	}
}

// TestExpiredAttemptCompletesAtOnce checks that the response is not delayed by cancelTransit if no
// retry can follow. When the attempt expires, the client is told immediately that it may retry
// without harm.
func TestExpiredAttemptCompletesAtOnce(t *testing.T) {
	harness := newHarness(t, nil)
	request := harness.submit(idempotentClass, 1480)
	harness.advance(1480)
	if len(harness.transport.canceled) != 1 {
		t.Fatalf("got %d canceled attempts at the deadline, want 1", len(harness.transport.canceled))
	}
	complete(harness.Dispatcher, request.attempts[0], routing.Canceled)
	if responses := harness.responses[request]; len(responses) != 1 || responses[0].Kind != Rejected {
		t.Errorf("got responses %+v, want one of kind Rejected at once", responses)
	}
}

// TestReloadShortensKeyWindow checks that settings that are reloaded while a request is open apply
// to the next attempt of the request. No retry is sent after the end of the new idempotency key
// window. No retry exceeds the new limit of attempts.
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
			t.Errorf("%s: got %d attempts, the last with send deadline %v; want the values of the test case", test.name, len(harness.transport.sent), last.SendDeadline-startTime)
		}
		if responses := harness.responses[request]; test.sent == 1 && (len(responses) != 1 || responses[0].Kind != Failed) {
			t.Errorf("%s: got responses %+v, want one of kind Failed", test.name, responses)
		}
	}
}

// TestDisconnectCancelsAttempt checks the attempt of a client that disconnects. The attempt is
// canceled once, and its late completion causes no response. The client may reuse its transaction
// id immediately.
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
		t.Fatalf("got %d canceled attempts, want only that of the first request", len(harness.transport.canceled))
	}
	second := submit()
	if len(harness.transport.sent) != 2 || len(harness.responses[second]) != 0 {
		t.Fatalf("transaction id used again: got %d attempts and responses %+v, want 2 attempts and no response", len(harness.transport.sent), harness.responses[second])
	}
	for _, request := range []*Request{first, second} {
		complete(harness.Dispatcher, request.attempts[0], routing.Served)
	}
	if responses := harness.responses[second]; len(harness.responses[first]) != 0 || len(responses) != 1 || responses[0].Kind != Served || len(harness.openRequests) != 0 || len(harness.byTransactionID) != 0 {
		t.Errorf("got responses %v and %d open requests, want one response of kind Served to the second request and none open", harness.responses, len(harness.openRequests))
	}
}
