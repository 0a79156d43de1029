package routing

import (
	"slices"
	"testing"
)

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
		want := 3
		if full {
			want = 2
		}
		if sent != want {
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
