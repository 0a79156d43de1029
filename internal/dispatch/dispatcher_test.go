package dispatch

import (
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fuzzutil"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const startTime = 1.7e12

// Indexes of the classes that settings returns.
const (
	idempotentClass = iota
	keyedClass
	nonIdempotentClass
	classCount
)

func settings() routing.Settings {
	slowStart := routing.SlowStart{InitialCapacity: 0.2, Duration: 10 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second}
	return routing.Settings{
		Zones: 1, Kinds: 3, ParentKind: 1, OriginKind: 2, RoutersByZone: []int{1}, Routers: 1,
		MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true, CanJoinFill: true, DrainGrace: time.Second,
		PurgeGrace: 500 * time.Millisecond, PurgeRetention: 6 * time.Second, CacheSlowStart: slowStart, ParentSlowStart: slowStart,
		Classes: []routing.Class{
			{Name: "part", Idempotency: routing.Idempotent, LatencyObjective: 400 * time.Millisecond, Deadline: 6 * time.Second, PriorityWeight: 2},
			{Name: "keyed", Idempotency: routing.IdempotentWithKey, KeyWindow: time.Second, LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Write: true},
			{Name: "once", Idempotency: routing.NonIdempotent, LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Write: true},
		},
	}
}

func endpoint(id, kind int, phase routing.Phase) platformconfig.Endpoint {
	return platformconfig.Endpoint{Server: routing.Server{ID: routing.ServerID(id), Kind: kind, Phase: phase, Weight: 1}}
}

// endpointList returns a snapshot with three caches, a parent and the origin.
func endpointList() platformconfig.WatchEvent {
	return platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{
		endpoint(1, 0, routing.Ready),
		endpoint(2, 0, routing.Ready),
		endpoint(3, 0, routing.Ready),
		endpoint(8, 1, routing.Ready),
		endpoint(9, 2, routing.Ready),
	}}
}

// newDispatcher returns a dispatcher that knows the endpoint list. The dispatcher is not running:
// tests apply its messages and fire its timers.
func newDispatcher(tb testing.TB, clk clock.Clock, settings routing.Settings) *Dispatcher {
	tb.Helper()
	dispatcher, err := New(clk, settings, 1, metrics.New())
	if err != nil {
		tb.Fatal(err)
	}
	watchMessage{endpointList()}.apply(dispatcher)
	return dispatcher
}

// complete reports to the dispatcher that an attempt ended, and passes the given result.
func complete(dispatcher *Dispatcher, attempt *Attempt, result routing.Result) {
	completion := &Completion{Attempt: attempt, Result: result, Response: Response{Kind: Served}, Load: UnknownLoad()}
	completionMessage{completion}.apply(dispatcher)
}

// dispatcherModel checks the guarantees of a dispatcher. It observes only the calls to the
// dispatcher and the calls that the dispatcher makes. The model is the transport of all requests. A
// script of random bytes selects its steps.
type dispatcherModel struct {
	t           *testing.T
	dispatcher  *Dispatcher
	clock       *clock.Manual
	script      []byte
	requests    []*requestState
	states      map[*Request]*requestState
	inFlight    []*Attempt
	canceled    []*Attempt // attempts that the dispatcher asked to cancel
	unavailable map[routing.ServerID]bool
}

// requestState is the state of a request, as the model observes it.
type requestState struct {
	request                  *Request
	attempts, inFlight       int
	responses                int
	disconnected             bool
	possiblyExecuted         int // number of attempts that may have been executed
	firstSentAt, respondedAt float64
}

func newModel(t *testing.T, script []byte) *dispatcherModel {
	t.Helper()
	clk := clock.NewManual(startTime)
	return &dispatcherModel{t: t, dispatcher: newDispatcher(t, clk, settings()), clock: clk, script: script,
		states: map[*Request]*requestState{}, unavailable: map[routing.ServerID]bool{}}
}

func (m *dispatcherModel) nextByte() int {
	if len(m.script) == 0 {
		return 0
	}
	next := m.script[0]
	m.script = m.script[1:]
	return int(next)
}

// Send implements Transport. It checks that the dispatcher may start the attempt. It then accepts
// the attempt or returns a completion, as the script selects.
func (m *dispatcherModel) Send(attempt *Attempt) *Completion {
	state := m.states[attempt.Request]
	state.attempts++
	m.checkAttempt(state, attempt)
	if next := m.nextByte(); next%5 == 0 {
		return Unsent(attempt, []routing.Result{routing.ConnectFailed, routing.Rejected, routing.NotSent}[next%3])
	}
	state.possiblyExecuted++
	if state.possiblyExecuted == 1 {
		state.firstSentAt = m.clock.Now()
	}
	state.inFlight++
	m.inFlight = append(m.inFlight, attempt)
	attempt.TransportState = m
	return nil
}

