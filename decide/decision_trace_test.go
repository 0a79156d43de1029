package decide_test

import (
	"container/heap"
	"crypto/sha256"
	"flag"
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

	"garnetline/decide"
)

// The decision trace pins every decision of the module: a simulated fleet with a fixed seed feeds
// a router requests, outcomes, timers, list changes and purges, and each action that it returns
// is printed field by field. The first actions of a scenario are kept as lines, all of them as a
// running hash. A change of shape or names must leave the files as they are.
//
//	go test ./decide -run TestDecisionTrace -update       writes testdata/decisions-*.txt anew
//	DECISION_TRACE_DIR=/tmp/x go test ./decide -run ...   writes all lines to that folder too
//
// The figures come from floating point arithmetic on amd64; a machine that fuses multiplication
// and addition may decide otherwise.
var update = flag.Bool("update", false, "write the golden files anew")

const (
	traceLines    = 60   // lines at the start of a trace that are kept as text
	traceHashStep = 1000 // lines between two hashes
)

// traceScenario is one set of settings and what the simulated fleet does under them.
type traceScenario struct {
	name      string
	seed      uint64
	settings  func(*decide.Settings)
	servers   func([]decide.Server) []decide.Server
	notes     bool    // outcomes tell how the object was met
	sizes     bool    // requests tell their size
	loads     bool    // outcomes carry load reports
	rate      float64 // requests a second
	length    time.Duration
	readopted bool // other settings are adopted halfway
}

func traceScenarios() []traceScenario {
	weights := func(weight float64) func([]decide.Server) []decide.Server {
		return func(list []decide.Server) []decide.Server {
			for i := range list {
				list[i].Weight = weight
			}
			return list
		}
	}
	// metered is a site without notes, whose weights tell sizes and answers their bytes.
	metered := func(routers int) func(*decide.Settings) {
		return func(s *decide.Settings) {
			s.WeightsSize, s.BytesPerS = true, 100_000
			s.SeatsByZone, s.Routers = []int{0, routers, 1}, routers+1
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
			settings: func(s *decide.Settings) { s.HitsOnly, s.CanCancel = true, false }},
		{name: "no-bypass", seed: 8, notes: true, sizes: true, loads: true, rate: 80, length: 60 * time.Second,
			settings: func(s *decide.Settings) {
				s.Direct, s.CanJoin, s.OriginFalls, s.MustAsk = false, false, true, true
				s.SeatsByZone, s.MaxBackoff, s.MaxAttempts = nil, 0, 3
			}},
		{name: "no-parents", seed: 9, notes: true, sizes: true, loads: true, rate: 80, length: 40 * time.Second,
			settings: func(s *decide.Settings) { s.ParentKind = -1 },
			servers: func(list []decide.Server) []decide.Server {
				return slices.DeleteFunc(list, func(s decide.Server) bool { return s.Kind == 1 })
			}},
		{name: "only-caches", seed: 10, rate: 50, length: 40 * time.Second,
			settings: func(s *decide.Settings) { s.ParentKind, s.OriginKind = -1, -1 },
			servers:  func(list []decide.Server) []decide.Server { return list[:4] }},
		{name: "pushed-origin", seed: 11, notes: true, sizes: true, rate: 150, length: 30 * time.Second,
			settings: func(s *decide.Settings) { s.SeatsByZone, s.Routers = []int{0, 20, 1}, 21 }},
	}
}

func traceSettings() decide.Settings {
	ms, sec := time.Millisecond, time.Second
	return decide.Settings{
		Zones: 3, Zone: 1, Kinds: 3, ParentKind: 1, OriginKind: 2,
		SeatsByZone: []int{0, 1, 1}, Routers: 2, MaxAttempts: 6, MaxBackoff: 500 * ms,
		CanCancel: true, CanJoin: true, Direct: true, FlowKBps: 1000,
		DrainGrace: 250 * ms, PurgeGrace: 300 * ms, PurgeDone: 6 * sec,
		Cache:  decide.Ramp{From: 0.2, Warm: 10 * sec, Multiple: 2, Span: 2 * sec},
		Parent: decide.Ramp{From: 0.1, Warm: 20 * sec, Multiple: 2, Span: 2 * sec},
		Classes: []decide.Class{
			{Name: "big", Effect: decide.Safe, Aim: 600 * ms, AimStretch: 2, Deadline: 6 * sec, Worth: 2},
			{Name: "small", Effect: decide.Safe, Aim: 250 * ms, AimStretch: 2, Deadline: 3 * sec, Worth: 1, Fresh: 8 * sec},
			{Name: "write", Effect: decide.Keyed, Aim: 700 * ms, Deadline: 3 * sec, Window: 2 * sec, Worth: 3, Write: true},
			{Name: "once", Effect: decide.Unsafe, Aim: 700 * ms, Deadline: 3 * sec, Worth: 3, Write: true},
			{Name: "form", Effect: decide.Keyed, Group: decide.GroupZone, Aim: 400 * ms, Deadline: 2 * sec, Window: sec, Worth: 4},
			{Name: "cell", Effect: decide.Keyed, Group: decide.GroupCell, Aim: 400 * ms, Deadline: 2 * sec, Window: sec, Worth: 1},
		},
	}
}

