package routing_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"garnetline/internal/golden"
	"garnetline/routing"
)

const (
	traceLines    = 60   // lines at the start of a trace that are kept as text
	traceHashStep = 1000 // lines between two hashes
)

// traceScenario is one set of settings and what the simulated fleet does under them.
type traceScenario struct {
	name      string
	seed      uint64
	settings  func(*routing.Settings)
	servers   func([]routing.Server) []routing.Server
	notes     bool    // outcomes tell how the object was met
	sizes     bool    // requests tell their size
	loads     bool    // outcomes carry load reports
	rate      float64 // requests a second
	length    time.Duration
	readopted bool // other settings are adopted halfway
}

func traceScenarios() []traceScenario {
	weights := func(weight float64) func([]routing.Server) []routing.Server {
		return func(list []routing.Server) []routing.Server {
			for i := range list {
				list[i].Weight = weight
			}
			return list
		}
	}
	// metered is a site without notes, whose weights tell sizes and answers their bytes.
	metered := func(routers int) func(*routing.Settings) {
		return func(s *routing.Settings) {
			s.WeightIsCapacity, s.BodyBytesPerSecond = true, 100_000
			s.RoutersByZone, s.Routers = []int{0, routers, 1}, routers+1
		}
	}
	return []traceScenario{
		{name: "notes", seed: 1, notes: true, sizes: true, loads: true, rate: 120, length: 60 * time.Second, readopted: true},
		{name: "notes-unsized", seed: 2, notes: true, loads: true, rate: 60, length: 60 * time.Second},
		{name: "metered", seed: 3, settings: metered(1), servers: weights(6), rate: 60, length: 60 * time.Second, readopted: true},
		{name: "metered-thin", seed: 4, settings: metered(8), servers: weights(6), rate: 25, length: 60 * time.Second},
		{name: "metered-thinnest", seed: 5, settings: metered(40), servers: weights(4), rate: 10, length: 60 * time.Second},
		{name: "untold", seed: 6, rate: 60, length: 60 * time.Second},
		{name: "hits-only", seed: 7, notes: true, sizes: true, rate: 80, length: 60 * time.Second,
			settings: func(s *routing.Settings) { s.HitStatusOnly, s.CanCancel = true, false }},
		{name: "no-bypass", seed: 8, notes: true, sizes: true, loads: true, rate: 80, length: 60 * time.Second,
			settings: func(s *routing.Settings) {
				s.AllowBypass, s.CanJoinFill, s.OriginStopsOnOverload, s.MustSubscribe = false, false, true, true
				s.RoutersByZone, s.MaxRetryAfter, s.MaxAttempts = nil, 0, 3
			}},
		{name: "no-parents", seed: 9, notes: true, sizes: true, loads: true, rate: 80, length: 40 * time.Second,
			settings: func(s *routing.Settings) { s.ParentKind = -1 },
			servers: func(list []routing.Server) []routing.Server {
				return slices.DeleteFunc(list, func(s routing.Server) bool { return s.Kind == 1 })
			}},
		{name: "only-caches", seed: 10, rate: 50, length: 40 * time.Second,
			settings: func(s *routing.Settings) { s.ParentKind, s.OriginKind = -1, -1 },
			servers:  func(list []routing.Server) []routing.Server { return list[:4] }},
		{name: "pushed-origin", seed: 11, notes: true, sizes: true, rate: 150, length: 30 * time.Second,
			settings: func(s *routing.Settings) { s.RoutersByZone, s.Routers = []int{0, 20, 1}, 21 }},
	}
}

