package routing

import (
	"slices"
	"testing"
	"time"
)

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
