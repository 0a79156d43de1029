package routing

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// Kinds and zones of the test fleets.
const (
	cacheKind = iota
	parentKind
	originKind
)

func settings() Settings {
	return Settings{
		Zones: 3, Zone: 1, Kinds: 3, ParentKind: parentKind, OriginKind: originKind,
		RoutersByZone: []int{0, 1, 1}, Routers: 2, MaxAttempts: 6, MaxRetryAfter: 500 * ms,
		CanCancel: true, CanJoinFill: true, AllowBypass: true, TransferKBPerSecond: 1000,
		DrainGrace: 250 * ms, PurgeGrace: 300 * ms, PurgeRetention: 6 * sec,
		CacheSlowStart:  SlowStart{InitialCapacity: 0.2, Duration: 10 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		ParentSlowStart: SlowStart{InitialCapacity: 0.1, Duration: 20 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		Classes: []Class{
			{Name: "big", Idempotency: Idempotent, LatencyObjective: 600 * ms, ObjectiveTransferFactor: 2, Deadline: 6 * sec, PriorityWeight: 2},
			{Name: "small", Idempotency: Idempotent, LatencyObjective: 250 * ms, ObjectiveTransferFactor: 2, Deadline: 3 * sec, PriorityWeight: 1, FreshnessLifetime: 8 * sec},
			{Name: "write", Idempotency: IdempotentWithKey, LatencyObjective: 700 * ms, Deadline: 3 * sec, KeyWindow: 2 * sec, PriorityWeight: 3, Write: true},
			{Name: "once", Idempotency: NonIdempotent, LatencyObjective: 700 * ms, Deadline: 3 * sec, PriorityWeight: 3, Write: true},
		},
	}
}

// fleet lists three caches in the router's zone, one elsewhere, two parents
// and an origin.
func fleet() []Server {
	return []Server{
		{ID: 11, Zone: 1, Kind: cacheKind, Phase: Ready}, {ID: 12, Zone: 1, Kind: cacheKind, Phase: Ready},
		{ID: 13, Zone: 1, Kind: cacheKind, Phase: Ready}, {ID: 21, Zone: 2, Kind: cacheKind, Phase: Ready},
		{ID: 31, Kind: parentKind, Phase: Ready}, {ID: 32, Kind: parentKind, Phase: Ready},
		{ID: 41, Kind: originKind, Phase: Ready},
	}
}

// harness drives a Router and keeps what a caller would.
type harness struct {
	*testing.T
	router  *Router
	now     time.Duration
	actions []Action
	nextID  RequestID
}

func newHarness(t *testing.T, s Settings, list []Server) *harness {
	t.Helper()
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &harness{T: t, router: r, now: 1000 * sec, nextID: 1}
	f.handle(EndpointUpdate{Snapshot: true, Servers: list})
	return f
}

func (f *harness) handle(ev Event) []Action {
	f.actions = f.router.Handle(f.now, ev, nil)
	return f.actions
}

// request sends a request and returns the attempts and final answers that follow.
func (f *harness) request(q Request) []Action {
	if q.ID == 0 {
		q.ID = f.nextID
		f.nextID++
	}
	if q.Timeout == 0 {
		q.Timeout = f.router.settings.Classes[q.Class].Deadline
	}
	return f.handle(q)
}

func sendActions(acts []Action) (out []SendAttempt) {
	for _, a := range acts {
		if g, ok := a.(SendAttempt); ok {
			out = append(out, g)
		}
	}
	return out
}

func (f *harness) singleAttempt(acts []Action) SendAttempt {
	f.Helper()
	g := sendActions(acts)
	if len(g) != 1 {
		f.Fatalf("want one attempt, got %v", acts)
	}
	return g[0]
}

// finish reports the end of an attempt.
func (f *harness) finish(g SendAttempt, n int, res Result, note CacheStatus) []Action {
	nan := math.NaN()
	return f.handle(Outcome{ID: g.ID, Attempt: n, Server: g.Server, Result: res, CacheStatus: note, Duration: 100 * ms,
		RequestDone: res == Served, Load: LoadReport{nan, nan, nan, nan}})
}

func isRefused(acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Reject); return ok })
}

func isFailed(acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Fail); return ok })
}

