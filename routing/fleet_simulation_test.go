package routing_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"garnetline/routing"
)

// simServer is one simulated server: what is listed of it, and how it behaves at present.
type simServer struct {
	listed       routing.Server
	unresponsive bool    // answers nothing
	down         bool    // takes no connection
	errors       float64 // share of what it fails
	rejects      float64 // share of what it rejects
	slow         float64 // by which all it does takes longer
}

// simAttempt is an attempt that a simulated server has in hand.
type simAttempt struct {
	send    routing.SendAttempt
	request routing.Request
	index   int
	started time.Duration
	ended   bool
}

// simEvent is something due at a time: exactly one of its other fields is set.
type simEvent struct {
	at      time.Duration
	order   int
	timer   *uint64
	outcome *routing.Outcome
	attempt *simAttempt // that outcome ends
	step    func()
}

// simQueue is a heap of events in the order of their times.
type simQueue []*simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation plays a scenario on one router.
type simulation struct {
	traceScenario
	random   *rand.Rand
	router   *routing.Router
	set      routing.Settings
	now, end time.Duration
	queue    simQueue
	order    int
	servers  []*simServer
	open     map[routing.RequestID]routing.Request
	counts   map[routing.RequestID]int // attempts by request
	out      []*simAttempt
	nextID   routing.RequestID
	load     float64 // requests now, as a multiple of the scenario's rate
	link     float64 // utilization of the zone's link
	hits     float64 // share of looks that find a copy
	trace    traceWriter
}

func newSimulation(t *testing.T, scenario traceScenario) *simulation {
	t.Helper()
	simulated := &simulation{traceScenario: scenario, set: traceSettings(), now: 1000 * time.Second, nextID: 1, load: 1, hits: 0.7,
		random: rand.New(rand.NewPCG(scenario.seed, 17)),
		open:   map[routing.RequestID]routing.Request{}, counts: map[routing.RequestID]int{}}
	simulated.end = simulated.now + scenario.length
	simulated.trace.hash = sha256.New()
	if scenario.settings != nil {
		scenario.settings(&simulated.set)
	}
	var err error
	if simulated.router, err = routing.New(simulated.set, scenario.seed); err != nil {
		t.Fatal(err)
	}
	list := traceFleet()
	if scenario.servers != nil {
		list = scenario.servers(list)
	}
	for _, listed := range list {
		simulated.servers = append(simulated.servers, &simServer{listed: listed, slow: 1})
	}
	return simulated
}

// at has step run at a time.
func (s *simulation) at(when time.Duration, event *simEvent) {
	event.at, event.order = when, s.order
	s.order++
	heap.Push(&s.queue, event)
}

func (s *simulation) after(delay time.Duration, step func()) {
	s.at(s.now+delay, &simEvent{step: step})
}