// traceFleet lists four caches in the router's zone and one elsewhere, three parents and an origin.
func traceFleet() []decide.Server {
	return []decide.Server{
		{ID: 21, Zone: 2, Kind: 0, Phase: decide.Ready},
		{ID: 11, Zone: 1, Kind: 0, Cell: 1, Phase: decide.Ready}, {ID: 12, Zone: 1, Kind: 0, Cell: 1, Phase: decide.Ready},
		{ID: 13, Zone: 1, Kind: 0, Cell: 2, Phase: decide.Ready}, {ID: 14, Zone: 1, Kind: 0, Cell: 2, Phase: decide.Ready},
		{ID: 31, Kind: 1, Phase: decide.Ready}, {ID: 32, Kind: 1, Phase: decide.Ready}, {ID: 33, Kind: 1, Phase: decide.Ready},
		{ID: 41, Kind: 2, Phase: decide.Ready},
	}
}

// simServer is one simulated server: what is listed of it, and how it behaves at present.
type simServer struct {
	listed  decide.Server
	silent  bool    // answers nothing
	down    bool    // takes no connection
	errors  float64 // share of what it fails
	rejects float64 // share of what it turns away
	slow    float64 // by which all it does takes longer
}

// simAttempt is an attempt that a simulated server has in hand.
type simAttempt struct {
	send    decide.Get
	request decide.Request
	index   int
	started time.Duration
	ended   bool
}

// simEvent is something due at a time: exactly one of its other fields is set.
type simEvent struct {
	at      time.Duration
	order   int
	timer   *uint64
	outcome *decide.Outcome
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
	router   *decide.Router
	set      decide.Settings
	now, end time.Duration
	queue    simQueue
	order    int
	servers  []*simServer
	open     map[decide.RequestID]decide.Request
	counts   map[decide.RequestID]int // attempts by request
	out      []*simAttempt
	nextID   decide.RequestID
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
		open:   map[decide.RequestID]decide.Request{}, counts: map[decide.RequestID]int{}}
	s.end = s.now + scenario.length
	s.trace.hash = sha256.New()
	if scenario.settings != nil {
		scenario.settings(&s.set)
	}
	var err error
	if s.router, err = decide.New(s.set, scenario.seed); err != nil {
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
	s.handle(decide.Members{Full: true, Servers: s.list()})
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
			s.handle(decide.Timer{Token: *event.timer})
		default:
			s.finish(event.attempt, *event.outcome)
		}
	}
	s.trace.printHash()
}

func (s *simulation) list() (list []decide.Server) {
	for _, server := range s.servers {
		list = append(list, server.listed)
	}
	return list
}

// handle feeds the router one event, prints the actions and carries them out.
func (s *simulation) handle(event decide.Event) {
	for _, action := range s.router.Handle(s.now, event, nil) {
		s.print(action)
		switch action := action.(type) {
		case decide.Get:
			s.begin(action)
		case decide.Refuse:
			delete(s.open, action.ID)
		case decide.Fail:
			delete(s.open, action.ID)
		case decide.Cancel:
			s.cancel(action)
		case decide.Wake:
			token := action.Token
			s.at(s.now+action.After, &simEvent{timer: &token})
		case decide.Watch:
			s.after(20*time.Millisecond, func() { s.handle(decide.Members{Full: true, Servers: s.list()}) })
		}
	}
}