func TestNewNamesTheSetting(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"Classes":       func(s *Settings) { s.Classes = nil },
		"Zone":          func(s *Settings) { s.Zone = 3 },
		"ParentKind":    func(s *Settings) { s.ParentKind = 3 },
		"OriginKind":    func(s *Settings) { s.OriginKind = -2 },
		"RoutersByZone": func(s *Settings) { s.RoutersByZone = []int{1} },
		"MaxAttempts":   func(s *Settings) { s.MaxAttempts = 0 },
		"Deadline":      func(s *Settings) { s.Classes[1].Deadline = 0 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v does not name it", name, err)
		}
	}
}

// Hot objects join, cold ones do not; counts decay.
func TestPopularObjectsJoinFills(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	cold := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100}))
	hot := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100}))
	if cold.JoinFill || !hot.JoinFill {
		t.Errorf("first joins: %v, second joins: %v; want false, true", cold.JoinFill, hot.JoinFill)
	}
	if cold.Server != hot.Server || cold.FillSource != hot.FillSource {
		t.Errorf("homes differ: %v and %v", cold, hot)
	}
	f.now += 5 * popularityTimeConstant
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100})); g.JoinFill {
		t.Error("still hot long after")
	}
}

func TestBoundedTableIsBounded(t *testing.T) {
	var b boundedTable[int]
	for i := range uint64(5 * maxRecentEntries) {
		b.put(i, 1)
	}
	if n := len(b.recent) + len(b.previous); n > 2*maxRecentEntries {
		t.Errorf("%d entries, want at most %d", n, 2*maxRecentEntries)
	}
}

// All routers agree on homes, and a lost server moves only its own objects.
func TestHomes(t *testing.T) {
	f, g := newHarness(t, settings(), fleet()), newHarness(t, settings(), fleet())
	less := slices.DeleteFunc(fleet(), func(s Server) bool { return s.ID == 12 || s.ID == 32 })
	h := newHarness(t, settings(), less)
	used := map[ServerID]int{}
	for i := range 300 {
		q := Request{Object: ObjectID(i + 1), SizeKB: 1}
		a, b, c := f.singleAttempt(f.request(q)), g.singleAttempt(g.request(q)), h.singleAttempt(h.request(q))
		if a.Server != b.Server || a.FillSource != b.FillSource {
			t.Fatalf("object %d: routers disagree: %v, %v", i, a, b)
		}
		if a.Server != 12 && a.Server != c.Server || a.FillSource != 32 && a.FillSource != c.FillSource {
			t.Fatalf("object %d moved though its home stayed: %v, %v", i, a, c)
		}
		used[a.Server]++
		used[a.FillSource]++
		for _, x := range []*harness{f, g, h} {
			x.finish(SendAttempt{ID: x.nextID - 1, Server: a.Server}, 0, Served, Hit)
		}
	}
	for _, id := range []ServerID{11, 12, 13, 31, 32} {
		if used[id] < 50 {
			t.Errorf("server %d is home of %d of 300", id, used[id])
		}
	}
}

// Rule 1: one final answer, in time, whatever is listed or lost.
func TestEveryRequestIsAnswered(t *testing.T) {
	kinds := map[string][]Server{"none": nil, "no cache": fleet()[3:], "no parent": append(fleet()[:4], fleet()[6:]...),
		"no origin": fleet()[:6], "only caches": fleet()[:3]}
	for name, list := range kinds {
		for class := range settings().Classes {
			f := newHarness(t, settings(), list)
			acts := f.request(Request{Class: class, Object: 1, SizeKB: 10})
			for n := 0; !isRefused(acts) && !isFailed(acts); n++ {
				if n > 8 {
					t.Fatalf("%s, class %d: no answer: %v", name, class, acts)
				}
				if g := sendActions(acts); len(g) == 1 {
					f.now = g[0].Deadline
					acts = f.finish(g[0], n, TimedOut, CacheStatusUnknown)
				} else {
					t.Fatalf("%s, class %d: neither sent nor answered: %v", name, class, acts)
				}
			}
		}
	}
	f := newHarness(t, settings(), fleet())
	if acts := f.handle(Request{ID: 9, Class: 99, Timeout: sec}); !isRefused(acts) {
		t.Errorf("unknown class: %v", acts)
	}
}

// Late and foreign facts change nothing.
func TestUnknownEventsChangeNothing(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Object: 1, SizeKB: 10}))
	f.finish(g, 0, Served, Hit)
	for _, ev := range []Event{Outcome{ID: g.ID, Server: g.Server}, Outcome{ID: 77}, Outcome{ID: g.ID, Attempt: 9},
		TimerFired{uint64(g.ID)<<timerKindBits | timerCheckAttempt}, TimerFired{1 << 62}, ClientDisconnected{g.ID}, ClientDisconnected{77},
		Purge{Object: 3, Age: 1 << 60}, EndpointUpdate{}} {
		if acts := f.handle(ev); len(acts) != 0 {
			t.Errorf("%T: %v", ev, acts)
		}
	}
}