func (m *dispatcherModel) checkAttempt(state *requestState, attempt *Attempt) {
	now := m.clock.Now()
	class := m.dispatcher.settings.Classes[attempt.Request.Class]
	retry := state.possiblyExecuted > 0
	switch {
	case state.attempts > 6 || attempt.Index != state.attempts-1:
		m.t.Fatalf("attempt number %d of a request has index %d, want at most 6 attempts with consecutive indexes", state.attempts, attempt.Index)
	case state.inFlight > 0:
		m.t.Fatal("attempt started while another attempt of the same request is in flight")
	case state.responses > 0 || state.disconnected || now >= state.request.Deadline:
		m.t.Fatal("attempt started for a request that has ended")
	case m.unavailable[attempt.Decision.Server] || m.unavailable[attempt.Decision.FillSource]:
		m.t.Fatal("attempt started whose server or fill source is draining")
	case retry && class.Idempotency == routing.NonIdempotent:
		m.t.Fatal("non-idempotent request retried although it may have been executed")
	case retry && class.Idempotency == routing.IdempotentWithKey && now >= state.firstSentAt+1000:
		m.t.Fatal("request retried after the window of its idempotency key")
	}
}

// Cancel implements TransportState.
func (m *dispatcherModel) Cancel(attempt *Attempt) { m.canceled = append(m.canceled, attempt) }

// Release implements TransportState.
func (m *dispatcherModel) Release(*Attempt) {}

func (m *dispatcherModel) checkResponse(state *requestState) func(Response) {
	return func(response Response) {
		state.responses++
		state.respondedAt = m.clock.Now()
		if state.responses > 1 || state.disconnected {
			m.t.Fatalf("got response number %d to a request, client disconnected: %v; want one response to a connected client", state.responses, state.disconnected)
		}
		class := m.dispatcher.settings.Classes[state.request.Class]
		if response.Kind == Rejected && state.possiblyExecuted > 0 && class.Idempotency == routing.NonIdempotent {
			m.t.Fatal("non-idempotent request rejected although it may have been executed")
		}
	}
}

// endAttempt ends the attempt at the given index of inFlight. notExecuted tells whether the result
// proves that no server executed the attempt.
func (m *dispatcherModel) endAttempt(index int, result routing.Result, notExecuted bool) {
	attempt := m.inFlight[index]
	m.inFlight = append(m.inFlight[:index:index], m.inFlight[index+1:]...)
	state := m.states[attempt.Request]
	state.inFlight--
	if notExecuted {
		state.possiblyExecuted--
	}
	complete(m.dispatcher, attempt, result)
}

// advance moves the clock forward by the given number of milliseconds. It stops at each timer on
// the way and fires it.
func (m *dispatcherModel) advance(ms float64) {
	rounds := 0
	for end := m.clock.Now() + ms; m.clock.Now() < end; m.dispatcher.fireTimers() {
		if rounds++; rounds > 100_000 {
			m.t.Fatal("timers still fire after 100000 rounds")
		}
		next := end
		if len(m.dispatcher.timers) > 0 {
			next = max(m.clock.Now(), min(end, m.dispatcher.timers[0].at))
		}
		m.clock.Advance(next - m.clock.Now())
		if next == end {
			m.dispatcher.fireTimers()
			return
		}
	}
}

func (m *dispatcherModel) submit(request *Request) {
	state := &requestState{request: request}
	request.Transport = m
	if request.Respond == nil {
		request.Respond = m.checkResponse(state)
	}
	m.requests = append(m.requests, state)
	m.states[request] = state
	submitMessage{request}.apply(m.dispatcher)
}

// runStep carries out the step that the next two bytes of the script select.
func (m *dispatcherModel) runStep() {
	step := m.nextByte() % 8
	argument := m.nextByte()
	switch step {
	case 0, 1:
		deadline := m.clock.Now() + float64(200+argument*10)
		m.submit(&Request{Class: argument % classCount, Object: routing.ObjectID(1 + argument%5), Chunk: argument % 2, Deadline: deadline})
	case 2, 3:
		if len(m.inFlight) > 0 {
			results := []routing.Result{routing.Served, routing.ServerError, routing.ConnectionLost, routing.Rejected, routing.NotCached, routing.ConnectFailed}
			result := results[argument%6]
			m.endAttempt(argument%len(m.inFlight), result, result >= routing.Rejected)
		}
	case 4:
		m.advance(float64(argument * 4))
	case 5:
		m.endCanceled()
	case 6:
		if len(m.requests) > 0 {
			m.disconnect(m.requests[argument%len(m.requests)])
		}
	case 7:
		m.updateEndpoint(1+argument%3, argument&8 != 0)
	}
}