func (s *simulation) print(action decide.Action) {
	at := s.now - 1000*time.Second
	switch a := action.(type) {
	case decide.Get:
		s.trace.printf("%d send request=%d server=%d source=%d rank=%d max_age=%d deadline=%d join=%t renew=%t held=%t", at,
			uint64(a.ID), uint64(a.Server), uint64(a.Source), a.Keep, int64(a.MaxAge), int64(a.Until), a.Join, a.Renew, a.HeldOnly)
	case decide.Refuse:
		s.trace.printf("%d reject request=%d retry_after=%d", at, uint64(a.ID), int64(a.Backoff))
	case decide.Fail:
		s.trace.printf("%d fail request=%d", at, uint64(a.ID))
	case decide.Cancel:
		s.trace.printf("%d cancel request=%d attempt=%d", at, uint64(a.ID), a.Attempt)
	case decide.Wake:
		s.trace.printf("%d timer delay=%d token=%d", at, int64(a.After), a.Token)
	case decide.Watch:
		s.trace.printf("%d subscribe", at)
	default:
		s.trace.printf("%d unknown", at)
	}
}

// printServers prints once a second which servers the router avoids.
func (s *simulation) printServers() {
	line := ""
	for _, id := range s.router.Aside(nil) {
		line += fmt.Sprintf(" %d", uint64(id))
	}
	s.trace.printf("%d avoided=%d aside=%s", s.now-1000*time.Second, s.router.Avoided(), line)
	s.after(time.Second, s.printServers)
}