// Rule 2: what may have run is repeated only as its class allows.
func TestRetriesFollowIdempotency(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		res   Result
		after time.Duration
		again bool
		fail  bool
	}{
		{"safe, error", 0, ServerError, 0, true, false},
		{"keyed, error, in window", 2, ServerError, 0, true, false},
		{"keyed, error, just in window", 2, ServerError, 2*sec - ms, true, false},
		{"keyed, error, window over", 2, ServerError, 2 * sec, false, true},
		{"keyed, never ran, window over", 2, ConnectFailed, 2 * sec, true, false},
		{"unsafe, error", 3, ServerError, 0, false, true},
		{"unsafe, never ran", 3, Rejected, 0, true, false},
	} {
		f := newHarness(t, settings(), fleet())
		g := f.singleAttempt(f.request(Request{Class: c.class, Object: 1, SizeKB: 10}))
		f.now += c.after
		acts := f.finish(g, 0, c.res, CacheStatusUnknown)
		if again := len(sendActions(acts)) == 1; again != c.again || !again && isFailed(acts) != c.fail {
			t.Errorf("%s: %v", c.name, acts)
		}
	}
}

// Rule 2: never two attempts at once.
func TestNeverTwoAttemptsAtOnce(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Object: 1, SizeKB: 10}))
	for range 4 {
		f.now += sec
		if acts := f.handle(TimerFired{uint64(g.ID)<<timerKindBits | timerCheckAttempt}); len(sendActions(acts)) != 0 {
			t.Fatalf("second copy: %v", acts)
		}
	}
}

// Rule 3: a server that drains or is gone gets nothing, nor fills anything.
func TestDrainingServersGetNothing(t *testing.T) {
	for _, m := range []EndpointUpdate{
		{Servers: []Server{{ID: 12, Zone: 1, Kind: cacheKind, Phase: Draining}, {ID: 32, Kind: parentKind, Phase: Removed}}},
		{Snapshot: true, Servers: slices.DeleteFunc(fleet(), func(s Server) bool { return s.ID == 12 || s.ID == 32 })},
	} {
		f := newHarness(t, settings(), fleet())
		f.handle(m)
		for i := range 100 {
			g := f.singleAttempt(f.request(Request{Object: ObjectID(i + 1), SizeKB: 1}))
			if g.Server == 12 || g.FillSource == 32 {
				t.Fatalf("sent to a server that drains: %v", g)
			}
			f.finish(g, 0, Served, Hit)
		}
	}
}

// Rule 4: what a cold server is sent in any span stays under its budget; also
// just after this router's own start, when no class's work is known
// (the symptom: a burst of looks, each counted as nothing).
func TestSlowStartBudget(t *testing.T) {
	for _, warmed := range []bool{true, false} {
		list := fleet()
		list[1].StartedAt = 1000 * sec
		f := newHarness(t, settings(), append(list[:2:2], list[4:]...))
		if !warmed {
			f = newHarness(t, settings(), append(list[1:2:2], list[4:]...))
		}
		sent := 0.0
		for i := range 400 {
			f.now += 5 * ms
			acts := f.request(Request{Object: ObjectID(i + 1), SizeKB: 100})
			for _, g := range sendActions(acts) {
				if g.Server == 12 {
					sent += 0.1
				}
				f.finish(g, 0, Served, Hit)
			}
		}
		// A warm peer carries at most 20 a second of 0.1 s each here; the
		// ramp is at a fifth at the start and twice that may be sent for 2 s.
		if limit := 2 * 0.4 * 20 * 2.0; sent > limit {
			t.Errorf("warmed %v: cold cache was sent %.1f s of work, want at most %.1f", warmed, sent, limit)
		}
		if !warmed && sent > 1.5 {
			t.Errorf("restarted router sent a cold cache %.1f s of work though it knows nothing of its size", sent)
		}
	}
}