func traceSettings() routing.Settings {
	ms, sec := time.Millisecond, time.Second
	return routing.Settings{
		Zones: 3, Zone: 1, Kinds: 3, ParentKind: 1, OriginKind: 2,
		RoutersByZone: []int{0, 1, 1}, Routers: 2, MaxAttempts: 6, MaxRetryAfter: 500 * ms,
		CanCancel: true, CanJoinFill: true, AllowBypass: true, TransferKBPerSecond: 1000,
		DrainGrace: 250 * ms, PurgeGrace: 300 * ms, PurgeRetention: 6 * sec,
		CacheSlowStart:  routing.SlowStart{InitialCapacity: 0.2, Duration: 10 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		ParentSlowStart: routing.SlowStart{InitialCapacity: 0.1, Duration: 20 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		Classes: []routing.Class{
			{Name: "big", Idempotency: routing.Idempotent, LatencyObjective: 600 * ms, ObjectiveTransferFactor: 2, Deadline: 6 * sec, PriorityWeight: 2},
			{Name: "small", Idempotency: routing.Idempotent, LatencyObjective: 250 * ms, ObjectiveTransferFactor: 2, Deadline: 3 * sec, PriorityWeight: 1, FreshnessLifetime: 8 * sec},
			{Name: "write", Idempotency: routing.IdempotentWithKey, LatencyObjective: 700 * ms, Deadline: 3 * sec, KeyWindow: 2 * sec, PriorityWeight: 3, Write: true},
			{Name: "once", Idempotency: routing.NonIdempotent, LatencyObjective: 700 * ms, Deadline: 3 * sec, PriorityWeight: 3, Write: true},
			{Name: "form", Idempotency: routing.IdempotentWithKey, KeyScope: routing.KeyScopeZone, LatencyObjective: 400 * ms, Deadline: 2 * sec, KeyWindow: sec, PriorityWeight: 4},
			{Name: "cell", Idempotency: routing.IdempotentWithKey, KeyScope: routing.KeyScopeCell, LatencyObjective: 400 * ms, Deadline: 2 * sec, KeyWindow: sec, PriorityWeight: 1},
		},
	}
}

// traceFleet lists four caches in the router's zone and one elsewhere, three parents and an origin.
func traceFleet() []routing.Server {
	return []routing.Server{
		{ID: 21, Zone: 2, Kind: 0, Phase: routing.Ready},
		{ID: 11, Zone: 1, Kind: 0, Cell: 1, Phase: routing.Ready}, {ID: 12, Zone: 1, Kind: 0, Cell: 1, Phase: routing.Ready},
		{ID: 13, Zone: 1, Kind: 0, Cell: 2, Phase: routing.Ready}, {ID: 14, Zone: 1, Kind: 0, Cell: 2, Phase: routing.Ready},
		{ID: 31, Kind: 1, Phase: routing.Ready}, {ID: 32, Kind: 1, Phase: routing.Ready}, {ID: 33, Kind: 1, Phase: routing.Ready},
		{ID: 41, Kind: 2, Phase: routing.Ready},
	}
}

// simServer is one simulated server: what is listed of it, and how it behaves at present.
type simServer struct {
	listed  routing.Server
	silent  bool    // answers nothing
	down    bool    // takes no connection
	errors  float64 // share of what it fails
	rejects float64 // share of what it turns away
	slow    float64 // by which all it does takes longer
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
	link     float64 // fill of the zone's link
	hits     float64 // share of looks that find a copy
	trace    traceWriter
}

// traceWriter keeps the start of a trace as lines and all of it as hashes.
type traceWriter struct {
	all   strings.Builder
	kept  strings.Builder
	hash  hash.Hash
	count int
}

func (w *traceWriter) printf(format string, values ...any) {
	line := fmt.Sprintf(format+"\n", values...)
	w.all.WriteString(line)
	w.hash.Write([]byte(line))
	if w.count++; w.count <= traceLines {
		w.kept.WriteString(line)
	} else if w.count%traceHashStep == 0 {
		w.printHash()
	}
}

func (w *traceWriter) printHash() {
	fmt.Fprintf(&w.kept, "%d lines, sha256 %x\n", w.count, w.hash.Sum(nil)[:12])
}

func newSimulation(t *testing.T, scenario traceScenario) *simulation {
	t.Helper()
	s := &simulation{traceScenario: scenario, set: traceSettings(), now: 1000 * time.Second, nextID: 1, load: 1, hits: 0.7,
		random: rand.New(rand.NewPCG(scenario.seed, 17)),
		open:   map[routing.RequestID]routing.Request{}, counts: map[routing.RequestID]int{}}
	s.end = s.now + scenario.length
	s.trace.hash = sha256.New()
	if scenario.settings != nil {
		scenario.settings(&s.set)
	}
	var err error
	if s.router, err = routing.New(s.set, scenario.seed); err != nil {
		t.Fatal(err)
	}
	list := traceFleet()
	if scenario.servers != nil {
		list = scenario.servers(list)
	}
	for _, listed := range list {
		s.servers = append(s.servers, &simServer{listed: listed, slow: 1})
	}
	return s
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
	s.after(700*time.Millisecond, s.sendNews)
	s.after(time.Second, s.printServers)
	if s.readopted {
		s.after(s.length/2, s.adopt)
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

// printServers prints once a second which servers the router avoids.
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
	q := routing.Request{ID: s.nextID, Class: class, Chunk: s.random.IntN(3), PurgeGroup: s.random.IntN(4), Timeout: c.Deadline,
		ClientRetry: s.random.IntN(9) == 0}
	q.Object = routing.ObjectID(1 + s.random.IntN(400)/(1+s.random.IntN(40)))
	if s.random.IntN(12) == 0 {
		q.Timeout = time.Duration(1 + s.random.Int64N(int64(c.Deadline)))
	}
	if s.sizes && s.random.IntN(15) != 0 {
		q.SizeKB = s.size(q)
	}
	if s.random.IntN(300) == 0 {
		q.Class = len(s.set.Classes) + 1 // never announced
	} else {
		s.open[q.ID] = q
	}
	s.nextID++
	s.handle(q)
	if s.random.IntN(60) == 0 {
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() { s.disconnect(q.ID) })
	}
	if s.random.IntN(400) == 0 {
		s.handle(q) // an id that is open already, or is taken again
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
func (s *simulation) outcome(a *simAttempt) (routing.Outcome, time.Duration) {
	target, source := s.server(a.send.Server), s.server(a.send.FillSource)
	o := routing.Outcome{Load: s.noLoad()}
	if s.loads && s.random.IntN(3) > 0 {
		o.Load.LinkUtilization = s.link * (0.8 + 0.4*s.random.Float64())
	}
	sending := s.size(a.request) / 1000
	quick := time.Duration(1+s.random.IntN(8)) * time.Millisecond
	note := func(n routing.CacheStatus) routing.CacheStatus {
		if !s.notes || s.set.HitStatusOnly && n >= routing.SourceRejected {
			return routing.CacheStatusUnknown
		}
		return n
	}
	write, fills := s.set.Classes[a.request.Class].Write, a.send.FillSource != a.send.Server
	hit := !write && s.random.Float64() < s.hits
	switch {
	case target.down:
		o.Result = routing.ConnectFailed
		return o, quick
	case target.silent:
		return o, time.Hour
	case s.random.IntN(400) == 0:
		o.Result = routing.NotSent
		return o, quick
	case s.random.Float64() < target.rejects:
		o.Result = routing.Rejected
		if fills && s.random.IntN(3) == 0 {
			o.CacheStatus = note(routing.FillRejected)
		}
		return o, quick
	case s.random.Float64() < target.errors:
		o.Result = routing.ServerError
		return o, quick
	case hit && target.listed.Kind != s.set.OriginKind:
		o.CacheStatus = note([]routing.CacheStatus{routing.Hit, routing.Hit, routing.Hit, routing.StaleHit}[s.random.IntN(4)])
		return s.served(a, o, sending*target.slow, 0)
	case !fills && target.listed.Kind != s.set.OriginKind:
		o.Result = routing.NotCached
		if s.random.IntN(20) == 0 { // it joined another request's fill, which failed
			o.Result, o.CacheStatus = routing.ServerError, note(routing.SourceUnreachable)
		}
		return o, quick
	case source.silent:
		return o, time.Hour
	case source.down:
		o.Result, o.CacheStatus = routing.ServerError, note(routing.SourceUnreachable)
		return o, quick
	case s.random.Float64() < source.rejects:
		o.Result, o.CacheStatus = routing.Rejected, note(routing.SourceRejected)
		return o, quick
	case s.random.Float64() < source.errors:
		o.Result, o.CacheStatus = routing.ServerError, note([]routing.CacheStatus{routing.SourceUnreachable, routing.OriginFailed}[s.random.IntN(2)])
		return o, 3 * quick
	case a.send.OnlyIfCached && s.random.IntN(2) == 0:
		o.Result, o.CacheStatus = routing.NotCached, note(routing.SourceMiss)
		return o, quick
	case s.random.IntN(3) == 0:
		o.CacheStatus = note(routing.FilledByOrigin)
		return s.served(a, o, sending*max(target.slow, source.slow), 0.04*s.origin().slow)
	}
	o.CacheStatus = note([]routing.CacheStatus{routing.Filled, routing.Filled, routing.JoinedFill}[s.random.IntN(3)])
	return s.served(a, o, sending*max(target.slow, source.slow), 0.01*source.slow)
}

func (s *simulation) origin() *simServer { return s.servers[len(s.servers)-1] }

// served is a success that waits for its source and then takes some seconds to send.
func (s *simulation) served(a *simAttempt, o routing.Outcome, sending, wait float64) (routing.Outcome, time.Duration) {
	o.Result, o.RequestDone = routing.Served, true
	if s.set.BodyBytesPerSecond > 0 {
		o.BodyBytes = int(s.size(a.request) / 1000 * s.set.BodyBytesPerSecond)
	}
	if s.notes && !s.set.HitStatusOnly {
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
		server.silent, server.down, server.errors, server.rejects, server.slow = false, false, 0.004, 0.002, 1
	}
	one := s.servers[s.random.IntN(len(s.servers))]
	of := func(kind int) (list []*simServer) {
		for _, server := range s.servers {
			if server.listed.Kind == kind {
				list = append(list, server)
			}
		}
		return list
	}
	switch s.random.IntN(14) {
	case 0:
		s.load = 6
	case 1:
		one.silent = true
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
	case 9:
		for _, server := range of(s.set.ParentKind) {
			server.silent = true
		}
	case 10:
		for _, server := range of(0) {
			server.slow, server.rejects = 4, 0.3
		}
	case 11:
		for _, server := range of(0) {
			if server.listed.Zone == s.set.Zone {
				s.restart(server)
			}
		}
	case 12:
		for _, server := range of(s.set.ParentKind) {
			server.slow, server.rejects = 6, 0.2
		}
		s.hits = 0.3
	case 13:
		s.origin().silent, s.hits = true, 0.3
	}
	s.after(time.Duration(1500+s.random.IntN(3500))*time.Millisecond, s.changeRegime)
}

// restart lists a server as gone and, after a moment, as freshly started.
func (s *simulation) restart(server *simServer) {
	server.down, server.listed.Phase = true, routing.Removed
	s.handle(routing.EndpointUpdate{Servers: []routing.Server{server.listed}})
	s.after(time.Duration(s.random.IntN(1500))*time.Millisecond, func() {
		server.down, server.listed.Phase, server.listed.StartedAt = false, routing.Ready, s.now
		s.handle(routing.EndpointUpdate{Servers: []routing.Server{server.listed}})
	})
}

// sendNews sends what comes from elsewhere: list changes, purges, others' reports.
func (s *simulation) sendNews() {
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
	s.after(time.Duration(100+s.random.IntN(900))*time.Millisecond, s.sendNews)
}

// adopt goes over to other settings: one class more, other shares.
func (s *simulation) adopt() {
	s.set.Classes = append(slices.Clone(s.set.Classes), routing.Class{Name: "new", LatencyObjective: 300 * time.Millisecond,
		Deadline: 2 * time.Second, PriorityWeight: 1})
	s.set.RoutersByZone = []int{0, 3, 1}
	s.set.CacheSlowStart.InitialCapacity = 0.4
	if err := s.router.UpdateSettings(s.set); err != nil {
		s.trace.printf("settings not adopted")
	}
}

// TestDecisionTrace pins every decision of the package: a simulated fleet with a fixed seed feeds
// a router requests, outcomes, timers, list changes and purges, and each action that it returns
// is printed field by field. The first actions of a scenario are kept as lines, all of them as a
// running hash. A change of shape or names must leave the files as they are.
//
//	UPDATE_GOLDEN=1 go test ./routing -run Trace            writes testdata anew
//	DECISION_TRACE_DIR=/tmp/x go test ./routing -run Trace  writes all lines to that folder too
//
// The figures come from floating point arithmetic on amd64; a machine that fuses multiplication
// and addition may decide otherwise.
func TestDecisionTrace(t *testing.T) {
	for _, scenario := range traceScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			s := newSimulation(t, scenario)
			s.run()
			if dir := os.Getenv("DECISION_TRACE_DIR"); dir != "" {
				if err := os.WriteFile(filepath.Join(dir, scenario.name+".txt"), []byte(s.trace.all.String()), 0o666); err != nil {
					t.Fatal(err)
				}
			}
			golden.Compare(t, "decisions-"+scenario.name+".txt", []byte(s.trace.kept.String()))
		})
	}
}

// TestGuardTrace pins what a guard says of purges and of a stale change log.
func TestGuardTrace(t *testing.T) {
	second := time.Second
	guards := []routing.Guard{
		{},
		{Ready: map[routing.ServerID]bool{1: true}, PurgeRetention: 6 * second, PurgeGrace: 300 * time.Millisecond, PurgesSeen: true, LastEventAt: 100 * second,
			Purges: []routing.PurgeRecord{{Object: 7, At: 99 * second}, {Group: 4, At: 95 * second}, {Object: 7, Group: 3, At: 101 * second}}},
		{Ready: map[routing.ServerID]bool{1: true, 2: false}, PurgeRetention: 2 * second, PurgeGrace: second, LastEventAt: 10 * second,
			Purges: []routing.PurgeRecord{{At: 100 * second}}},
	}
	text := &strings.Builder{}
	for i := range guards {
		g := &guards[i]
		for id := range routing.ServerID(4) {
			fmt.Fprintf(text, "guard %d server=%d barred=%t\n", i, uint64(id), g.Excludes(id))
		}
		for _, now := range []time.Duration{99 * second, 100 * second, 101*second + 1, 101*second + 500*time.Millisecond + 1, 110 * second} {
			for object := range routing.ObjectID(9) {
				if object > 0 && object < 6 {
					continue
				}
				for group := -1; group < 6; group += 2 + group&1 {
					fmt.Fprintf(text, "guard %d now=%d object=%d group=%d age=%d of_5s=%d purged=%t\n", i, int64(now), uint64(object), group,
						int64(g.MaxAge(now, 0, object, group)), int64(g.MaxAge(now, 5*second, object, group)), g.MayBeStale(now, object, group))
				}
			}
		}
	}
	var none *routing.Guard
	fmt.Fprintf(text, "no guard barred=%t purged=%t\n", none.Excludes(1), none.MayBeStale(second, 1, 1))
	golden.Compare(t, "guard.txt", []byte(text.String()))
}
