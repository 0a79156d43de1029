package routing

import (
	"slices"
	"testing"
	"time"
)

// finishWithoutStatus ends an attempt as a cache does that tells nothing of its fills.
func (f *harness) finishWithoutStatus(g SendAttempt, n int, res Result, took time.Duration) []Action {
	return f.handle(Outcome{ID: g.ID, Attempt: n, Server: g.Server, Result: res, Duration: took, RequestDone: res == Served})
}

// Slow attempts must not put parents to rest where outcomes never name the
// source (the symptom: both rested, and the origin had to fill everything).
func TestFillsWithoutStatusKeepTheirParent(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	for i := range 100 {
		f.now += 20 * ms
		slow := f.singleAttempt(f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec}))
		for j := range 6 { // meanwhile its cache answers others
			f.now += ms
			f.finishWithoutStatus(f.singleAttempt(f.request(Request{Object: ObjectID(1000 + 10*i + j), Timeout: 6 * sec})), 0, Served, ms)
		}
		f.now += 2 * sec
		f.handle(TimerFired{Token: uint64(slow.ID)<<timerKindBits | timerCheckAttempt})
		f.finishWithoutStatus(slow, 0, Served, 2*sec)
		for _, p := range f.router.readyByRole[parent] {
			if p.ejections > 0 {
				t.Fatalf("parent %d was put to rest after %d slow attempts", p.ID, i+1)
			}
		}
	}
}

// A cache that refused for a while and serves again is not rationed for ever.
func TestLimiterReopensWithoutStatus(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	cache := f.router.readyByRole[cache][0]
	for range 20 {
		f.now += 200 * ms
		cache.limiter.observe(f.now, rejectionUtilization, 1)
	}
	if !cache.limiter.active {
		t.Fatal("refusals do not start the ration")
	}
	for i := range 400 {
		f.now += 100 * ms
		for _, g := range sendActions(f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec})) {
			f.finishWithoutStatus(g, 0, Served, 10*ms)
		}
	}
	if cache.limiter.active {
		t.Errorf("still rationed at fullness %.2f", cache.limiter.utilization)
	}
}

// What a parent does not hold is known by the miss of a fill that asks for no
// more; without notes there is no other word for it.
func TestParentMissWithoutStatus(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	f.router.originLimiter.active, f.router.originLimiter.limit = true, 10
	look := f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec}))
	held := f.singleAttempt(f.finishWithoutStatus(look, 0, NotCached, ms))
	if !held.OnlyIfCached {
		t.Fatalf("%+v: want a fill of what the parent holds", held)
	}
	deep := f.singleAttempt(f.finishWithoutStatus(held, 1, NotCached, ms))
	if deep.Server != held.Server || deep.OnlyIfCached {
		t.Errorf("%+v: want a fetch through the same cache", deep)
	}
}

// Three refusals without a word end a read: further ones feed the jam.
func TestReadsWithoutStatusStopEarly(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec}))
	for n := range maxReadAttemptsUnknownStatus - 1 {
		g = f.singleAttempt(f.finishWithoutStatus(g, n, Rejected, ms))
	}
	if acts := f.finishWithoutStatus(g, maxReadAttemptsUnknownStatus-1, Rejected, ms); !isRefused(acts) {
		t.Errorf("%v: want a refusal", acts)
	}
}

// A home cache that has all that its link can send is stood in for by caches with
// ample room, and waited for when there is none. (The symptom: all waited, and a
// sixth was refused while the next cache had room for two thirds more.)
func TestSaturatedHomeHasFailoverTarget(t *testing.T) {
	s := settings()
	s.WeightIsCapacity, s.RoutersByZone = true, []int{0, 1, 1}
	list := fleet()
	for i := range list {
		list[i].Weight = 4
	}
	f := newHarness(t, s, list)
	var sent []SendAttempt
	there := map[ServerID]int{}
	for range 20 {
		for _, g := range sendActions(f.request(Request{Object: 7, Timeout: 6 * sec})) {
			sent = append(sent, g)
			there[g.Server]++
		}
	}
	home, most := sent[0].Server, int(overcommitFactor*4)
	for id, n := range there {
		if id == home && n != most || id != home && n != int(float64(most)*failoverHeadroom) {
			t.Errorf("%d attempts at cache %d; the home is %d", n, id, home)
		}
	}
	if len(there) != len(f.router.readyByRole[cache]) {
		t.Errorf("only %d caches were asked", len(there))
	}
	if next := sendActions(f.finishWithoutStatus(sent[0], 0, Served, 10*ms)); len(next) != 1 || next[0].Server != home {
		t.Errorf("when one ends %v follow, want one to the home", next)
	}
}