// Rule 5: an age bound from the moment of the purge until all copies are gone.
func TestPurges(t *testing.T) {
	for _, c := range []struct {
		name  string
		purge Purge
		class int
		wait  time.Duration
		want  time.Duration
	}{
		{"object", Purge{Object: 7, Age: 100 * ms}, 0, 200 * ms, 300 * ms},
		{"other object", Purge{Object: 8, Group: 4, Age: 100 * ms}, 0, 0, 0},
		{"group", Purge{Group: 4, Age: 100 * ms}, 0, 0, 100 * ms},
		{"other group", Purge{Group: 5, Age: 100 * ms}, 0, 0, 0},
		{"just told", Purge{Object: 7}, 0, 0, time.Microsecond},
		{"fresher than the class asks", Purge{Object: 7, Age: sec}, 1, 0, sec},
		{"older than the class allows", Purge{Object: 7, Age: 5 * sec}, 1, 4 * sec, 8 * sec},
		{"at the end", Purge{Object: 7, Age: sec}, 0, 5*sec - ms, 6*sec - ms},
	} {
		f := newHarness(t, settings(), fleet())
		f.handle(c.purge)
		f.now += c.wait
		if g := f.singleAttempt(f.request(Request{Class: c.class, Object: 7, PurgeGroup: 4, SizeKB: 1})); g.MaxAge != c.want {
			t.Errorf("%s: age %v, want %v", c.name, g.MaxAge, c.want)
		}
	}
	f := newHarness(t, settings(), fleet())
	f.handle(Purge{Object: 7})
	f.now += 7 * sec
	f.handle(Purge{Object: 9})
	if len(f.router.purgeLog.Purges) != 1 {
		t.Errorf("%d purges kept, want 1", len(f.router.purgeLog.Purges))
	}
}

// A full link: requests look first, and known misses are rationed; free
// again, the ordinary path comes back.
func TestSaturatedLinkLimitsFills(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	report := func(x float64) {
		g := f.singleAttempt(f.request(Request{Object: 999, SizeKB: 1}))
		o := Outcome{ID: g.ID, Server: g.Server, Result: Served, CacheStatus: Hit, Duration: ms, RequestDone: true}
		o.Load.LinkUtilization = x
		f.now += limitUpdateInterval
		f.handle(o)
	}
	for range 20 {
		report(5)
	}
	fills := 0
	for i := range 50 {
		look := f.singleAttempt(f.request(Request{Object: ObjectID(i + 1), SizeKB: 1}))
		if look.FillSource != look.Server {
			t.Fatalf("not a look: %v", look)
		}
		fills += len(sendActions(f.finish(look, 0, NotCached, CacheStatusUnknown)))
	}
	if fills == 0 || fills > initialZoneLimit {
		t.Errorf("%d fills, want 1 to %v", fills, initialZoneLimit)
	}
	f = newHarness(t, settings(), fleet())
	for range 20 {
		report(5)
	}
	for range 40 {
		report(0)
	}
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); g.FillSource == g.Server {
		t.Error("still looking first on a free link")
	}
}

// A slow origin: a known miss asks its parent for what it holds, and what the
// parent lacks is rationed.
func TestSlowOriginIsLimited(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	for range 10 {
		f.router.originLimiter.observe(f.now, 3, 1)
	}
	held, deep := 0, 0
	for i := range 50 {
		look := f.singleAttempt(f.request(Request{Object: ObjectID(i + 1), SizeKB: 1}))
		fill := sendActions(f.finish(look, 0, NotCached, CacheStatusUnknown))
		if len(fill) == 0 {
			continue
		}
		if !fill[0].OnlyIfCached {
			t.Fatalf("went past what the parent holds: %v", fill[0])
		}
		held++
		deep += len(sendActions(f.finish(fill[0], 1, NotCached, SourceMiss)))
	}
	if held == 0 || deep == 0 || deep > initialZoneLimit {
		t.Errorf("%d asked of parents, %d of the origin; want some, and 1 to %v", held, deep, initialZoneLimit)
	}
}

// A sick source is not taken for a sick cache, nor the other way round.
func TestFailuresAreAttributed(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	home := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1}))
	for n := range 4 {
		g := home
		if n > 0 {
			g = f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1}))
		}
		f.finish(g, 0, ServerError, SourceUnreachable)
	}
	after := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1}))
	if after.Server != home.Server {
		t.Errorf("the cache was blamed for its source: %v, then %v", home, after)
	}
	f = newHarness(t, settings(), fleet())
	for range consecutiveFailureLimit {
		f.finish(f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})), 0, ServerError, CacheStatusUnknown)
	}
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); g.Server == home.Server {
		t.Errorf("a cache that failed %d times in a row is still used", consecutiveFailureLimit)
	}
	f.now += maxEjectionTime
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); g.Server != home.Server {
		t.Errorf("no tentative return: %v", g)
	}
}

