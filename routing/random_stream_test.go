package routing

import (
	"fmt"
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
	step     stepFunc
	all      []Action
	inflight []streamAttempt
	timers   []streamTimer
	attempts map[RequestID]int           // sent for a request
	live     map[RequestID]int           // of them, in flight
	deadline map[RequestID]time.Duration // of requests that are owed an answer
	excluded map[ServerID]bool           // not listed as ready
}

// stepFunc feeds a router one event and returns its actions.
type stepFunc func(router *Router, now time.Duration, event Event) []Action

type streamAttempt struct {
	SendAttempt
	index int
}

type streamTimer struct {
	at    time.Duration
	token uint64
}

// playRandomStream plays a stream of 3,000 steps and returns the actions.
func playRandomStream(t *testing.T, seed uint64, step stepFunc) []Action {
	t.Helper()
	stream := &randomStream{
		harness:  newHarness(t, settings(), fleet()),
		seed:     seed,
		step:     step,
		random:   rand.New(rand.NewPCG(seed, 7)),
		attempts: map[RequestID]int{},
		live:     map[RequestID]int{},
		deadline: map[RequestID]time.Duration{},
		excluded: map[ServerID]bool{},
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

// checkDeadlines wants no request up to the newest to be owed an answer for long.
func (s *randomStream) checkDeadlines(newest RequestID) {
	const allowance = 28 * millisecond // a timer fires up to a step of 20 ms late
	for id := RequestID(1); id <= newest; id++ {
		deadline, owed := s.deadline[id]
		if owed && deadline+allowance < s.now {
			s.Fatalf("seed %d: request %d is overdue since %v, now %v", s.seed, id, deadline, s.now)
		}
	}
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
			s.timers = append(s.timers, streamTimer{at: s.now + timer.Delay, token: timer.Token})
		}
	}
}

func (s *randomStream) checkAttempt(sent SendAttempt) {
	if _, owed := s.deadline[sent.ID]; !owed {
		s.Fatalf("seed %d: sent for a finished request: %v", s.seed, sent)
	}
	if s.excluded[sent.Server] || s.excluded[sent.FillSource] {
		s.Fatalf("seed %d: sent to a server that is not ready: %v", s.seed, sent)
	}
	s.live[sent.ID]++
	if s.live[sent.ID] > 1 {
		s.Fatalf("seed %d: %d attempts at once: %v", s.seed, s.live[sent.ID], sent)
	}
	s.inflight = append(s.inflight, streamAttempt{SendAttempt: sent, index: s.attempts[sent.ID]})
	s.attempts[sent.ID]++
	if most := s.router.settings.MaxAttempts; s.attempts[sent.ID] > most {
		s.Fatalf("seed %d: %d attempts, want at most %d: %v", s.seed, s.attempts[sent.ID], most, sent)
	}
}

func (s *randomStream) checkAnswer(id RequestID, answer Action) {
	if _, owed := s.deadline[id]; !owed {
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
	s.live[attempt.ID]--
	_, owed := s.deadline[attempt.ID]
	if result == Served {
		delete(s.deadline, attempt.ID)
	}
	s.notify(Outcome{
		ID: attempt.ID, Attempt: attempt.index, Server: attempt.Server, Result: result,
		CacheStatus: CacheStatus(s.random.IntN(11)),
		Duration:    time.Duration(s.random.IntN(900)) * millisecond,
		RequestDone: result == Served || !owed,
		Load:        LoadReport{LinkUtilization: s.random.Float64() * 4},
	})
}

// randomEvent feeds the event of a step, drawn by lot.
func (s *randomStream) randomEvent(step int) {
	switch lot := s.random.IntN(100); {
	case lot < 45:
		s.randomRequest(RequestID(step + 1))
	case lot < 92:
		s.randomOutcome()
	case lot < 95:
		s.randomUpdate()
	case lot < 98:
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
	result := min(s.random.IntN(16), int(NotCached)) * s.random.IntN(2) // a half is served
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
	if _, owed := s.deadline[id]; owed {
		delete(s.deadline, id)
		s.notify(ClientDisconnected{ID: id})
	}
}

func handleEvent(router *Router, now time.Duration, event Event) []Action {
	return router.Handle(now, event, nil)
}

func TestRandomStreamsKeepTheRules(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			playRandomStream(t, seed, handleEvent)
		})
	}
}

// The same events give the same actions, also beside another busy instance.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	want := playRandomStream(t, 3, handleEvent)
	other := newHarness(t, settings(), fleet())
	got := playRandomStream(t, 3, func(router *Router, now time.Duration, event Event) []Action {
		other.request(Request{Object: ObjectID(now), SizeKB: 5})
		return router.Handle(now, event, nil)
	})
	if !reflect.DeepEqual(got, want) {
		t.Errorf("a replay gave %d actions, want the same %d", len(got), len(want))
	}
}