// A router that restarted has seen nothing carried. Where all caches are cold
// and their weights count transfers, it sends its part and no more.
func TestSlowStartBudgetFromWeights(t *testing.T) {
	s := settings()
	s.WeightIsCapacity = true
	list := append(fleet()[:1:1], fleet()[4:]...)
	list[0].Weight, list[0].StartedAt = 10, 1000*sec
	list[1].Weight, list[2].Weight = 100, 100
	f := newHarness(t, s, list)
	work := 0.0
	for i := range 400 {
		f.now += 5 * ms
		for _, g := range sendActions(f.request(Request{Object: ObjectID(i + 1), SizeKB: 100})) {
			if g.Server == list[0].ID {
				work += 0.1
			}
			f.finishWithoutStatus(g, 0, Served, 100*ms)
		}
	}
	// The ramp is at 0.2 to 0.36 of 10 transfers, and twice that for 2 s is too much.
	if limit := 2 * 0.2 * 10 * 2.0; work == 0 || work > limit {
		t.Errorf("a cold cache was sent %.1f s of work, want some and at most %.1f", work, limit)
	}
}

// A refusal without a word may be the source's: the home cache is asked once
// more with another (the symptom: while a parent was lost, every miss of its
// objects went round the caches and was refused).
func TestRejectionWithoutStatusChangesTheSource(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	a := f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec}))
	b := f.singleAttempt(f.finishWithoutStatus(a, 0, Rejected, ms))
	if b.Server != a.Server || b.FillSource == a.FillSource {
		t.Errorf("%+v follows %+v: want the same cache and another source", b, a)
	}
	if c := f.singleAttempt(f.finishWithoutStatus(b, 1, Rejected, ms)); c.Server == a.Server {
		t.Errorf("%+v: want another cache after two refusals", c)
	}
}

// A write does not wait for a crowded cache: its bytes are few and its worth
// is the highest (the symptom: a third of the writes was refused unsent).
func TestWritesPassASaturatedCache(t *testing.T) {
	s := settings()
	s.WeightIsCapacity, s.AllowBypass = true, false
	list := fleet()
	for i := range list {
		list[i].Weight = 2
	}
	f := newHarness(t, s, list)
	for range 10 * len(f.router.readyByRole[cache]) {
		f.request(Request{Object: ObjectID(f.nextID), Timeout: 6 * sec})
	}
	if g := f.singleAttempt(f.request(Request{Object: 7, Class: 2, Timeout: 3 * sec})); !f.router.saturated(f.router.requests[g.ID].attempts[0].target, 1) {
		t.Error("the write went to a cache that was not crowded")
	}
}