// A silent cache is found by the lack of outcomes, and what it holds moves.
func TestUnresponsiveCacheIsFound(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	var out []SendAttempt
	for range consecutiveFailureLimit {
		out = append(out, f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})))
	}
	f.now += 700 * ms
	moved := 0
	for _, g := range out {
		acts := f.handle(TimerFired{uint64(g.ID)<<timerKindBits | timerCheckAttempt})
		if len(acts) == 1 && acts[0] == (CancelAttempt{ID: g.ID}) {
			acts = f.handle(Outcome{ID: g.ID, Server: g.Server, Result: Canceled})
		}
		for _, m := range sendActions(acts) {
			if moved++; m.Server == out[0].Server {
				t.Errorf("moved to the silent cache: %v", m)
			}
		}
	}
	if moved == 0 {
		t.Error("nothing moved")
	}
}

// playRandomStream feeds a legal stream of events made from a seed to one router, checks
// what one router's actions can tell of the rules, and returns the actions.
func playRandomStream(t *testing.T, seed uint64, step func(*Router, time.Duration, Event) []Action) []Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := settings()
	f := newHarness(t, s, fleet())
	type sent struct {
		SendAttempt
		n int
	}
	var all []Action
	var out []sent
	tries, owed, gone := map[RequestID]int{}, map[RequestID]time.Duration{}, map[ServerID]bool{}
	live := map[RequestID]int{}
	handle := func(ev Event) {
		acts := step(f.router, f.now, ev)
		all = append(all, acts...)
		for _, a := range acts {
			switch a := a.(type) {
			case SendAttempt:
				if _, ok := owed[a.ID]; !ok {
					t.Fatalf("seed %d: sent for a finished request: %v", seed, a)
				}
				if gone[a.Server] || gone[a.FillSource] {
					t.Fatalf("seed %d: sent to a server that is gone: %v", seed, a)
				}
				if live[a.ID]++; live[a.ID] > 1 {
					t.Fatalf("seed %d: two attempts at once: %v", seed, a)
				}
				out = append(out, sent{a, tries[a.ID]})
				if tries[a.ID]++; tries[a.ID] > s.MaxAttempts {
					t.Fatalf("seed %d: too many attempts: %v", seed, a)
				}
			case Reject:
				if _, ok := owed[a.ID]; !ok {
					t.Fatalf("seed %d: second answer: %v", seed, a)
				}
				delete(owed, a.ID)
			case Fail:
				if _, ok := owed[a.ID]; !ok {
					t.Fatalf("seed %d: second answer: %v", seed, a)
				}
				delete(owed, a.ID)
			}
		}
	}
	type timer struct {
		at  time.Duration
		tok uint64
	}
	var timers []timer
	run := handle
	handle = func(ev Event) {
		before := len(all)
		run(ev)
		for _, a := range all[before:] {
			if w, ok := a.(SetTimer); ok {
				timers = append(timers, timer{f.now + w.Delay, w.Token})
			}
		}
	}
	finish := func(i int, res Result) {
		a := out[i]
		out = slices.Delete(out, i, i+1)
		live[a.ID]--
		_, open := owed[a.ID]
		if res == Served {
			delete(owed, a.ID)
		}
		handle(Outcome{ID: a.ID, Attempt: a.n, Server: a.Server, Result: res, CacheStatus: CacheStatus(rng.IntN(11)),
			Duration: time.Duration(rng.IntN(900)) * ms, RequestDone: res == Served || !open,
			Load: LoadReport{LinkUtilization: rng.Float64() * 4}})
	}
	for i := range 3000 {
		f.now += time.Duration(rng.IntN(20)) * ms
		for j := 0; j < len(timers); {
			if timers[j].at > f.now {
				j++
				continue
			}
			tok := timers[j].tok
			timers = slices.Delete(timers, j, j+1)
			handle(TimerFired{tok})
		}
		for j := 0; j < len(out); {
			if out[j].Deadline <= f.now {
				finish(j, TimedOut)
				continue
			}
			j++
		}
		for id := RequestID(1); id < RequestID(i+1); id++ {
			if by, ok := owed[id]; ok && by+8*ms+20*ms < f.now {
				t.Fatalf("seed %d: request %d is overdue", seed, id)
			}
		}
		switch x := rng.IntN(100); {
		case x < 45:
			id, class := RequestID(i+1), rng.IntN(4)
			left := time.Duration(1+rng.Int64N(int64(s.Classes[class].Deadline/ms))) * ms
			owed[id] = f.now + left
			handle(Request{ID: id, Class: class, Object: ObjectID(1 + rng.IntN(50)), PurgeGroup: rng.IntN(4),
				Timeout: left, SizeKB: float64(rng.IntN(800))})
		case x < 92:
			if len(out) > 0 {
				finish(rng.IntN(len(out)), Result(min(rng.IntN(16), int(NotCached))*rng.IntN(2)))
			}
		case x < 95:
			e := fleet()[rng.IntN(7)]
			e.Phase = Phase(rng.IntN(3))
			e.StartedAt = f.now - time.Duration(rng.IntN(5000))*ms
			gone[e.ID] = e.Phase != Ready
			handle(EndpointUpdate{Servers: []Server{e}})
		case x < 98:
			handle(Purge{Object: ObjectID(rng.IntN(50)), Group: rng.IntN(4), Age: time.Duration(rng.IntN(400)) * ms})
		default:
			id := RequestID(1 + rng.IntN(i+1))
			if _, ok := owed[id]; ok {
				delete(owed, id)
				handle(ClientDisconnected{id})
			}
		}
	}
	return all
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

