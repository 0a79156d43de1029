package dispatch

import (
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/seeds"
	"garnetline/routing"
)

const startTime = 1.7e12

func settings() routing.Settings {
	ramp := routing.SlowStart{InitialCapacity: 0.2, Duration: 10 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second}
	return routing.Settings{Zones: 1, Kinds: 3, ParentKind: 1, OriginKind: 2, RoutersByZone: []int{1}, Routers: 1,
		MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true, CanJoinFill: true, DrainGrace: time.Second,
		PurgeGrace: 500 * time.Millisecond, PurgeRetention: 6 * time.Second, CacheSlowStart: ramp, ParentSlowStart: ramp,
		Classes: []routing.Class{
			{Name: "part", Idempotency: routing.Idempotent, LatencyObjective: 400 * time.Millisecond, Deadline: 6 * time.Second, PriorityWeight: 2},
			{Name: "keyed", Idempotency: routing.IdempotentWithKey, KeyWindow: time.Second, LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Write: true},
			{Name: "once", Idempotency: routing.NonIdempotent, LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Write: true},
		}}
}

func endpoint(id, kind int, p routing.Phase) platformconfig.Endpoint {
	return platformconfig.Endpoint{Server: routing.Server{ID: routing.ServerID(id), Kind: kind, Phase: p, Weight: 1}}
}

func endpointList() platformconfig.WatchEvent {
	return platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{endpoint(1, 0, routing.Ready), endpoint(2, 0, routing.Ready),
		endpoint(3, 0, routing.Ready), endpoint(8, 1, routing.Ready), endpoint(9, 2, routing.Ready)}}
}

// model is what must hold of a core, kept from its calls alone.
type model struct {
	t           *testing.T
	dispatcher  *Dispatcher
	clock       *clock.Manual
	script      []byte
	requests    []*requestState
	states      map[*Request]*requestState
	inFlight    []*Attempt // taken by the carrier, not ended
	canceled    []*Attempt // of those, to be given up
	unavailable map[routing.ServerID]bool
}

// requestState is what the model knows of a request.
type requestState struct {
	request                  *Request
	attempts, inFlight       int
	responses                int
	disconnected             bool
	possiblyExecuted         int // attempts not proved never to have run
	firstSentAt, respondedAt float64
}

func (m *model) nextByte() int {
	if len(m.script) == 0 {
		return 0
	}
	b := m.script[0]
	m.script = m.script[1:]
	return int(b)
}

func (m *model) Send(a *Attempt) *Completion {
	s, now := m.states[a.Request], m.clock.Now()
	class := m.dispatcher.settings.Classes[a.Request.Class]
	s.attempts++
	switch {
	case s.attempts > 6 || a.Index != s.attempts-1:
		m.t.Fatalf("attempt %d of a request, numbered %d", s.attempts, a.Index)
	case s.inFlight > 0:
		m.t.Fatal("two attempts out")
	case s.responses > 0 || s.disconnected || now >= s.request.Deadline:
		m.t.Fatal("an attempt for a request that is over")
	case m.unavailable[a.Decision.Server] || m.unavailable[a.Decision.FillSource]:
		m.t.Fatal("an attempt to a server that drains")
	case s.possiblyExecuted > 0 && class.Idempotency == routing.NonIdempotent, s.possiblyExecuted > 0 && class.Idempotency == routing.IdempotentWithKey && now >= s.firstSentAt+1000:
		m.t.Fatal("a resend of what may have run")
	}
	if b := m.nextByte(); b%5 == 0 {
		return Unsent(a, []routing.Result{routing.ConnectFailed, routing.Rejected, routing.NotSent}[b%3])
	}
	if s.possiblyExecuted++; s.possiblyExecuted == 1 {
		s.firstSentAt = now
	}
	s.inFlight++
	m.inFlight = append(m.inFlight, a)
	return nil
}

func (m *model) Cancel(a *Attempt) { m.canceled = append(m.canceled, a) }
func (m *model) Release(*Attempt)  {}

func (m *model) checkResponse(s *requestState) func(Response) {
	return func(a Response) {
		s.responses++
		s.respondedAt = m.clock.Now()
		if s.responses > 1 || s.disconnected {
			m.t.Fatalf("answer %d to a request, left %v", s.responses, s.disconnected)
		}
		if a.Kind == Rejected && s.possiblyExecuted > 0 && m.dispatcher.settings.Classes[s.request.Class].Idempotency == routing.NonIdempotent {
			m.t.Fatal("refused what may have run")
		}
	}
}

// endAttempt ends one attempt; proof says that it never ran.
func (m *model) endAttempt(i int, res routing.Result, proof bool) {
	a := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	s := m.states[a.Request]
	s.inFlight--
	if proof {
		s.possiblyExecuted--
	}
	m.dispatcher.handleMessage(Completion{Attempt: a, Result: res, Response: Response{Kind: Served}, Load: UnknownLoad()})
}

// advance moves the clock on, from timer to timer.
func (m *model) advance(ms float64) {
	n := 0
	for to := m.clock.Now() + ms; m.clock.Now() < to; m.dispatcher.fireTimers() {
		if n++; n > 100_000 {
			m.t.Fatal("the timers never end")
		}
		next := to
		if len(m.dispatcher.timers) > 0 {
			next = max(m.clock.Now(), min(to, m.dispatcher.timers[0].at))
		}
		m.clock.Advance(next - m.clock.Now())
		if next == to {
			m.dispatcher.fireTimers()
			return
		}
	}
}