func (s *simulation) arrive() {
	class := []int{0, 0, 0, 1, 1, 1, 1, 2, 3, 4, 5}[s.random.IntN(11)]
	c := s.set.Classes[class]
	q := decide.Request{ID: s.nextID, Class: class, Part: s.random.IntN(3), Group: s.random.IntN(4), Left: c.Deadline,
		Repeat: s.random.IntN(9) == 0}
	q.Object = decide.ObjectID(1 + s.random.IntN(400)/(1+s.random.IntN(40)))
	if s.random.IntN(12) == 0 {
		q.Left = time.Duration(1 + s.random.Int64N(int64(c.Deadline)))
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

func (s *simulation) disconnect(id decide.RequestID) {
	delete(s.open, id)
	s.handle(decide.Left{ID: id})
}

// size is the size of an object's part in KB.
func (s *simulation) size(q decide.Request) float64 {
	return float64(5 + (uint64(q.Object)*7919+uint64(q.Part)*104729)%400)
}

func (s *simulation) server(id decide.ServerID) *simServer {
	for _, server := range s.servers {
		if server.listed.ID == id {
			return server
		}
	}
	return &simServer{down: true, slow: 1}
}

// begin decides when and how an attempt will end.
func (s *simulation) begin(send decide.Get) {
	a := &simAttempt{send: send, request: s.open[send.ID], index: s.counts[send.ID], started: s.now}
	s.counts[send.ID]++
	s.out = append(s.out, a)
	o, delay := s.outcome(a)
	if s.now+delay >= send.Until {
		o.Result, o.Note, o.Done, o.Bytes, delay = decide.TimedOut, decide.NoNote, false, 0, send.Until-s.now
	}
	if s.random.IntN(150) == 0 {
		o.Result, o.Note, o.Done = decide.Broken, decide.NoNote, false
		s.after(delay, func() { s.breakConnection(send.Server) })
	}
	s.at(s.now+delay, &simEvent{outcome: &o, attempt: a})
}

// breakConnection ends all that a server has in hand.
func (s *simulation) breakConnection(id decide.ServerID) {
	for _, a := range slices.Clone(s.out) {
		if a.send.Server == id && !a.ended {
			s.finish(a, decide.Outcome{Result: decide.Broken, Load: s.noLoad()})
		}
	}
}

func (s *simulation) cancel(c decide.Cancel) {
	for _, a := range s.out {
		if a.send.ID == c.ID && a.index == c.Attempt && !a.ended {
			s.at(s.now+2*time.Millisecond, &simEvent{outcome: &decide.Outcome{Result: decide.Cancelled, Load: s.noLoad()}, attempt: a})
		}
	}
}

func (s *simulation) noLoad() decide.Load {
	nan := math.NaN()
	return decide.Load{Inflight: nan, Busy: nan, HitShare: nan, Link: nan}
}

// outcome draws the end of an attempt and the time until then.
func (s *simulation) outcome(a *simAttempt) (decide.Outcome, time.Duration) {
	target, source := s.server(a.send.Server), s.server(a.send.Source)
	o := decide.Outcome{Load: s.noLoad()}
	if s.loads && s.random.IntN(3) > 0 {
		o.Load.Link = s.link * (0.8 + 0.4*s.random.Float64())
	}
	sending := s.size(a.request) / 1000
	quick := time.Duration(1+s.random.IntN(8)) * time.Millisecond
	note := func(n decide.Note) decide.Note {
		if !s.notes || s.set.HitsOnly && n >= decide.SourceRefused {
			return decide.NoNote
		}
		return n
	}
	write, fills := s.set.Classes[a.request.Class].Write, a.send.Source != a.send.Server
	hit := !write && s.random.Float64() < s.hits
	switch {
	case target.down:
		o.Result = decide.Unreached
		return o, quick
	case target.silent:
		return o, time.Hour
	case s.random.IntN(400) == 0:
		o.Result = decide.NotSent
		return o, quick
	case s.random.Float64() < target.rejects:
		o.Result = decide.Full
		if fills && s.random.IntN(3) == 0 {
			o.Note = note(decide.NoFillPlace)
		}
		return o, quick
	case s.random.Float64() < target.errors:
		o.Result = decide.Errored
		return o, quick
	case hit && target.listed.Kind != s.set.OriginKind:
		o.Note = note([]decide.Note{decide.Hit, decide.Hit, decide.Hit, decide.StaleHit}[s.random.IntN(4)])
		return s.served(a, o, sending*target.slow, 0)
	case !fills && target.listed.Kind != s.set.OriginKind:
		o.Result = decide.Miss
		if s.random.IntN(20) == 0 { // it joined another request's fill, which failed
			o.Result, o.Note = decide.Errored, note(decide.SourceUnreached)
		}
		return o, quick
	case source.silent:
		return o, time.Hour
	case source.down:
		o.Result, o.Note = decide.Errored, note(decide.SourceUnreached)
		return o, quick
	case s.random.Float64() < source.rejects:
		o.Result, o.Note = decide.Full, note(decide.SourceRefused)
		return o, quick
	case s.random.Float64() < source.errors:
		o.Result, o.Note = decide.Errored, note([]decide.Note{decide.SourceUnreached, decide.OriginFailed}[s.random.IntN(2)])
		return o, 3 * quick
	case a.send.HeldOnly && s.random.IntN(2) == 0:
		o.Result, o.Note = decide.Miss, note(decide.SourceLacks)
		return o, quick
	case s.random.IntN(3) == 0:
		o.Note = note(decide.FilledByOrigin)
		return s.served(a, o, sending*max(target.slow, source.slow), 0.04*s.origin().slow)
	}
	o.Note = note([]decide.Note{decide.Filled, decide.Filled, decide.Joined}[s.random.IntN(3)])
	return s.served(a, o, sending*max(target.slow, source.slow), 0.01*source.slow)
}

func (s *simulation) origin() *simServer { return s.servers[len(s.servers)-1] }

// served is a success that waits for its source and then takes some seconds to send.
func (s *simulation) served(a *simAttempt, o decide.Outcome, sending, wait float64) (decide.Outcome, time.Duration) {
	o.Result, o.Done = decide.Served, true
	if s.set.BytesPerS > 0 {
		o.Bytes = int(s.size(a.request) / 1000 * s.set.BytesPerS)
	}
	if s.notes && !s.set.HitsOnly {
		o.Waited = time.Duration(wait * float64(time.Second))
	}
	took := (wait + sending) * (0.7 + 0.8*s.random.Float64())
	return o, o.Waited + time.Duration(took*float64(time.Second))
}

// finish reports the end of an attempt, once.
func (s *simulation) finish(a *simAttempt, o decide.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	s.out = slices.DeleteFunc(s.out, func(x *simAttempt) bool { return x == a })
	o.ID, o.Attempt, o.Server, o.Took = a.send.ID, a.index, a.send.Server, s.now-a.started
	_, open := s.open[a.send.ID]
	o.Done = o.Done || !open
	if o.Result == decide.Served {
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
	server.down, server.listed.Phase = true, decide.Gone
	s.handle(decide.Members{Servers: []decide.Server{server.listed}})
	s.after(time.Duration(s.random.IntN(1500))*time.Millisecond, func() {
		server.down, server.listed.Phase, server.listed.Started = false, decide.Ready, s.now
		s.handle(decide.Members{Servers: []decide.Server{server.listed}})
	})
}

// sendNews sends what comes from elsewhere: list changes, purges, others' reports.
func (s *simulation) sendNews() {
	one := s.servers[s.random.IntN(len(s.servers))]
	switch s.random.IntN(12) {
	case 0:
		one.listed.Phase = decide.Draining
		s.handle(decide.Members{Servers: []decide.Server{one.listed}})
		s.after(time.Duration(s.random.IntN(3000))*time.Millisecond, func() { s.restart(one) })
	case 1:
		s.handle(decide.Members{Failed: true})
	case 2:
		s.handle(decide.Members{Full: true, Servers: s.list()})
	case 3:
		s.handle(decide.Purge{Object: decide.ObjectID(1 + s.random.IntN(400)), Age: time.Duration(s.random.IntN(900)) * time.Millisecond})
	case 4:
		s.handle(decide.Purge{Group: s.random.IntN(4), Age: time.Duration(s.random.IntN(900)) * time.Millisecond})
	case 5:
		load := s.noLoad()
		load.Link = 3 * s.random.Float64()
		s.handle(decide.Report{Server: one.listed.ID, Load: load, Age: time.Duration(s.random.IntN(1200)) * time.Millisecond})
	case 6, 7:
		s.handle(decide.Hold{Server: one.listed.ID, Until: s.now + time.Duration(s.random.IntN(8000))*time.Millisecond})
	case 8, 9:
		s.handle(decide.Suspect{Server: one.listed.ID})
	case 10:
		s.handle(decide.Outcome{ID: s.nextID + 5, Load: s.noLoad()}) // of nobody
		s.handle(decide.Timer{Token: s.random.Uint64()})
	case 11:
		guest := decide.Server{ID: 50 + decide.ServerID(s.random.IntN(3)), Zone: 1, Phase: decide.Ready, Weight: 6, Started: s.now}
		s.handle(decide.Members{Servers: []decide.Server{guest}})
		s.after(time.Second, func() {
			guest.Phase = decide.Gone
			s.handle(decide.Members{Servers: []decide.Server{guest}})
		})
	}
	s.after(time.Duration(100+s.random.IntN(900))*time.Millisecond, s.sendNews)
}

// adopt goes over to other settings: one class more, other shares.
func (s *simulation) adopt() {
	s.set.Classes = append(slices.Clone(s.set.Classes), decide.Class{Name: "new", Aim: 300 * time.Millisecond,
		Deadline: 2 * time.Second, Worth: 1})
	s.set.SeatsByZone = []int{0, 3, 1}
	s.set.Cache.From = 0.4
	if err := s.router.Adopt(s.set); err != nil {
		s.trace.printf("settings not adopted")
	}
}

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
			compareGolden(t, "decisions-"+scenario.name+".txt", s.trace.kept.String())
		})
	}
}