// A parent that fails its fills is left alone though all hits name it too, and
// the caches that met it are not; what failed by it goes through the other one
// at once. It has its place again when it is well. (The symptom: one attempt
// in three ended as an error, and no server was ever set aside.)
func TestErrorsWithoutStatusFindTheParent(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	play := func(n int, fails func(g SendAttempt, held bool) bool) (errors, refusals int) {
		for i := range n {
			f.now += 20 * ms
			acts, try := f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec}), 0
			for len(sendActions(acts)) > 0 {
				g := sendActions(acts)[0]
				f.now += 10 * ms
				res := Served
				if fails(g, i%3 > 0) {
					res = ServerError
					errors++
				}
				acts, try = f.finishWithoutStatus(g, try, res, 10*ms), try+1
			}
			if isRefused(acts) {
				refusals++
			}
		}
		return errors, refusals
	}
	bad := f.router.readyByRole[parent][0].ID
	errors, refusals := play(600, func(g SendAttempt, held bool) bool { return g.FillSource == bad && !held })
	if errors > 40 || refusals > 2 {
		t.Errorf("%d errors and %d refusals met a parent that fails all fills", errors, refusals)
	}
	for _, c := range f.router.readyByRole[cache] {
		if c.ejections > 0 {
			t.Errorf("cache %d was set aside for its parent", c.ID)
		}
	}
	play(600, func(SendAttempt, bool) bool { return false })
	if s := f.router.readyByRole[parent][0]; s.ejections > 0 {
		t.Errorf("the parent is well again and still set aside, at %.2f", s.errorRate)
	}
	// The same of a cache, and of all of them alike.
	bad = f.router.readyByRole[cache][0].ID
	if errors, refusals = play(600, func(g SendAttempt, held bool) bool { return g.Server == bad && held }); errors > 40 || refusals > 2 {
		t.Errorf("%d errors and %d refusals met a cache that fails", errors, refusals)
	}
	play(600, func(SendAttempt, bool) bool { return false })
	n := 0
	play(600, func(SendAttempt, bool) bool { n++; return n%8 == 0 })
	for _, c := range f.router.servers {
		if c.ejections > 0 {
			t.Errorf("server %d was set aside though all fail alike", c.ID)
		}
	}
}

// What fails at once is one failure, and a busy server is not set aside for a few
// among hundreds. (The symptom: a cache with 70 requests out rested for three.)
func TestFewErrorsOfManyAreNoOutlier(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	var open []SendAttempt
	for i := range 60 {
		open = append(open, sendActions(f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec}))...)
	}
	f.now += 10 * ms
	for i, g := range open {
		res := Served
		if g.Server == open[0].Server && i < 30 {
			res = ServerError
		}
		f.finishWithoutStatus(g, 0, res, 10*ms)
	}
	for _, s := range f.router.servers {
		if s.ejections > 0 || f.router.isOutlier(s) {
			t.Errorf("server %d is set aside, at %.2f", s.ID, s.errorRate)
		}
	}
}

// One connection that breaks with many requests is one failure.
func TestOneBreakIsOneFailure(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	var open []SendAttempt
	for i := range 40 {
		open = append(open, sendActions(f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec}))...)
	}
	f.now += 10 * ms
	for _, g := range open {
		f.finishWithoutStatus(g, 0, ConnectionLost, 10*ms)
	}
	for _, c := range f.router.readyByRole[cache] {
		if c.consecutiveFailures > 1 || c.ejections > 0 {
			t.Errorf("cache %d: %d failures, %d rests", c.ID, c.consecutiveFailures, c.ejections)
		}
	}
}

// A write whose answer is lost, while others are answered in their usual time,
// does not make the origin look full: no read is held back or sent to look first.
func TestLostResponseIsNoOriginOverload(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	write := func() SendAttempt { return f.singleAttempt(f.request(Request{Class: 2, Object: 9, Timeout: 3 * sec})) }
	for range 3 {
		lost := write()
		for range 30 {
			f.now += 100 * ms
			f.finishWithoutStatus(write(), 0, Served, 50*ms)
			f.handle(TimerFired{Token: uint64(lost.ID)<<timerKindBits | timerCheckAttempt})
		}
		f.finishWithoutStatus(lost, 0, TimedOut, 3*sec)
	}
	if f.router.originLimiter.active || f.router.originLimiter.utilization > limiterActivation/2 {
		t.Errorf("the origin is taken for full: on %v, at %.2f", f.router.originLimiter.active, f.router.originLimiter.utilization)
	}
	for range 3 { // with nothing answered at all, it is
		stuck := write()
		f.now += 2 * sec
		f.handle(TimerFired{Token: uint64(stuck.ID)<<timerKindBits | timerCheckAttempt})
	}
	if !f.router.originLimiter.active {
		t.Error("an origin that answers nothing is not taken for full")
	}
}