// endCanceled ends the attempts that the dispatcher has asked the transport to cancel.
func (m *dispatcherModel) endCanceled() {
	for len(m.canceled) > 0 {
		attempt := m.canceled[0]
		m.canceled = m.canceled[1:]
		for i, other := range m.inFlight {
			if other == attempt {
				m.endAttempt(i, routing.Canceled, false)
				break
			}
		}
	}
}

func (m *dispatcherModel) disconnect(state *requestState) {
	if state.responses > 0 {
		return
	}
	state.disconnected = true
	disconnectMessage{state.request}.apply(m.dispatcher)
}

func (m *dispatcherModel) updateEndpoint(id int, draining bool) {
	phase := routing.Ready
	if draining {
		phase = routing.Draining
	}
	m.unavailable[routing.ServerID(id)] = draining
	watchMessage{platformconfig.WatchEvent{ListUpdate: true, Endpoints: []platformconfig.Endpoint{endpoint(id, 0, phase)}}}.apply(m.dispatcher)
}

// FuzzDispatcher checks the guarantees of the dispatcher for arbitrary behavior of transports and
// clients. Each request gets one response by its deadline. The attempts of a request never overlap.
// A request that may have been executed is sent again only if its class permits that.
func FuzzDispatcher(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 48, 600)
	f.Fuzz(func(t *testing.T, script []byte) {
		model := newModel(t, script[:min(len(script), 4096)])
		for len(model.script) > 0 {
			model.runStep()
		}
		model.advance(20_000) // no attempt ends during this time, so that the dispatcher responds at the deadlines
		for i, state := range model.requests {
			if state.responses == 0 && !state.disconnected {
				t.Errorf("request %d has no response", i)
			}
			if state.responses > 0 && state.respondedAt > state.request.Deadline+responseGrace+0.001 {
				t.Errorf("request %d was answered %.1f ms after its deadline", i, state.respondedAt-state.request.Deadline)
			}
		}
		if len(model.dispatcher.openRequests) != 0 {
			t.Errorf("%d requests are still open", len(model.dispatcher.openRequests))
		}
		for len(model.inFlight) > 0 {
			model.endAttempt(0, routing.Canceled, false)
		}
		if len(model.dispatcher.timers) != 0 {
			t.Errorf("%d timers are still pending although all requests and attempts have ended", len(model.dispatcher.timers))
		}
	})
}

// TestRequestsGetSmallIDs checks that the module gets small sequential ids instead of the clients'
// 64-bit ids. A 64-bit id would lose bits when the module shifts it into a timer token.
func TestRequestsGetSmallIDs(t *testing.T) {
	model := newModel(t, []byte{1, 1})
	for i, transactionID := range []string{"ffffffffffffffff", "fffffffffffffffe"} {
		request := &Request{TransactionID: transactionID, Object: 1, Deadline: startTime + 1000, Respond: func(Response) {}}
		model.submit(request)
		if want := routing.RequestID(i + 1); request.id != want {
			t.Errorf("want request id %d, got %d", want, request.id)
		}
	}
}

// TestDuplicateTransactionID checks that a request is refused without an attempt if its transaction
// id belongs to an open request. Neither the refused request nor the disconnect of its client
// affects the open request. After the response to the open request, the id can be used again.
func TestDuplicateTransactionID(t *testing.T) {
	model := newModel(t, []byte{1, 1, 1})
	var got [3][]ResponseKind
	submit := func(i int) *Request {
		request := &Request{TransactionID: "9b1f03aa5c7e2d41", Object: routing.ObjectID(1 + i), Deadline: startTime + 1000,
			Respond: func(response Response) { got[i] = append(got[i], response.Kind) }}
		model.submit(request)
		return request
	}
	submit(0)
	second := submit(1)
	disconnectMessage{second}.apply(model.dispatcher)
	if len(model.inFlight) != 1 || len(got[0]) != 0 || len(got[1]) != 1 || got[1][0] != DuplicateID {
		t.Fatalf("got %d attempts in flight and responses %v, want one attempt and DuplicateID for the second request", len(model.inFlight), got)
	}
	model.endAttempt(0, routing.Served, false)
	submit(2)
	if len(got[0]) != 1 || got[0][0] != Served || len(model.inFlight) != 1 || len(got[2]) != 0 {
		t.Errorf("got %d attempts in flight and responses %v, want one attempt, the first request served and the third open", len(model.inFlight), got)
	}
}