// compareGolden holds a text against a file of testdata, to the byte.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o777); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o666); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) == got {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s, line %d:\n got %s\nwant %s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s: %d lines, want %d", path, len(gotLines), len(wantLines))
}

// TestGuardTrace pins what a guard says of purges and of a stale change log.
func TestGuardTrace(t *testing.T) {
	second := time.Second
	guards := []decide.Guard{
		{},
		{Ready: map[decide.ServerID]bool{1: true}, Done: 6 * second, Grace: 300 * time.Millisecond, Purging: true, Heard: 100 * second,
			Purges: []decide.PurgedAt{{Object: 7, At: 99 * second}, {Group: 4, At: 95 * second}, {Object: 7, Group: 3, At: 101 * second}}},
		{Ready: map[decide.ServerID]bool{1: true, 2: false}, Done: 2 * second, Grace: second, Heard: 10 * second,
			Purges: []decide.PurgedAt{{At: 100 * second}}},
	}
	text := &strings.Builder{}
	for i := range guards {
		g := &guards[i]
		for id := range decide.ServerID(4) {
			fmt.Fprintf(text, "guard %d server=%d barred=%t\n", i, uint64(id), g.Bars(id))
		}
		for _, now := range []time.Duration{99 * second, 100 * second, 101*second + 1, 101*second + 500*time.Millisecond + 1, 110 * second} {
			for object := range decide.ObjectID(9) {
				if object > 0 && object < 6 {
					continue
				}
				for group := -1; group < 6; group += 2 + group&1 {
					fmt.Fprintf(text, "guard %d now=%d object=%d group=%d age=%d of_5s=%d purged=%t\n", i, int64(now), uint64(object), group,
						int64(g.Age(now, 0, object, group)), int64(g.Age(now, 5*second, object, group)), g.Purged(now, object, group))
				}
			}
		}
	}
	var none *decide.Guard
	fmt.Fprintf(text, "no guard barred=%t purged=%t\n", none.Bars(1), none.Purged(second, 1, 1))
	compareGolden(t, "guard.txt", text.String())
}