// A cache that does a tenth of its work for a while keeps few of its keys, and
// has them again when it is well. (The symptom: its keys waited for it as for a
// crowded home, and a third of all requests were refused.)
func TestSlowCacheKeepsFewKeys(t *testing.T) {
	set := settings()
	set.BodyBytesPerSecond = 100_000
	f := newHarness(t, set, fleet())
	slow := f.router.readyByRole[cache][0].ID
	type out struct {
		g   SendAttempt
		at  time.Duration
		due time.Duration
	}
	var open []out
	play := func(n int, times time.Duration) (there int) {
		for i := range n {
			f.now += 20 * ms
			for _, g := range sendActions(f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec})) {
				o := out{g, f.now, f.now + 150*ms}
				if g.Server == slow {
					there++
					o.due = f.now + 150*ms*times
				}
				open = append(open, o)
			}
			open = slices.DeleteFunc(open, func(o out) bool {
				if o.due <= f.now {
					f.handle(Outcome{ID: o.g.ID, Server: o.g.Server, Result: Served, Duration: f.now - o.at, BodyBytes: 15_000, RequestDone: true})
				}
				return o.due <= f.now
			})
		}
		return there
	}
	well := play(300, 1)
	play(150, 10)
	sick := play(300, 10)
	play(300, 1)
	again := play(300, 1)
	if well < 60 || sick > well/3 || again < well*3/4 {
		t.Errorf("of 300 it had %d when well, %d when slow and %d when well again", well, sick, again)
	}
}

// A parent whose fills hang is set aside though hits that name it go on. (The
// symptom: one attempt in three to it ended late or not at all for 5 s.)
func TestHitsKeepNoHangingParentAlive(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	bad, hung := f.router.readyByRole[parent][0].ID, 0
	type wait struct {
		id RequestID
		at time.Duration
	}
	var looks []wait
	for i := range 600 {
		f.now += 20 * ms
		for len(looks) > 0 && looks[0].at <= f.now {
			w := looks[0]
			looks = looks[1:]
			for _, a := range f.handle(TimerFired{Token: uint64(w.id)<<timerKindBits | timerCheckAttempt}) {
				switch a := a.(type) {
				case SetTimer:
					looks = append(looks, wait{w.id, f.now + a.Delay})
				case CancelAttempt:
					f.handle(Outcome{ID: a.ID, Attempt: a.Attempt, Result: Canceled})
				}
			}
		}
		for _, a := range f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec}) {
			switch a := a.(type) {
			case SendAttempt:
				if a.FillSource == bad && i%3 == 0 {
					hung++
					looks = append(looks, wait{a.ID, f.now + 400*ms})
				} else {
					f.finishWithoutStatus(a, 0, Served, 50*ms)
				}
			}
		}
	}
	if hung > 65 {
		t.Errorf("%d of some 100 fills went to a parent that brings none", hung)
	}
}

// A router that serves its location alone for a while may use the caches' whole
// links as long as they answer in time, and its part of them once they lag. (The
// symptom: it refused a tenth while the links were half used.)
func TestCachesAtFullPaceTakeMore(t *testing.T) {
	s := settings()
	s.WeightIsCapacity, s.RoutersByZone, s.BodyBytesPerSecond = true, []int{0, 2, 2}, 100_000
	list := fleet()
	for i := range list {
		list[i].Weight = 20
	}
	f := newHarness(t, s, list)
	c := f.router.readyByRole[cache][0]
	c.inflight = 18
	if f.router.saturated(c, 1) {
		t.Error("a cache whose answers come in time counts as crowded")
	}
	c.slowdown.observe(f.now, slowdownTimeConstant, 1, 2*saturatedSlowdown)
	if !f.router.saturated(c, 1) {
		t.Error("a cache that lags, with more out than this router's part, does not")
	}
}