// run plays the scenario to its end, then lets go of what is still open.
func (s *simulation) run() {
	s.handle(routing.EndpointUpdate{Snapshot: true, Servers: s.list()})
	s.after(0, s.arrive)
	s.after(3*time.Second, s.changeRegime)
	s.after(700*time.Millisecond, s.sendUpdates)
	s.after(time.Second, s.printServers)
	if s.updated {
		s.after(s.length/2, s.updateSettings)
	}
	for s.queue.Len() > 0 {
		event := heap.Pop(&s.queue).(*simEvent)
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

func (s *simulation) list() (list []routing.Server) {
	for _, server := range s.servers {
		list = append(list, server.listed)
	}
	return list
}

// handle feeds the router one event, prints the actions and carries them out.
func (s *simulation) handle(event routing.Event) {
	for _, action := range s.router.Handle(s.now, event, nil) {
		s.print(action)
		switch action := action.(type) {
		case routing.SendAttempt:
			s.begin(action)
		case routing.Reject:
			delete(s.open, action.ID)
		case routing.Fail:
			delete(s.open, action.ID)
		case routing.CancelAttempt:
			s.cancel(action)
		case routing.SetTimer:
			token := action.Token
			s.at(s.now+action.Delay, &simEvent{timer: &token})
		case routing.Subscribe:
			s.after(20*time.Millisecond, func() { s.handle(routing.EndpointUpdate{Snapshot: true, Servers: s.list()}) })
		}
	}
}

func (s *simulation) print(action routing.Action) {
	at := s.now - 1000*time.Second
	switch a := action.(type) {
	case routing.SendAttempt:
		s.trace.printf("%d send request=%d server=%d source=%d rank=%d max_age=%d deadline=%d join=%t renew=%t held=%t", at,
			uint64(a.ID), uint64(a.Server), uint64(a.FillSource), a.CopyRank, int64(a.MaxAge), int64(a.Deadline), a.JoinFill, a.Revalidate, a.OnlyIfCached)
	case routing.Reject:
		s.trace.printf("%d reject request=%d retry_after=%d", at, uint64(a.ID), int64(a.RetryAfter))
	case routing.Fail:
		s.trace.printf("%d fail request=%d", at, uint64(a.ID))
	case routing.CancelAttempt:
		s.trace.printf("%d cancel request=%d attempt=%d", at, uint64(a.ID), a.Attempt)
	case routing.SetTimer:
		s.trace.printf("%d timer delay=%d token=%d", at, int64(a.Delay), a.Token)
	case routing.Subscribe:
		s.trace.printf("%d subscribe", at)
	default:
		s.trace.printf("%d unknown", at)
	}
}

// printServers prints once a second which servers the router has ejected.
func (s *simulation) printServers() {
	line := ""
	for _, id := range s.router.AppendEjected(nil) {
		line += fmt.Sprintf(" %d", uint64(id))
	}
	s.trace.printf("%d avoided=%d aside=%s", s.now-1000*time.Second, s.router.UnavailableCount(), line)
	s.after(time.Second, s.printServers)
}

func (s *simulation) arrive() {
	class := []int{0, 0, 0, 1, 1, 1, 1, 2, 3, 4, 5}[s.random.IntN(11)]
	c := s.set.Classes[class]
	request := routing.Request{ID: s.nextID, Class: class, Chunk: s.random.IntN(3), PurgeGroup: s.random.IntN(4), Timeout: c.Deadline,
		ClientRetry: s.random.IntN(9) == 0}
	request.Object = routing.ObjectID(1 + s.random.IntN(400)/(1+s.random.IntN(40)))
	if s.random.IntN(12) == 0 {
		request.Timeout = time.Duration(1 + s.random.Int64N(int64(c.Deadline)))
	}
	if s.sizes && s.random.IntN(15) != 0 {
		request.SizeKB = s.size(request)
	}
	if s.random.IntN(300) == 0 {
		request.Class = len(s.set.Classes) + 1 // never announced
	} else {
		s.open[request.ID] = request
	}
	s.nextID++
	s.handle(request)
	if s.random.IntN(60) == 0 {
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() { s.disconnect(request.ID) })
	}
	if s.random.IntN(400) == 0 {
		s.handle(request) // an id that is open already, or is taken again
	}
	s.after(time.Duration(s.random.ExpFloat64()/(s.rate*s.load)*float64(time.Second)), s.arrive)
}

func (s *simulation) disconnect(id routing.RequestID) {
	delete(s.open, id)
	s.handle(routing.ClientDisconnected{ID: id})
}

// size is the size of an object's part in KB.
func (s *simulation) size(q routing.Request) float64 {
	return float64(5 + (uint64(q.Object)*7919+uint64(q.Chunk)*104729)%400)
}

func (s *simulation) server(id routing.ServerID) *simServer {
	for _, server := range s.servers {
		if server.listed.ID == id {
			return server
		}
	}
	return &simServer{down: true, slow: 1}
}

// begin decides when and how an attempt will end.
func (s *simulation) begin(send routing.SendAttempt) {
	a := &simAttempt{send: send, request: s.open[send.ID], index: s.counts[send.ID], started: s.now}
	s.counts[send.ID]++
	s.out = append(s.out, a)
	o, delay := s.outcome(a)
	if s.now+delay >= send.Deadline {
		o.Result, o.CacheStatus, o.RequestDone, o.BodyBytes, delay = routing.TimedOut, routing.CacheStatusUnknown, false, 0, send.Deadline-s.now
	}
	if s.random.IntN(150) == 0 {
		o.Result, o.CacheStatus, o.RequestDone = routing.ConnectionLost, routing.CacheStatusUnknown, false
		s.after(delay, func() { s.breakConnection(send.Server) })
	}
	s.at(s.now+delay, &simEvent{outcome: &o, attempt: a})
}

// breakConnection ends all that a server has in hand.
func (s *simulation) breakConnection(id routing.ServerID) {
	for _, a := range slices.Clone(s.out) {
		if a.send.Server == id && !a.ended {
			s.finish(a, routing.Outcome{Result: routing.ConnectionLost, Load: s.noLoad()})
		}
	}
}

func (s *simulation) cancel(c routing.CancelAttempt) {
	for _, a := range s.out {
		if a.send.ID == c.ID && a.index == c.Attempt && !a.ended {
			s.at(s.now+2*time.Millisecond, &simEvent{outcome: &routing.Outcome{Result: routing.Canceled, Load: s.noLoad()}, attempt: a})
		}
	}
}

func (s *simulation) noLoad() routing.LoadReport {
	nan := math.NaN()
	return routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
}

// outcome draws the end of an attempt and the time until then.
func (s *simulation) outcome(attempt *simAttempt) (routing.Outcome, time.Duration) {
	target := s.server(attempt.send.Server)
	outcome := routing.Outcome{Load: s.noLoad()}
	if s.loads && s.random.IntN(3) > 0 {
		outcome.Load.LinkUtilization = s.link * (0.8 + 0.4*s.random.Float64())
	}
	quick := time.Duration(1+s.random.IntN(8)) * time.Millisecond
	fills := attempt.send.FillSource != attempt.send.Server
	hit := !s.set.Classes[attempt.request.Class].Write && s.random.Float64() < s.hits
	switch {
	case target.down:
		outcome.Result = routing.ConnectFailed
	case target.unresponsive:
		return outcome, time.Hour
	case s.random.IntN(400) == 0:
		outcome.Result = routing.NotSent
	case s.random.Float64() < target.rejects:
		outcome.Result = routing.Rejected
		if fills && s.random.IntN(3) == 0 {
			outcome.CacheStatus = s.status(routing.FillRejected)
		}
	case s.random.Float64() < target.errors:
		outcome.Result = routing.ServerError
	case hit && target.listed.Kind != s.set.OriginKind:
		outcome.CacheStatus = s.status(routing.Hit, routing.Hit, routing.Hit, routing.StaleHit)
		return s.served(attempt, outcome, s.transferSeconds(attempt)*target.slow, 0)
	case !fills && target.listed.Kind != s.set.OriginKind:
		outcome.Result = routing.NotCached
		if s.random.IntN(20) == 0 { // it joined another request's fill, which failed
			outcome.Result, outcome.CacheStatus = routing.ServerError, s.status(routing.SourceUnreachable)
		}
	default:
		return s.fillOutcome(attempt, outcome, quick)
	}
	return outcome, quick
}

// fillOutcome draws the end of an attempt that its source fills.
func (s *simulation) fillOutcome(attempt *simAttempt, outcome routing.Outcome, quick time.Duration) (routing.Outcome, time.Duration) {
	target, source := s.server(attempt.send.Server), s.server(attempt.send.FillSource)
	seconds := s.transferSeconds(attempt) * max(target.slow, source.slow)
	switch {
	case source.unresponsive:
		return outcome, time.Hour
	case source.down:
		outcome.Result, outcome.CacheStatus = routing.ServerError, s.status(routing.SourceUnreachable)
		return outcome, quick
	case s.random.Float64() < source.rejects:
		outcome.Result, outcome.CacheStatus = routing.Rejected, s.status(routing.SourceRejected)
		return outcome, quick
	case s.random.Float64() < source.errors:
		outcome.Result = routing.ServerError
		outcome.CacheStatus = s.status(routing.SourceUnreachable, routing.OriginFailed)
		return outcome, 3 * quick
	case attempt.send.OnlyIfCached && s.random.IntN(2) == 0:
		outcome.Result, outcome.CacheStatus = routing.NotCached, s.status(routing.SourceMiss)
		return outcome, quick
	case s.random.IntN(3) == 0:
		outcome.CacheStatus = s.status(routing.FilledByOrigin)
		return s.served(attempt, outcome, seconds, 0.04*s.origin().slow)
	}
	outcome.CacheStatus = s.status(routing.Filled, routing.Filled, routing.JoinedFill)
	return s.served(attempt, outcome, seconds, 0.01*source.slow)
}

// status draws one of several cache statuses; where a site does not tell it, it is unknown.
func (s *simulation) status(statuses ...routing.CacheStatus) routing.CacheStatus {
	status := statuses[0]
	if len(statuses) > 1 {
		status = statuses[s.random.IntN(len(statuses))]
	}
	if !s.statuses || s.set.HitStatusOnly && status >= routing.SourceRejected {
		return routing.CacheStatusUnknown
	}
	return status
}

// transferSeconds is the time that sending an attempt's response takes at full pace.
func (s *simulation) transferSeconds(a *simAttempt) float64 { return s.size(a.request) / 1000 }

func (s *simulation) origin() *simServer { return s.servers[len(s.servers)-1] }

// served is a success that waits for its source and then takes some seconds to send.
func (s *simulation) served(a *simAttempt, o routing.Outcome, sending, wait float64) (routing.Outcome, time.Duration) {
	o.Result, o.RequestDone = routing.Served, true
	if s.set.BodyBytesPerSecond > 0 {
		o.BodyBytes = int(s.size(a.request) / 1000 * s.set.BodyBytesPerSecond)
	}
	if s.statuses && !s.set.HitStatusOnly {
		o.SourceWait = time.Duration(wait * float64(time.Second))
	}
	took := (wait + sending) * (0.7 + 0.8*s.random.Float64())
	return o, o.SourceWait + time.Duration(took*float64(time.Second))
}

// finish reports the end of an attempt, once.
func (s *simulation) finish(a *simAttempt, o routing.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	s.out = slices.DeleteFunc(s.out, func(x *simAttempt) bool { return x == a })
	o.ID, o.Attempt, o.Server, o.Duration = a.send.ID, a.index, a.send.Server, s.now-a.started
	_, open := s.open[a.send.ID]
	o.RequestDone = o.RequestDone || !open
	if o.Result == routing.Served {
		delete(s.open, a.send.ID)
	}
	s.handle(o)
}

// changeRegime ends the faults of the last few seconds and begins others.
func (s *simulation) changeRegime() {
	s.load, s.link, s.hits = 1, 0.4, 0.7
	for _, server := range s.servers {
		server.unresponsive, server.down, server.errors, server.rejects, server.slow = false, false, 0.004, 0.002, 1
	}
	one := s.servers[s.random.IntN(len(s.servers))]
	regime := s.random.IntN(14)
	switch regime {
	case 0:
		s.load = 6
	case 1:
		one.unresponsive = true
	case 2:
		one.down = true
	case 3:
		one.errors = 0.7
	case 4:
		one.rejects = 0.6
	case 5:
		one.slow = 12
	case 6:
		s.origin().slow, s.hits = 80, 0.2
	case 7:
		s.origin().rejects, s.origin().errors, s.hits = 0.4, 0.3, 0.3
	case 8:
		s.link, s.hits, s.load = 4, 0.3, 2
	case 13:
		s.origin().unresponsive, s.hits = true, 0.3
	default:
		s.beginKindFault(regime)
	}
	s.after(time.Duration(1500+s.random.IntN(3500))*time.Millisecond, s.changeRegime)
}

// beginKindFault begins a fault that all servers of a kind have.
func (s *simulation) beginKindFault(regime int) {
	const cacheKind = 0
	switch regime {
	case 9:
		for _, server := range s.ofKind(s.set.ParentKind) {
			server.unresponsive = true
		}
	case 10:
		for _, server := range s.ofKind(cacheKind) {
			server.slow, server.rejects = 4, 0.3
		}
	case 11:
		for _, server := range s.ofKind(cacheKind) {
			if server.listed.Zone == s.set.Zone {
				s.restart(server)
			}
		}
	case 12:
		for _, server := range s.ofKind(s.set.ParentKind) {
			server.slow, server.rejects = 6, 0.2
		}
		s.hits = 0.3
	}
}

func (s *simulation) ofKind(kind int) (list []*simServer) {
	for _, server := range s.servers {
		if server.listed.Kind == kind {
			list = append(list, server)
		}
	}
	return list
}

// restart lists a server as removed and, after a moment, as freshly started.
func (s *simulation) restart(server *simServer) {
	server.down, server.listed.Phase = true, routing.Removed
	s.handle(routing.EndpointUpdate{Servers: []routing.Server{server.listed}})
	s.after(time.Duration(s.random.IntN(1500))*time.Millisecond, func() {
		server.down, server.listed.Phase, server.listed.StartedAt = false, routing.Ready, s.now
		s.handle(routing.EndpointUpdate{Servers: []routing.Server{server.listed}})
	})
}

// sendUpdates sends what comes from elsewhere: endpoint updates, purges, reports of other routers.
func (s *simulation) sendUpdates() {
	one := s.servers[s.random.IntN(len(s.servers))]
	switch s.random.IntN(12) {
	case 0:
		one.listed.Phase = routing.Draining
		s.handle(routing.EndpointUpdate{Servers: []routing.Server{one.listed}})
		s.after(time.Duration(s.random.IntN(3000))*time.Millisecond, func() { s.restart(one) })
	case 1:
		s.handle(routing.EndpointUpdate{Failed: true})
	case 2:
		s.handle(routing.EndpointUpdate{Snapshot: true, Servers: s.list()})
	case 3:
		s.handle(routing.Purge{Object: routing.ObjectID(1 + s.random.IntN(400)), Age: time.Duration(s.random.IntN(900)) * time.Millisecond})
	case 4:
		s.handle(routing.Purge{Group: s.random.IntN(4), Age: time.Duration(s.random.IntN(900)) * time.Millisecond})
	case 5:
		load := s.noLoad()
		load.LinkUtilization = 3 * s.random.Float64()
		s.handle(routing.PeerLoadReport{Server: one.listed.ID, Load: load, Age: time.Duration(s.random.IntN(1200)) * time.Millisecond})
	case 6, 7:
		s.handle(routing.ExtendEjection{Server: one.listed.ID, Until: s.now + time.Duration(s.random.IntN(8000))*time.Millisecond})
	case 8, 9:
		s.handle(routing.RequireProbe{Server: one.listed.ID})
	case 10:
		s.handle(routing.Outcome{ID: s.nextID + 5, Load: s.noLoad()}) // of nobody
		s.handle(routing.TimerFired{Token: s.random.Uint64()})
	case 11:
		guest := routing.Server{ID: 50 + routing.ServerID(s.random.IntN(3)), Zone: 1, Phase: routing.Ready, Weight: 6, StartedAt: s.now}
		s.handle(routing.EndpointUpdate{Servers: []routing.Server{guest}})
		s.after(time.Second, func() {
			guest.Phase = routing.Removed
			s.handle(routing.EndpointUpdate{Servers: []routing.Server{guest}})
		})
	}
	s.after(time.Duration(100+s.random.IntN(900))*time.Millisecond, s.sendUpdates)
}

// updateSettings gives the router other settings: one class more, other quotas.
func (s *simulation) updateSettings() {
	s.set.Classes = append(slices.Clone(s.set.Classes), routing.Class{Name: "new", LatencyObjective: 300 * time.Millisecond,
		Deadline: 2 * time.Second, PriorityWeight: 1})
	s.set.RoutersByZone = []int{0, 3, 1}
	s.set.CacheSlowStart.InitialCapacity = 0.4
	if err := s.router.UpdateSettings(s.set); err != nil {
		s.trace.printf("settings not adopted")
	}
}