// The files named as policy in deploy/balancer.toml hold 950 lines at most.
func TestPolicyFilesKeepTheirLimits(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	lines := 0
	for _, quoted := range strings.Split(string(list[1]), ", ") {
		name, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if len([]rune(strings.ReplaceAll(line, "\t", " "))) > 110 {
				t.Errorf("%s: line longer than 110: %s", name, line)
			}
		}
	}
	if lines > 950 {
		t.Errorf("%d lines, want at most 950", lines)
	}
}

// No cache can take a request: it goes straight to its home parent, which may
// ask the origin (the symptom: misses of parents named as their own source).
func TestBypassToTheParent(t *testing.T) {
	f := newHarness(t, settings(), fleet()[3:])
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); g.Server != 31 && g.Server != 32 || g.FillSource != 41 {
		t.Errorf("want a parent that may ask the origin, got %v", g)
	}
}

// Many routers that each see little find a cold cache, or a cold parent, at
// once: their sum stays within its budget (the symptom: the least that each
// always sent pushed it over).
func TestSlowStartBudgetHoldsForTheSum(t *testing.T) {
	const routers = 60
	list := fleet()
	list[1].StartedAt, list[5].StartedAt = 1000*sec, 1000*sec // cache 12, parent 32
	sent := map[ServerID]float64{}
	for seed := range uint64(routers) {
		f := newHarness(t, settings(), list)
		f.router.seed = seed
		for i := range 8 { // one request each quarter of a second
			f.now += 250 * ms
			acts := f.request(Request{Object: ObjectID(seed*100 + uint64(i) + 1), SizeKB: 100})
			for _, g := range sendActions(acts) {
				sent[g.Server] += *f.router.requests[g.ID].meanTransferTime
				if g.FillSource != g.Server {
					sent[g.FillSource] += *f.router.requests[g.ID].meanTransferTime
				}
				f.finish(g, 0, Served, Filled)
			}
		}
	}
	// All carried 480 pieces of at most 0.6 s in 2 s; two caches and one parent
	// are warm, so a cache does 72 s of work a second at the most, a parent 144.
	if max := 2 * 0.36 * 72 * 2.0; sent[12] > max {
		t.Errorf("the cold cache was sent %.0f s of work, want at most %.0f", sent[12], max)
	}
	if max := 2 * 0.19 * 144 * 2.0; sent[32] > max {
		t.Errorf("the cold parent was sent %.0f s of work, want at most %.0f", sent[32], max)
	}
	one := newHarness(t, settings(), list)
	one.router.peakThroughput[cache] = 0.01 // it has seen its caches carry next to nothing
	lots := 0
	for one.router.seed = range uint64(1000) {
		s := one.router.servers[1]
		if s.recentWork = nil; one.router.withinSlowStartBudget(s, 0.4) {
			lots++
		}
	}
	if want := 1000 * slowStartMargin * 2 * 0.2 * 0.01 * 2 / 0.4; float64(lots) > 2*want || lots == 0 {
		t.Errorf("%d of 1000 routers send a first piece, want about %.0f", lots, want)
	}
}