// newSmallShareHarness is a router that is one of eight in its location, whose part of each of the
// three caches is under two of their six transfers.
func newSmallShareHarness(t *testing.T) *harness {
	s := settings()
	s.WeightIsCapacity, s.RoutersByZone, s.BodyBytesPerSecond = true, []int{0, 8, 1}, 100_000
	list := fleet()
	for i := range list {
		list[i].Weight = 6
	}
	f := newHarness(t, s, list)
	for _, c := range f.router.readyByRole[cache] { // others have much out there
		c.slowdown.observe(f.now, slowdownTimeConstant, 1, 1.5*saturatedSlowdown)
	}
	return f
}

// All routers of a location together have no more out than its caches send, though
// each may have leastOut at any one of them. (The symptom: eight routers had 16 out at
// caches that send six, the link of the location jammed and 50 in 100 were refused
// long after a burst of 5 s.)
func TestManyRoutersShareTheirCaches(t *testing.T) {
	f := newSmallShareHarness(t)
	n := 0
	for i := range 40 {
		n += len(sendActions(f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec})))
	}
	if most := overcommitFactor * 6 * 3 / 8; float64(n) < most || float64(n) > most+1 {
		t.Errorf("%d are out, want this router's part, %.1f", n, most)
	}
}

// An object stays with its home where this router's part of a cache is so small that
// two at once are chance. (The symptom: 44 in 100 objects changed their cache on a
// day without a fault, and the fills that this made filled the link.)
func TestSmallSharesMoveNoObjects(t *testing.T) {
	f := newSmallShareHarness(t)
	home := f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec})).Server
	for range 3 {
		for _, g := range sendActions(f.request(Request{Object: 7, Timeout: 6 * sec})) {
			if g.Server != home {
				t.Errorf("sent to cache %d, want its home %d", g.Server, home)
			}
		}
	}
	if want := 4 - int(inflightFloor(false)); len(f.router.queue) != want {
		t.Errorf("%d wait for their home, want %d", len(f.router.queue), want)
	}
}

// A request that waits is refused when no answer at the pace of a crowd is in time
// any more, not sent to be late. (The symptom: of what was sent after a wait, a third
// came after its time, and its work was lost.)
func TestQueuedIsSentInTimeOrNotAtAll(t *testing.T) {
	f := newSmallShareHarness(t)
	for range int(inflightFloor(false)) {
		f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec}))
	}
	began := f.now
	acts := f.request(Request{Object: 7, Timeout: 6 * sec})
	q := f.router.requests[f.nextID-1]
	if len(sendActions(acts)) != 0 || q == nil {
		t.Fatalf("not held: %v", acts)
	}
	if left := q.objectiveAt - q.queueUntil; left < secondsToDuration(2*expectedLatencySeconds(f, q)) || q.queueUntil <= began {
		t.Errorf("held until %v before its time, for work of %.3f s", left, expectedLatencySeconds(f, q))
	}
	f.now = q.queueUntil
	if acts := f.handle(TimerFired{uint64(q.ID)<<timerKindBits | timerQueueExpired}); !isRefused(acts) {
		t.Errorf("%v: want a refusal", acts)
	}
}

// expectedLatencySeconds is the work of a request in seconds.
func expectedLatencySeconds(f *harness, q *request) float64 {
	w, _ := f.router.transferSeconds(q)
	return w
}

