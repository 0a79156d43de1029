package routing

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// randomStream feeds a legal stream of events made from a seed to one router, and checks what one
// router's actions can tell of the rules.
type randomStream struct {
	*harness
	seed     uint64
	random   *rand.Rand
	step     func(*Router, time.Duration, Event) []Action
	all      []Action
	inflight []streamAttempt
	timers   []streamTimer
	attempts map[RequestID]int           // sent for a request
	live     map[RequestID]int           // of them, in flight
	deadline map[RequestID]time.Duration // of requests that are owed an answer
	excluded map[ServerID]bool           // not listed as ready
}

type streamAttempt struct {
	SendAttempt
	index int
}

type streamTimer struct {
	at    time.Duration
	token uint64
}

// playRandomStream plays a stream of 3,000 steps and returns the actions.
func playRandomStream(t *testing.T, seed uint64, step func(*Router, time.Duration, Event) []Action) []Action {
	t.Helper()
	stream := &randomStream{harness: newHarness(t, settings(), fleet()), seed: seed, step: step,
		random:   rand.New(rand.NewPCG(seed, 7)),
		attempts: map[RequestID]int{}, live: map[RequestID]int{},
		deadline: map[RequestID]time.Duration{}, excluded: map[ServerID]bool{}}
	for i := range 3000 {
		stream.now += time.Duration(stream.random.IntN(20)) * ms
		stream.fireTimers()
		stream.endOverdueAttempts()
		for id := RequestID(1); id < RequestID(i+1); id++ {
			if by, ok := stream.deadline[id]; ok && by+8*ms+20*ms < stream.now {
				t.Fatalf("seed %d: request %d is overdue", seed, id)
			}
		}
		stream.randomEvent(i)
	}
	return stream.all
}

// notify feeds the router one event, and checks and books the actions.
func (s *randomStream) notify(event Event) {
	actions := s.step(s.router, s.now, event)
	s.all = append(s.all, actions...)
	for _, action := range actions {
		switch action := action.(type) {
		case SendAttempt:
			s.checkAttempt(action)
		case Reject:
			s.checkAnswer(action.ID, action)
		case Fail:
			s.checkAnswer(action.ID, action)
		}
	}
	for _, action := range actions {
		if timer, ok := action.(SetTimer); ok {
			s.timers = append(s.timers, streamTimer{s.now + timer.Delay, timer.Token})
		}
	}
}

func (s *randomStream) checkAttempt(sent SendAttempt) {
	if _, ok := s.deadline[sent.ID]; !ok {
		s.Fatalf("seed %d: sent for a finished request: %v", s.seed, sent)
	}
	if s.excluded[sent.Server] || s.excluded[sent.FillSource] {
		s.Fatalf("seed %d: sent to a server that is not ready: %v", s.seed, sent)
	}
	if s.live[sent.ID]++; s.live[sent.ID] > 1 {
		s.Fatalf("seed %d: two attempts at once: %v", s.seed, sent)
	}
	s.inflight = append(s.inflight, streamAttempt{sent, s.attempts[sent.ID]})
	if s.attempts[sent.ID]++; s.attempts[sent.ID] > s.router.settings.MaxAttempts {
		s.Fatalf("seed %d: too many attempts: %v", s.seed, sent)
	}
}

func (s *randomStream) checkAnswer(id RequestID, answer Action) {
	if _, ok := s.deadline[id]; !ok {
		s.Fatalf("seed %d: second answer: %v", s.seed, answer)
	}
	delete(s.deadline, id)
}

func (s *randomStream) fireTimers() {
	for i := 0; i < len(s.timers); {
		if s.timers[i].at > s.now {
			i++
			continue
		}
		token := s.timers[i].token
		s.timers = slices.Delete(s.timers, i, i+1)
		s.notify(TimerFired{token})
	}
}

func (s *randomStream) endOverdueAttempts() {
	for i := 0; i < len(s.inflight); {
		if s.inflight[i].Deadline <= s.now {
			s.endAttempt(i, TimedOut)
			continue
		}
		i++
	}
}

func (s *randomStream) endAttempt(i int, result Result) {
	attempt := s.inflight[i]
	s.inflight = slices.Delete(s.inflight, i, i+1)
	s.live[attempt.ID]--
	_, open := s.deadline[attempt.ID]
	if result == Served {
		delete(s.deadline, attempt.ID)
	}
	s.notify(Outcome{ID: attempt.ID, Attempt: attempt.index, Server: attempt.Server, Result: result,
		CacheStatus: CacheStatus(s.random.IntN(11)), Duration: time.Duration(s.random.IntN(900)) * ms,
		RequestDone: result == Served || !open, Load: LoadReport{LinkUtilization: s.random.Float64() * 4}})
}

// randomEvent feeds the event of a step, drawn by lot.
func (s *randomStream) randomEvent(step int) {
	switch lot := s.random.IntN(100); {
	case lot < 45:
		s.randomRequest(RequestID(step + 1))
	case lot < 92:
		if len(s.inflight) > 0 {
			s.endAttempt(s.random.IntN(len(s.inflight)), Result(min(s.random.IntN(16), int(NotCached))*s.random.IntN(2)))
		}
	case lot < 95:
		listed := fleet()[s.random.IntN(7)]
		listed.Phase = Phase(s.random.IntN(3))
		listed.StartedAt = s.now - time.Duration(s.random.IntN(5000))*ms
		s.excluded[listed.ID] = listed.Phase != Ready
		s.notify(EndpointUpdate{Servers: []Server{listed}})
	case lot < 98:
		s.notify(Purge{Object: ObjectID(s.random.IntN(50)), Group: s.random.IntN(4), Age: time.Duration(s.random.IntN(400)) * ms})
	default:
		id := RequestID(1 + s.random.IntN(step+1))
		if _, ok := s.deadline[id]; ok {
			delete(s.deadline, id)
			s.notify(ClientDisconnected{id})
		}
	}
}

func (s *randomStream) randomRequest(id RequestID) {
	class := s.random.IntN(4)
	timeout := time.Duration(1+s.random.Int64N(int64(s.router.settings.Classes[class].Deadline/ms))) * ms
	s.deadline[id] = s.now + timeout
	s.notify(Request{ID: id, Class: class, Object: ObjectID(1 + s.random.IntN(50)), PurgeGroup: s.random.IntN(4),
		Timeout: timeout, SizeKB: float64(s.random.IntN(800))})
}

func handleEvent(r *Router, now time.Duration, ev Event) []Action { return r.Handle(now, ev, nil) }

func TestRandomStreamsKeepTheRules(t *testing.T) {
	for seed := range uint64(30) {
		playRandomStream(t, seed, handleEvent)
	}
}

// The same events give the same actions, also beside another busy instance.
func TestReplay(t *testing.T) {
	want := playRandomStream(t, 3, handleEvent)
	other := newHarness(t, settings(), fleet())
	got := playRandomStream(t, 3, func(r *Router, now time.Duration, ev Event) []Action {
		other.request(Request{Object: ObjectID(now), SizeKB: 5})
		return r.Handle(now, ev, nil)
	})
	if !reflect.DeepEqual(want, got) {
		t.Error("a replay gave other actions")
	}
}