// A location that lost all its caches teaches nothing of what one carries (the
// symptom: endless budgets for the first that came back).
func TestRemovedServersTeachNoThroughput(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Object: 1, SizeKB: 500}))
	f.handle(EndpointUpdate{Snapshot: true, Servers: fleet()[3:]})
	before := f.router.peakThroughput[cache]
	f.finish(g, 0, Served, Hit)
	if after := f.router.peakThroughput[cache]; after > before {
		t.Errorf("the caches are taken to carry %v, was %v", after, before)
	}
}

// An origin that many routers push: what a router always has out there is its
// part of what its location has, kept by pauses where that is below one; and a
// write is held too while the origin answers none in time.
func TestLimitsAreZoneQuotas(t *testing.T) {
	s := settings()
	s.RoutersByZone, s.Routers = []int{0, 20, 1}, 21
	f := newHarness(t, s, fleet())
	strained := &attempt{request: &request{class: &s.Classes[2]}, source: f.router.readyByRole[origin][0]}
	for range 100 {
		f.now += 200 * ms
		f.router.now = f.now
		f.router.recordOriginLoad(strained, 4)
	}
	if want := minZoneLimit / 20; f.router.originLimiter.limit > want*1.01 {
		t.Errorf("the ration of one of 20 routers is %v, want %v", f.router.originLimiter.limit, want)
	}
	f.router.originLimiter.track(f.now, 1)
	f.now += sec
	f.router.originLimiter.track(f.now, -1)
	if f.now += 8 * sec; f.router.originLimiter.admits(f.now) {
		t.Error("no pause after what one router may have out a tenth of the time")
	}
	if f.now += 2 * sec; !f.router.originLimiter.admits(f.now) {
		t.Error("still closed after the pause")
	}
	if g := f.singleAttempt(f.request(Request{Class: 2, Object: 1, SizeKB: 10})); g.Server != 41 {
		t.Fatalf("a write went to %v", g.Server)
	}
	if acts := f.request(Request{Class: 2, Object: 2, SizeKB: 10}); len(sendActions(acts)) != 0 {
		t.Errorf("a second write was sent to an origin that answers none in time: %v", acts)
	}
}

// A look that rode on another request's failing fill is a miss, no fault of
// its cache (the symptom: caches set aside because of a slow origin).
func TestSharedFillFailureBlamesNoServer(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	for range 10 {
		f.router.originLimiter.observe(f.now, 3, 1)
	}
	for i := range 2 * consecutiveFailureLimit {
		look := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1}))
		fill := f.singleAttempt(f.finish(look, 0, ServerError, SourceUnreachable))
		if fill.Server != look.Server || fill.FillSource == fill.Server {
			t.Fatalf("after look %d: %v, want a fill by the same cache", i, fill)
		}
		f.handle(ClientDisconnected{fill.ID})
	}
}

// A fetch that timed out behind a parent tells of the origin, not of the parent.
func TestSlowFetchIsAttributedToTheOrigin(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	q := &request{class: &f.router.settings.Classes[0], meanTransferTime: &f.router.meanTransferTimes[0]}
	from := f.router.readyByRole[parent][0]
	for range 10 {
		f.now += sec
		f.router.now = f.now
		f.router.recordOutcome(&attempt{request: q, target: f.router.readyByRole[cache][0], source: from, fill: true, fromOrigin: true},
			Outcome{Result: ServerError, CacheStatus: SourceUnreachable, Duration: 2 * sec})
	}
	if !f.router.originLimiter.active || from.consecutiveFailures > 0 || from.limiter.active {
		t.Errorf("origin rationed: %v; parent blamed: %v, %v", f.router.originLimiter.active, from.consecutiveFailures, from.limiter.active)
	}
}

// Marks mean the same however many routers share a location.
func TestPopularityScalesWithZoneFraction(t *testing.T) {
	s := settings()
	s.RoutersByZone = []int{0, 10, 1}
	f := newHarness(t, s, fleet())
	f.request(Request{Object: 5, SizeKB: 1})
	f.now += 40 * sec // one in ten of its requests comes here: it may well be asked for all the time
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); !g.JoinFill {
		t.Error("not hot though its location asks for it every four seconds")
	}
}

// A write that may have run and may not run again is answered at once.
func TestFinalAnswerIsNotDelayed(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Class: 3, Object: 1, SizeKB: 10}))
	if acts := f.finish(g, 0, ConnectionLost, CacheStatusUnknown); !isFailed(acts) {
		t.Errorf("%v, want a failure at once", acts)
	}
}