// All routers of a location together spare caches that come back cold at once, though
// each keeps to its own part, has seen its caches carry much while others rested, and
// its traffic is several times that of others.
func TestManyRoutersSpareWarmingCaches(t *testing.T) {
	const routers, weight = 8, 6.0
	s := settings()
	s.WeightIsCapacity, s.RoutersByZone, s.Routers, s.BodyBytesPerSecond, s.AllowBypass = true, []int{0, routers, 1}, routers+1, 100_000, false
	s.CacheSlowStart = SlowStart{InitialCapacity: 0.15, Duration: 16 * sec, OverloadFactor: 3, OverloadWindow: 1500 * ms}
	list := fleet()
	for i := range list {
		list[i].Weight = weight
	}
	var fs []*harness
	for i := range routers {
		r, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		fs = append(fs, &harness{T: t, router: r, now: 1000 * sec, nextID: 1})
		fs[i].handle(EndpointUpdate{Snapshot: true, Servers: list})
	}
	born := 1010 * sec
	type piece struct {
		at   time.Duration
		work float64
	}
	sent := map[ServerID][]piece{}
	for now := 1000 * sec; now < 1030*sec; now += 5 * ms {
		if now == born {
			for i := range 3 {
				list[i].StartedAt = born
			}
			for _, f := range fs {
				f.now = now
				f.handle(EndpointUpdate{Servers: slices.Clone(list[:3])})
			}
		}
		for i, f := range fs {
			f.now = now
			busy := int(now/(2*sec))%routers == i // one after another has ten times the traffic
			if every := 200 * ms; now%every != 0 && !(busy && now%(every/10) == 0) {
				continue
			}
			for _, g := range sendActions(f.request(Request{Object: ObjectID(int(now/ms)*routers + i), Timeout: 6 * sec})) {
				if now >= born {
					sent[g.Server] = append(sent[g.Server], piece{now, 0.3})
				}
				f.handle(Outcome{ID: g.ID, Server: g.Server, Result: Served, Duration: 300 * ms, BodyBytes: 30_000, RequestDone: true})
			}
		}
	}
	for _, c := range list[:3] {
		most := 0.0
		for i, p := range sent[c.ID] {
			sum := 0.0
			for _, x := range sent[c.ID][:i+1] {
				if x.at > p.at-s.CacheSlowStart.OverloadWindow {
					sum += x.work
				}
			}
			part := min(1, s.CacheSlowStart.InitialCapacity+(1-s.CacheSlowStart.InitialCapacity)*float64(p.at-s.CacheSlowStart.OverloadWindow-born)/float64(s.CacheSlowStart.Duration))
			bound := s.CacheSlowStart.OverloadFactor * max(s.CacheSlowStart.InitialCapacity, part) * weight * s.CacheSlowStart.OverloadWindow.Seconds()
			if most = max(most, sum/bound); sum > bound {
				t.Fatalf("%v after its start cache %d was sent %.2f s of work within %v, more than %.2f",
					p.at-born, c.ID, sum, s.CacheSlowStart.OverloadWindow, bound)
			}
		}
		if t.Logf("cache %d: %.2f of what it can bear", c.ID, most); most < 0.2 {
			t.Errorf("cache %d was sent next to nothing, %.2f of what it can bear", c.ID, most)
		}
	}
}

// A router with a twentieth of its location's requests sees too little of any
// cache to know its part of it, and keeps three out where it may go no further,
// two where a cache refused of late. Symptom guarded against: when all copies went
// void at once, eighty thin routers each held all beyond two at a cache, and held
// requests ended refused while the caches still had room (join+vast: 23 to 27%
// refused for 10 s, the caches' own refusals at 1%); where caches were full (a
// second zone+vast), three out at each made it worse.
func TestSmallShareRouterKeepsThreeInflight(t *testing.T) {
	for _, full := range []bool{false, true} {
		s := settings()
		s.WeightIsCapacity, s.RoutersByZone, s.Routers = true, []int{0, 20, 1}, 21
		list := fleet()
		for i := range list {
			list[i].Weight = 4
		}
		f := newHarness(t, s, list)
		for _, c := range f.router.readyByRole[cache] {
			for i := 0; full && i < 3; i++ { // three refusals turn a cache's gate on
				f.now += limitUpdateInterval
				c.limiter.observe(f.now, rejectionUtilization, f.router.zoneFraction)
			}
		}
		there := map[ServerID]int{}
		for i := range 20 {
			for _, g := range sendActions(f.request(Request{Object: ObjectID(i), Timeout: 6 * sec})) {
				there[g.Server]++
			}
		}
		sent := 0
		for _, n := range there {
			sent += n
		}
		if want := choose(full, 2, 3); sent != want {
			t.Errorf("caches full %v: %d sent of 20 (%v), want %d out and the rest held", full, sent, there, want)
		}
	}
}

