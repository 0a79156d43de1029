package routing_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"garnetline/routing"
)

// simulationStart is the time at which a simulation begins. Times in a trace are relative to it.
const simulationStart = 1000 * time.Second

// simulation runs a scenario on one router. The recorded decisions depend on the order in which the
// simulation draws random numbers.
type simulation struct {
	traceScenario
	random         *rand.Rand
	router         *routing.Router
	routerSettings routing.Settings
	now            time.Duration
	end            time.Duration
	queue          eventQueue
	scheduled      int // number of events scheduled so far
	servers        []*simulatedServer
	open           map[routing.RequestID]routing.Request // requests without a final answer
	attemptCounts  map[routing.RequestID]int
	inflight       []*simulatedAttempt
	nextID         routing.RequestID
	trace          traceWriter
	conditions
}

// conditions are the properties of load, link and caches that change during a simulation.
type conditions struct {
	load            float64 // present request rate as a multiple of the scenario's rate
	linkUtilization float64 // utilization of the zone's link
	hitRatio        float64 // fraction of lookups that find a copy
}

func newSimulation(t *testing.T, scenario traceScenario) *simulation {
	t.Helper()
	simulated := &simulation{
		traceScenario:  scenario,
		random:         rand.New(rand.NewPCG(scenario.seed, 17)),
		routerSettings: traceSettings(),
		now:            simulationStart,
		end:            simulationStart + scenario.length,
		open:           map[routing.RequestID]routing.Request{},
		attemptCounts:  map[routing.RequestID]int{},
		nextID:         1,
		trace:          traceWriter{hash: sha256.New()},
		conditions:     conditions{load: 1, hitRatio: 0.7},
	}
	if scenario.settings != nil {
		scenario.settings(&simulated.routerSettings)
	}
	router, err := routing.New(simulated.routerSettings, scenario.seed)
	if err != nil {
		t.Fatal(err)
	}
	simulated.router = router
	list := traceFleet()
	if scenario.servers != nil {
		list = scenario.servers(list)
	}
	for _, listed := range list {
		simulated.servers = append(simulated.servers, &simulatedServer{listed: listed, slowdown: 1})
	}
	return simulated
}

// run runs the scenario to its end, and then handles the outstanding timers and outcomes.
func (s *simulation) run() {
	s.handle(routing.EndpointUpdate{Snapshot: true, Servers: s.list()})
	s.after(0, s.sendRequest)
	s.after(3*time.Second, s.changeConditions)
	s.after(700*time.Millisecond, s.sendUpdates)
	s.after(time.Second, s.printServers)
	if s.updated {
		s.after(s.length/2, s.updateSettings)
	}
	for s.queue.Len() > 0 {
		event := s.queue.next()
		s.now = event.at
		switch {
		case event.step != nil:
			if s.now < s.end {
				event.step()
			}
		case event.timer != nil:
			s.handle(routing.TimerFired{Token: *event.timer})
		default:
			s.finish(event.attempt, *event.outcome)
		}
	}
	s.trace.printHash()
}

// handle passes an event to the router, prints the returned actions and carries them out.
func (s *simulation) handle(event routing.Event) {
	for _, action := range s.router.Handle(s.now, event, nil) {
		s.print(action)
		switch action := action.(type) {
		case routing.SendAttempt:
			s.beginAttempt(action)
		case routing.Reject:
			delete(s.open, action.ID)
		case routing.Fail:
			delete(s.open, action.ID)
		case routing.CancelAttempt:
			s.cancelAttempt(action)
		case routing.SetTimer:
			token := action.Token
			s.schedule(s.now+action.Delay, &simulatedEvent{timer: &token})
		case routing.Subscribe:
			s.after(20*time.Millisecond, s.sendSnapshot)
		}
	}
}

// print adds a line for an action to the trace. The golden files hold the keys of the line.
func (s *simulation) print(action routing.Action) {
	elapsed := s.now - simulationStart
	switch action := action.(type) {
	case routing.SendAttempt:
		s.trace.printf("%d send request=%d server=%d source=%d rank=%d max_age=%d deadline=%d join=%t renew=%t held=%t",
			elapsed, uint64(action.ID), uint64(action.Server), uint64(action.FillSource), action.CopyRank,
			int64(action.MaxAge), int64(action.Deadline), action.JoinFill, action.Revalidate, action.OnlyIfCached)
	case routing.Reject:
		s.trace.printf("%d reject request=%d retry_after=%d", elapsed, uint64(action.ID), int64(action.RetryAfter))
	case routing.Fail:
		s.trace.printf("%d fail request=%d", elapsed, uint64(action.ID))
	case routing.CancelAttempt:
		s.trace.printf("%d cancel request=%d attempt=%d", elapsed, uint64(action.ID), action.Attempt)
	case routing.SetTimer:
		s.trace.printf("%d timer delay=%d token=%d", elapsed, int64(action.Delay), action.Token)
	case routing.Subscribe:
		s.trace.printf("%d subscribe", elapsed)
	default:
		s.trace.printf("%d unknown", elapsed)
	}
}

// printServers adds the servers that the router has ejected to the trace, once a second.
func (s *simulation) printServers() {
	ejected := ""
	for _, id := range s.router.AppendEjected(nil) {
		ejected += fmt.Sprintf(" %d", uint64(id))
	}
	s.trace.printf("%d avoided=%d aside=%s", s.now-simulationStart, s.router.UnavailableCount(), ejected)
	s.after(time.Second, s.printServers)
}

// schedule adds an event to the queue. The event is handled at the given time.
func (s *simulation) schedule(at time.Duration, event *simulatedEvent) {
	event.at = at
	event.order = s.scheduled
	s.scheduled++
	heap.Push(&s.queue, event)
}

// after schedules a call of step after a delay. The call is skipped if the scenario ends before it is due.
func (s *simulation) after(delay time.Duration, step func()) {
	s.schedule(s.now+delay, &simulatedEvent{step: step})
}

// simulatedEvent is an event of a simulation: a step, a timer, or the outcome of an attempt.
type simulatedEvent struct {
	at      time.Duration // time at which the event is due
	order   int           // order among the events that are due at the same time
	timer   *uint64
	outcome *routing.Outcome
	attempt *simulatedAttempt // attempt that outcome ends
	step    func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []*simulatedEvent

// next removes the earliest event and returns it.
func (q *eventQueue) next() *simulatedEvent {
	earliest := (*q)[0]
	heap.Pop(q)
	return earliest
}

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Push and Pop implement heap.Interface.
func (q *eventQueue) Push(event any) { *q = append(*q, event.(*simulatedEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
