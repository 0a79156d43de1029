package routing

import (
	"slices"
	"testing"
	"time"
)

// What a warming server is sent in any window stays under its budget, also just after this
// router's own start, when no class's transfer time is known. Symptom guarded against: a burst of
// looks, each counted as no work.
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
		// A peer carries at most 20 a second of 0.1 s each here; the slow start
		// begins at a fifth, and twice that may be sent for 2 s.
		if limit := 2 * 0.4 * 20 * 2.0; sent > limit {
			t.Errorf("warmed %v: warming cache was sent %.1f s of work, want at most %.1f", warmed, sent, limit)
		}
		if !warmed && sent > 1.5 {
			t.Errorf("restarted router sent a warming cache %.1f s of work though it knows nothing of its capacity", sent)
		}
	}
}

// Many routers that each see few requests find a warming cache, or parent, at the same time: their
// sum stays within its budget. Symptom guarded against: the least that each always sent overloaded
// it.
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
	// All carried 480 requests of at most 0.6 s in 2 s; two caches and one parent are not
	// warming, so a cache does 72 s of work a second at the most, a parent 144.
	if limit := 2 * 0.36 * 72 * 2.0; sent[12] > limit {
		t.Errorf("the warming cache was sent %.0f s of work, want at most %.0f", sent[12], limit)
	}
	if limit := 2 * 0.19 * 144 * 2.0; sent[32] > limit {
		t.Errorf("the warming parent was sent %.0f s of work, want at most %.0f", sent[32], limit)
	}
	one := newHarness(t, settings(), list)
	one.router.peakThroughput[cache] = 0.01 // it has seen its caches carry next to nothing
	senders := 0
	for one.router.seed = range uint64(1000) {
		s := one.router.servers[1]
		if s.recentWork = nil; one.router.withinSlowStartBudget(s, 0.4) {
			senders++
		}
	}
	if want := 1000 * slowStartMargin * 2 * 0.2 * 0.01 * 2 / 0.4; float64(senders) > 2*want || senders == 0 {
		t.Errorf("%d of 1000 routers send a first request, want about %.0f", senders, want)
	}
}

// A zone that lost all its caches tells nothing of what one carries. Symptom guarded against:
// endless budgets for the first that came back.
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

// A router that restarted has seen no throughput. Where all caches are warming up and their weights
// count transfers, it sends its quota and no more.
func TestSlowStartBudgetFromWeights(t *testing.T) {
	s := settings()
	s.WeightIsCapacity = true
	list := slices.Concat(fleet()[:1], fleet()[4:])
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
	// The slow start is at 0.2 to 0.36 of 10 transfers, and twice that for 2 s is too much.
	if limit := 2 * 0.2 * 10 * 2.0; work == 0 || work > limit {
		t.Errorf("a warming cache was sent %.1f s of work, want some and at most %.1f", work, limit)
	}
}

// All routers of a zone together spare caches that restart at the same time, though each keeps to its
// own quota, has seen its caches carry much while others were ejected, and its traffic is several
// times that of others.
func TestManyRoutersSpareWarmingCaches(t *testing.T) {
	const routers, weight = 8, 6.0
	set := settings()
	set.WeightIsCapacity, set.BodyBytesPerSecond, set.AllowBypass = true, 100_000, false
	set.RoutersByZone, set.Routers = []int{0, routers, 1}, routers+1
	set.CacheSlowStart = SlowStart{InitialCapacity: 0.15, Duration: 16 * sec, OverloadFactor: 3, OverloadWindow: 1500 * ms}
	list := fleet()
	for i := range list {
		list[i].Weight = weight
	}
	harnesses := newZone(t, set, list, routers)
	restartedAt := 1010 * sec
	sent := map[ServerID][]sentWork{}
	for now := 1000 * sec; now < 1030*sec; now += 5 * ms {
		if now == restartedAt {
			for i := range 3 {
				list[i].StartedAt = restartedAt
			}
			for _, f := range harnesses {
				f.now = now
				f.handle(EndpointUpdate{Servers: slices.Clone(list[:3])})
			}
		}
		for i, f := range harnesses {
			f.now = now
			every := 200 * ms
			if int(now/(2*sec))%routers == i { // one after another has ten times the traffic
				every /= 10
			}
			if now%every != 0 {
				continue
			}
			for _, g := range sendActions(f.request(Request{Object: ObjectID(int(now/ms)*routers + i), Timeout: 6 * sec})) {
				if now >= restartedAt {
					sent[g.Server] = append(sent[g.Server], sentWork{now, 0.3})
				}
				f.handle(Outcome{ID: g.ID, Server: g.Server, Result: Served, Duration: 300 * ms, BodyBytes: 30_000, RequestDone: true})
			}
		}
	}
	checkLoads(t, sent, list[:3], set.CacheSlowStart)
}

// newZone starts several routers that differ in their seeds.
func newZone(t *testing.T, settings Settings, list []Server, routers int) (harnesses []*harness) {
	t.Helper()
	for i := range routers {
		r, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f := &harness{T: t, router: r, now: 1000 * sec, nextID: 1}
		f.handle(EndpointUpdate{Snapshot: true, Servers: list})
		harnesses = append(harnesses, f)
	}
	return harnesses
}

// checkLoads fails the test where a server was sent more than it can bear, or next to nothing.
func checkLoads(t *testing.T, sent map[ServerID][]sentWork, list []Server, slowStart SlowStart) {
	t.Helper()
	for _, c := range list {
		most := highestLoad(sent[c.ID], slowStart, c.Weight, c.StartedAt)
		t.Logf("cache %d: %.2f of what it can bear", c.ID, most)
		if most > 1 {
			t.Errorf("cache %d was sent %.2f times of what it can bear within %v", c.ID, most, slowStart.OverloadWindow)
		}
		if most < 0.2 {
			t.Errorf("cache %d was sent next to nothing, %.2f of what it can bear", c.ID, most)
		}
	}
}

// sentWork is work sent to a server, in seconds of transfer time.
type sentWork struct {
	at      time.Duration
	seconds float64
}

// highestLoad is the most work that a server was sent within any window, as a part of what overloads
// it at that time of its slow start.
func highestLoad(sent []sentWork, slowStart SlowStart, weight float64, startedAt time.Duration) float64 {
	most := 0.0
	for i, last := range sent {
		sum := 0.0
		for _, piece := range sent[:i+1] {
			if piece.at > last.at-slowStart.OverloadWindow {
				sum += piece.seconds
			}
		}
		warmed := float64(last.at-slowStart.OverloadWindow-startedAt) / float64(slowStart.Duration)
		part := min(1, slowStart.InitialCapacity+(1-slowStart.InitialCapacity)*warmed)
		capacity := max(slowStart.InitialCapacity, part) * weight
		most = max(most, sum/(slowStart.OverloadFactor*capacity*slowStart.OverloadWindow.Seconds()))
	}
	return most
}