// Where answers tell hits and fills but not how long a fill waited, a small object's fill
// must not make its parent look full (the symptom: known misses were rationed all day), and
// notes that come do not stand for failures, which are never told.
func TestHitStatusOnly(t *testing.T) {
	for _, only := range []bool{true, false} {
		set := settings()
		set.TransferKBPerSecond, set.HitStatusOnly = 1000, only
		f := newHarness(t, set, fleet())
		for i := range 60 {
			f.now += 100 * ms
			g := f.singleAttempt(f.request(Request{Object: ObjectID(1 + i), SizeKB: 10, Timeout: 6 * sec})) // 10 ms to send
			if g.FillSource == g.Server {
				break // it looks for a copy first: the parent is rationed
			}
			f.handle(Outcome{ID: g.ID, Server: g.Server, Result: Served, CacheStatus: Filled, Duration: 200 * ms, BodyBytes: 1, RequestDone: true})
		}
		rationed := slices.ContainsFunc(f.router.readyByRole[parent], func(p *server) bool { return p.limiter.active })
		if rationed == only || f.router.cacheStatusKnown == only {
			t.Errorf("hits only %v: a parent is rationed: %v, failures count as told: %v", only, rationed, f.router.cacheStatusKnown)
		}
	}
}

// Guards against a silent parent that is asked for many at once whenever its rest ends, and,
// where few parents are left, against the others' link: what the silent one would fill comes
// from the origin, unless that stops when it is asked for too much; then from the others.
func TestUnresponsiveParentsShare(t *testing.T) {
	for _, falls := range []bool{false, true} {
		set := settings()
		set.HitStatusOnly, set.OriginStopsOnOverload = true, falls
		f := newHarness(t, set, fleet())
		silent := f.router.readyByRole[parent][0]
		other, stand := f.router.readyByRole[parent][1].ID, f.router.readyByRole[origin][0].ID
		if falls {
			stand = other
		}
		type sent struct {
			SendAttempt
			at time.Duration
		}
		var out []sent
		most, stood, homes := 0, map[ServerID]int{}, map[ObjectID]ServerID{}
		take := func(acts []Action, q ObjectID) {
			for _, g := range sendActions(acts) {
				if g.FillSource == silent.ID {
					out = append(out, sent{g, f.now})
					continue
				}
				if silent.ejections > 0 && homes[q] == silent.ID {
					stood[g.FillSource]++
				}
				f.finish(g, 0, Served, Filled)
			}
		}
		for i := range 3000 {
			f.now += 5 * ms
			o := ObjectID(i%200 + 1)
			acts := f.request(Request{Object: o, SizeKB: 100, Timeout: 6 * sec})
			if g := sendActions(acts); len(g) > 0 && i < 200 {
				homes[o] = g[0].FillSource // nobody rests yet
			}
			take(acts, o)
			for j := 0; j < len(out); j++ { // looks, and what they give up
				s := &out[j]
				if f.now < s.at+500*ms {
					continue
				}
				s.at = f.now
				for _, a := range f.handle(TimerFired{uint64(s.ID)<<timerKindBits | timerCheckAttempt}) {
					if c, ok := a.(CancelAttempt); ok {
						for _, g := range sendActions(f.handle(Outcome{ID: c.ID, Attempt: c.Attempt, Server: s.Server, Result: Canceled})) {
							f.finish(g, 1, Served, Filled)
						}
						out = slices.Delete(out, j, j+1)
						j--
					}
				}
			}
			if silent.ejections > 1 {
				most = max(most, len(out))
			}
		}
		if silent.ejections < 3 || most > 1 {
			t.Errorf("falls %v: rests %d, then %d out at once at a silent parent", falls, silent.ejections, most)
		}
		if n := len(stood); n != 1 || stood[stand] < 100 {
			t.Errorf("falls %v: its part came from %v, want all from %d", falls, stood, stand)
		}
	}
}