// Servers come and go for ever; what is kept of them does not grow.
func TestRemovedServersExpire(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	for i := range 500 {
		e := Server{ID: ServerID(1000 + i), Zone: 1, Kind: cacheKind, Phase: Ready, StartedAt: f.now}
		f.handle(EndpointUpdate{Servers: []Server{e, {ID: ServerID(90000 + i), Zone: 2, Kind: cacheKind, Phase: Ready}}})
		f.finish(f.singleAttempt(f.request(Request{Object: ObjectID(i + 1), SizeKB: 1})), 0, Served, Hit)
		f.now += sec
		e.Phase = Removed
		f.handle(EndpointUpdate{Servers: []Server{e}})
	}
	if n, most := len(f.router.servers), int(serverRetention/sec)+10; n > most {
		t.Errorf("%d servers kept, want at most %d", n, most)
	}
}

// BenchmarkHandle shows what a request with its outcome costs in a small and in
// a large fleet.
func BenchmarkHandle(b *testing.B) {
	for name, n := range map[string]int{"small": 4, "large": 40} {
		b.Run(name, func(b *testing.B) {
			s, list := settings(), []Server{{ID: 1, Kind: originKind, Phase: Ready}}
			for z := range n { // n locations of five caches, a parent for every four
				for i := range 5 {
					list = append(list, Server{ID: ServerID(100 + 10*z + i), Zone: z, Kind: cacheKind, Phase: Ready})
				}
				if z%4 == 0 {
					list = append(list, Server{ID: ServerID(10 + z), Kind: parentKind, Phase: Ready})
				}
			}
			r, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			var acts []Action
			now := 1000 * sec
			r.Handle(now, EndpointUpdate{Snapshot: true, Servers: list}, nil)
			b.ReportAllocs()
			for i := range b.N {
				now += 10 * ms
				id := RequestID(i + 1)
				acts = r.Handle(now, Request{ID: id, Object: ObjectID(i % 1000), Timeout: sec, SizeKB: 10}, acts[:0])
				r.Handle(now, Outcome{ID: id, Result: Served, CacheStatus: Hit, Duration: 10 * ms, RequestDone: true}, acts[:0])
			}
		})
	}
}

// Held again when fills became faster, a request still gets its answer (the
// symptom: its wake-up had passed while an attempt was out, and none was set).
func TestRequestQueuedTwiceIsAnswered(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	f.router.linkLimiter.active, f.router.fillPace = true, 3
	look := f.singleAttempt(f.request(Request{Object: 1, SizeKB: 200}))
	f.router.linkLimiter.limit, f.router.linkLimiter.inflight = 1, 1
	if acts := f.finish(look, 0, NotCached, CacheStatusUnknown); len(sendActions(acts)) != 0 {
		t.Fatalf("not held: %v", acts)
	}
	q := f.router.requests[look.ID]
	q.queued, f.router.queue, f.router.linkLimiter.inflight = false, nil, 0
	f.router.dispatch(q) // an attempt goes out, and is when the wake-up comes
	if q.inflight != 1 {
		t.Fatalf("%d attempts out, want 1", q.inflight)
	}
	f.now = q.queueUntil
	f.handle(TimerFired{uint64(q.ID)<<timerKindBits | timerQueueExpired})
	f.router.fillPace, f.router.linkLimiter.inflight = 1, 9
	if acts := f.finish(look, 1, Rejected, FillRejected); !isRefused(acts) {
		t.Errorf("neither answered nor waking up: %v", acts)
	}
}

// A cache that answered this router a second ago and is slow now is waited for, not
// taken for silent. Symptom guarded against: after a flush every answer was slow,
// thin routers that had heard nothing since an attempt cancelled it and had another
// cache fill the object again (join+vast, seed 775179834380: G 0.41 against 0.55).
func TestSlowCacheThatRespondedLatelyIsNotUnresponsive(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1}))
	f.now += 50 * ms
	f.finish(g, 0, Served, CacheStatusUnknown)
	f.now += sec
	h := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1}))
	if h.Server != g.Server {
		t.Fatalf("the second went to %v, the first to %v", h.Server, g.Server)
	}
	f.now += 700 * ms
	if acts := f.handle(TimerFired{uint64(h.ID)<<timerKindBits | timerCheckAttempt}); slices.ContainsFunc(acts, func(a Action) bool {
		_, ok := a.(CancelAttempt)
		return ok
	}) {
		t.Errorf("a cache heard 1.7 s ago was taken for silent: %v", acts)
	}
	if s := f.router.servers[slices.IndexFunc(f.router.servers, func(s *server) bool { return s.ID == g.Server })]; s.unresponsive {
		t.Error("marked silent")
	}
}