func (m *model) runStep() {
	switch op, x := m.nextByte()%8, m.nextByte(); op {
	case 0, 1:
		r := &Request{Class: x % 3, Object: routing.ObjectID(1 + x%5), Chunk: x % 2, Transport: m, Deadline: m.clock.Now() + float64(200+x*10)}
		s := &requestState{request: r}
		r.Respond = m.checkResponse(s)
		m.requests, m.states[r] = append(m.requests, s), s
		m.dispatcher.handleMessage(r)
	case 2, 3:
		if len(m.inFlight) > 0 {
			res := []routing.Result{routing.Served, routing.ServerError, routing.ConnectionLost, routing.Rejected, routing.NotCached, routing.ConnectFailed}[x%6]
			m.endAttempt(x%len(m.inFlight), res, res >= routing.Rejected)
		}
	case 4:
		m.advance(float64(x * 4))
	case 5:
		for len(m.canceled) > 0 {
			a := m.canceled[0]
			m.canceled = m.canceled[1:]
			for i, o := range m.inFlight {
				if o == a {
					m.endAttempt(i, routing.Canceled, false)
					break
				}
			}
		}
	case 6:
		if len(m.requests) > 0 {
			if s := m.requests[x%len(m.requests)]; s.responses == 0 {
				s.disconnected = true
				m.dispatcher.handleMessage(disconnectMessage{s.request})
			}
		}
	case 7:
		id, p := 1+x%3, routing.Ready
		if x&8 != 0 {
			p = routing.Draining
		}
		m.unavailable[routing.ServerID(id)] = p != routing.Ready
		m.dispatcher.handleMessage(platformconfig.WatchEvent{ListUpdate: true, Endpoints: []platformconfig.Endpoint{endpoint(id, 0, p)}})
	}
}

// Whatever a carrier and clients do, each request gets one answer by its
// deadline, attempts never overlap, and what may have run is not run again.
func FuzzDispatcher(f *testing.F) {
	seeds.Add(f, 48, 600)
	f.Fuzz(func(t *testing.T, steps []byte) {
		steps = steps[:min(len(steps), 4096)]
		clk := clock.NewManual(startTime)
		c, err := New(clk, settings(), 1, metrics.New())
		if err != nil {
			t.Fatal(err)
		}
		m := &model{t: t, dispatcher: c, clock: clk, script: steps, states: map[*Request]*requestState{}, unavailable: map[routing.ServerID]bool{}}
		c.handleMessage(endpointList())
		for len(m.script) > 0 {
			m.runStep()
		}
		m.advance(20_000) // no attempt ends any more: the deadline answers
		for i, s := range m.requests {
			if s.responses == 0 && !s.disconnected {
				t.Errorf("request %d has no answer", i)
			}
			if s.responses > 0 && s.respondedAt > s.request.Deadline+responseGrace+0.001 {
				t.Errorf("request %d was answered %.1f ms after its deadline", i, s.respondedAt-s.request.Deadline)
			}
		}
		if len(c.openRequests) != 0 {
			t.Errorf("%d requests are still held", len(c.openRequests))
		}
	})
}

// The client's 64-bit id must not become the module's: shifted into a timer
// token it would lose bits.
func TestRequestsGetSmallIDs(t *testing.T) {
	clk := clock.NewManual(startTime)
	c, err := New(clk, settings(), 1, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, dispatcher: c, clock: clk, states: map[*Request]*requestState{}, script: []byte{1, 1}}
	c.handleMessage(endpointList())
	for i := 1; i <= 2; i++ {
		r := &Request{TransactionID: []string{"", "ffffffffffffffff", "fffffffffffffffe"}[i], Transport: m, Object: 1, Deadline: startTime + 1000, Respond: func(Response) {}}
		m.states[r] = &requestState{request: r}
		c.handleMessage(r)
		if r.id != routing.RequestID(i) {
			t.Errorf("request %d has id %d", i, r.id)
		}
	}
}

// A request under the id of one that is open is refused without an attempt and
// leaves the first alone, also when its client goes; later the id is free.
func TestDuplicateTransactionID(t *testing.T) {
	clk := clock.NewManual(startTime)
	c, err := New(clk, settings(), 1, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, dispatcher: c, clock: clk, states: map[*Request]*requestState{}, script: []byte{1, 1, 1}}
	c.handleMessage(endpointList())
	var got [3][]ResponseKind
	take := func(i int) *Request {
		r := &Request{TransactionID: "9b1f03aa5c7e2d41", Transport: m, Object: routing.ObjectID(1 + i), Deadline: startTime + 1000,
			Respond: func(a Response) { got[i] = append(got[i], a.Kind) }}
		m.states[r] = &requestState{request: r}
		c.handleMessage(r)
		return r
	}
	take(0)
	second := take(1)
	c.handleMessage(disconnectMessage{second})
	if len(m.inFlight) != 1 || len(got[0]) != 0 || len(got[1]) != 1 || got[1][0] != DuplicateID {
		t.Fatalf("%d attempts, answers %v", len(m.inFlight), got)
	}
	m.endAttempt(0, routing.Served, false)
	take(2)
	if len(got[0]) != 1 || got[0][0] != Served || len(m.inFlight) != 1 || len(got[2]) != 0 {
		t.Errorf("%d attempts, answers %v", len(m.inFlight), got)
	}
}
