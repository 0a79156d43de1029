package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// randomStream generates a valid stream of events from a seed and passes them to a router. It checks that the
// router's actions keep the invariants.
type randomStream struct {
	*harness
	seed           uint64
	random         *rand.Rand
	step           stepFunc
	all            []Action
	inflight       []streamAttempt
	timers         []streamTimer
	attempts       map[RequestID]int           // number of attempts sent, by request
	inflightCounts map[RequestID]int           // number of attempts in flight, by request
	deadline       map[RequestID]time.Duration // deadline of each request that has no final answer yet
	excluded       map[ServerID]bool           // servers that are not listed as ready
}

// stepFunc passes an event to a router and returns its actions.
type stepFunc func(router *Router, now time.Duration, event Event) []Action

type streamAttempt struct {
	SendAttempt
	index int
}

type streamTimer struct {
	at    time.Duration
	token uint64
}

// runRandomStream passes a random stream of 3,000 steps to a router and returns the router's actions.
func runRandomStream(t *testing.T, seed uint64, step stepFunc) []Action {
	t.Helper()
	stream := &randomStream{
		harness:        newHarness(t, settings(), fleet()),
		seed:           seed,
		step:           step,
		random:         rand.New(rand.NewPCG(seed, 7)),
		attempts:       map[RequestID]int{},
		inflightCounts: map[RequestID]int{},
		deadline:       map[RequestID]time.Duration{},
		excluded:       map[ServerID]bool{},
	}
	for i := range 3000 {
		stream.now += time.Duration(stream.random.IntN(20)) * millisecond
		stream.fireTimers()
		stream.endOverdueAttempts()
		stream.checkDeadlines(RequestID(i))
		stream.randomEvent(i)
	}
	return stream.all
}

// checkDeadlines fails the test if a request has no answer shortly after its deadline. newest is the highest
// ID to check.
func (s *randomStream) checkDeadlines(newest RequestID) {
	const allowance = 28 * millisecond // a timer fires up to 20 ms late, the longest time between two steps
	for id := RequestID(1); id <= newest; id++ {
		deadline, pending := s.deadline[id]
		if pending && deadline+allowance < s.now {
			s.Fatalf("seed %d: got no answer to request %d by its deadline %v, now %v", s.seed, id, deadline, s.now)
		}
	}
}

// notify passes an event to the router, and checks and records the actions.
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
			s.timers = append(s.timers, streamTimer{at: s.now + timer.Delay, token: timer.Token})
		}
	}
}

func (s *randomStream) checkAttempt(sent SendAttempt) {
	if _, pending := s.deadline[sent.ID]; !pending {
		s.Fatalf("seed %d: got an attempt for a finished request: %v", s.seed, sent)
	}
	if s.excluded[sent.Server] || s.excluded[sent.FillSource] {
		s.Fatalf("seed %d: got an attempt with a target or source that is not ready: %v", s.seed, sent)
	}
	s.inflightCounts[sent.ID]++
	if s.inflightCounts[sent.ID] > 1 {
		s.Fatalf("seed %d: got %d attempts of a request in flight, want at most 1: %v", s.seed, s.inflightCounts[sent.ID], sent)
	}
	s.inflight = append(s.inflight, streamAttempt{SendAttempt: sent, index: s.attempts[sent.ID]})
	s.attempts[sent.ID]++
	if most := s.router.settings.MaxAttempts; s.attempts[sent.ID] > most {
		s.Fatalf("seed %d: got %d attempts of a request, want at most %d: %v", s.seed, s.attempts[sent.ID], most, sent)
	}
}

func (s *randomStream) checkAnswer(id RequestID, answer Action) {
	if _, pending := s.deadline[id]; !pending {
		s.Fatalf("seed %d: got an answer to a request that is already answered or ended: %v", s.seed, answer)
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
		s.notify(TimerFired{Token: token})
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

func (s *randomStream) endAttempt(index int, result Result) {
	attempt := s.inflight[index]
	s.inflight = slices.Delete(s.inflight, index, index+1)
	s.inflightCounts[attempt.ID]--
	_, pending := s.deadline[attempt.ID]
	if result == Served {
		delete(s.deadline, attempt.ID)
	}
	s.notify(Outcome{
		ID: attempt.ID, Attempt: attempt.index, Server: attempt.Server, Result: result,
		CacheStatus: CacheStatus(s.random.IntN(11)),
		Duration:    time.Duration(s.random.IntN(900)) * millisecond,
		RequestDone: result == Served || !pending,
		Load:        LoadReport{LinkUtilization: s.random.Float64() * 4},
	})
}

// randomEvent passes a random event to the router.
func (s *randomStream) randomEvent(step int) {
	switch draw := s.random.IntN(100); {
	case draw < 45:
		s.randomRequest(RequestID(step + 1))
	case draw < 92:
		s.randomOutcome()
	case draw < 95:
		s.randomUpdate()
	case draw < 98:
		s.notify(Purge{
			Object: ObjectID(s.random.IntN(50)),
			Group:  s.random.IntN(4),
			Age:    time.Duration(s.random.IntN(400)) * millisecond,
		})
	default:
		s.randomDisconnect(step)
	}
}

func (s *randomStream) randomRequest(id RequestID) {
	class := s.random.IntN(4)
	mostMilliseconds := int64(s.router.settings.Classes[class].Deadline / millisecond)
	timeout := time.Duration(1+s.random.Int64N(mostMilliseconds)) * millisecond
	s.deadline[id] = s.now + timeout
	s.notify(Request{
		ID: id, Class: class,
		Object:     ObjectID(1 + s.random.IntN(50)),
		PurgeGroup: s.random.IntN(4),
		Timeout:    timeout,
		SizeKB:     float64(s.random.IntN(800)),
	})
}

func (s *randomStream) randomOutcome() {
	if len(s.inflight) == 0 {
		return
	}
	index := s.random.IntN(len(s.inflight))
	result := min(s.random.IntN(16), int(NotCached)) * s.random.IntN(2) // at least half of the attempts are served
	s.endAttempt(index, Result(result))
}

func (s *randomStream) randomUpdate() {
	listed := fleet()[s.random.IntN(7)]
	listed.Phase = Phase(s.random.IntN(3))
	listed.StartedAt = s.now - time.Duration(s.random.IntN(5000))*millisecond
	s.excluded[listed.ID] = listed.Phase != Ready
	s.notify(EndpointUpdate{Servers: []Server{listed}})
}

func (s *randomStream) randomDisconnect(step int) {
	id := RequestID(1 + s.random.IntN(step+1))
	if _, pending := s.deadline[id]; pending {
		delete(s.deadline, id)
		s.notify(ClientDisconnected{ID: id})
	}
}

func handleEvent(router *Router, now time.Duration, event Event) []Action {
	return router.Handle(now, event, nil)
}

// TestRandomStreamsKeepInvariants checks that routers keep the invariants for random streams of events.
func TestRandomStreamsKeepInvariants(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runRandomStream(t, seed, handleEvent)
		})
	}
}

// TestSameEventsGiveTheSameActions checks that a router returns the same actions for the same events, even
// if another router handles other events in between.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	want := runRandomStream(t, 3, handleEvent)
	other := newHarness(t, settings(), fleet())
	got := runRandomStream(t, 3, func(router *Router, now time.Duration, event Event) []Action {
		other.request(Request{Object: ObjectID(now), SizeKB: 5})
		return router.Handle(now, event, nil)
	})
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %d actions in a replay that differ from the %d actions of the first run, want equal actions", len(got), len(want))
	}
}
