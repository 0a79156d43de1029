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
	list := fleet()
	list[1].StartedAt = 1000 * second
	upstreams := list[4:]
	tests := []struct {
		name    string
		servers []Server
		most    float64 // seconds of transfer time
	}{
		// A peer carries at most 20 a second of 0.1 s each here; the slow start begins at a fifth, and
		// twice that may be sent for 2 s.
		{name: "beside a warm peer", servers: slices.Concat(list[:2], upstreams), most: 2 * 0.4 * 20 * 2.0},
		// The router knows nothing of the cache's capacity.
		{name: "alone", servers: slices.Concat(list[1:2], upstreams), most: 1.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, settings(), test.servers)
			sent := 0.0
			for i := range 400 {
				harness.now += 5 * millisecond
				actions := harness.request(Request{Object: ObjectID(i + 1), SizeKB: 100})
				for _, attempt := range sendActions(actions) {
					if attempt.Server == secondCache {
						sent += 0.1
					}
					harness.finish(attempt, 0, Served, Hit)
				}
			}
			if sent > test.most {
				t.Errorf("the warming cache was sent %.1f s of work, want at most %.1f", sent, test.most)
			}
		})
	}
}

// Many routers that each see few requests find a warming cache, or parent, at the same time: their
// sum stays within its budget. Symptom guarded against: the least that each always sent overloaded
// it.
func TestSlowStartBudgetHoldsForTheSum(t *testing.T) {
	const routers = 60
	list := fleet()
	list[1].StartedAt = 1000 * second // secondCache
	list[5].StartedAt = 1000 * second // secondParent
	sent := map[ServerID]float64{}
	for seed := range uint64(routers) {
		harness := newHarness(t, settings(), list)
		harness.router.seed = seed
		for i := range 8 { // one request each quarter of a second
			harness.now += 250 * millisecond
			actions := harness.request(Request{Object: ObjectID(seed*100 + uint64(i) + 1), SizeKB: 100})
			for _, attempt := range sendActions(actions) {
				work := *harness.router.requests[attempt.ID].meanTransferTime
				sent[attempt.Server] += work
				if attempt.FillSource != attempt.Server {
					sent[attempt.FillSource] += work
				}
				harness.finish(attempt, 0, Served, Filled)
			}
		}
	}
	// All carried 480 requests of at most 0.6 s in 2 s; two caches and one parent are not
	// warming, so a cache does 72 s of work a second at the most, a parent 144.
	if most := 2 * 0.36 * 72 * 2.0; sent[secondCache] > most {
		t.Errorf("the warming cache was sent %.0f s of work, want at most %.0f", sent[secondCache], most)
	}
	if most := 2 * 0.19 * 144 * 2.0; sent[secondParent] > most {
		t.Errorf("the warming parent was sent %.0f s of work, want at most %.0f", sent[secondParent], most)
	}
}

// Where the budget is less than one piece of work, as many routers send one as it pays for.
func TestSmallSlowStartBudgetIsDrawnByLot(t *testing.T) {
	const routers, work = 1000, 0.4
	list := fleet()
	list[1].StartedAt = 1000 * second
	harness := newHarness(t, settings(), list)
	router := harness.router
	router.peakThroughput[cache] = 0.01 // it has seen its caches carry next to nothing
	warming := router.servers[1]
	senders := 0
	for router.seed = range uint64(routers) {
		warming.recentWork = nil
		if router.withinSlowStartBudget(warming, work) {
			senders++
		}
	}
	expected := routers * slowStartMargin * 2 * 0.2 * 0.01 * 2 / work
	if float64(senders) > 2*expected || senders == 0 {
		t.Errorf("%d of %d routers send a first request, want 1 to %.0f", senders, routers, 2*expected)
	}
}

// A zone that lost all its caches tells nothing of what one carries. Symptom guarded against:
// endless budgets for the first that came back.
func TestRemovedServersTeachNoThroughput(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Object: 1, SizeKB: 500})
	harness.handle(EndpointUpdate{Snapshot: true, Servers: fleet()[3:]})
	before := harness.router.peakThroughput[cache]
	harness.finish(sent, 0, Served, Hit)
	if after := harness.router.peakThroughput[cache]; after > before {
		t.Errorf("the caches are taken to carry %v, want at most %v", after, before)
	}
}

// A router that restarted has seen no throughput. Where all caches are warming up and their weights
// count transfers, it sends its quota and no more.
func TestSlowStartBudgetFromWeights(t *testing.T) {
	config := settings()
	config.WeightIsCapacity = true
	list := without(secondCache, thirdCache, remoteCache)
	warming := &list[0]
	warming.Weight = 10
	warming.StartedAt = 1000 * second
	list[1].Weight = 100
	list[2].Weight = 100
	harness := newHarness(t, config, list)
	work := 0.0
	for i := range 400 {
		harness.now += 5 * millisecond
		actions := harness.request(Request{Object: ObjectID(i + 1), SizeKB: 100})
		for _, sent := range sendActions(actions) {
			if sent.Server == warming.ID {
				work += 0.1
			}
			harness.finishWithoutStatus(sent, 0, Served, 100*millisecond)
		}
	}
	// The slow start is at 0.2 to 0.36 of 10 transfers, and twice that for 2 s is too much.
	if most := 2 * 0.2 * 10 * 2.0; work == 0 || work > most {
		t.Errorf("a warming cache was sent %.1f s of work, want some and at most %.1f", work, most)
	}
}

// warmingZone is a zone whose caches restart at the same time, with several routers.
type warmingZone struct {
	routers     []*harness
	caches      []Server
	restartedAt time.Duration
	sent        map[ServerID][]sentWork // after the restart
}

// sentWork is work sent to a server, in seconds of transfer time.
type sentWork struct {
	at      time.Duration
	seconds float64
}

// newWarmingZone starts several routers that differ in their seeds.
func newWarmingZone(t *testing.T, config Settings, list []Server, routers int) *warmingZone {
	t.Helper()
	zone := &warmingZone{caches: list[:3], restartedAt: 1010 * second, sent: map[ServerID][]sentWork{}}
	for i := range routers {
		zone.routers = append(zone.routers, newSeededHarness(t, config, list, uint64(i)))
	}
	return zone
}

// restart tells all routers that all caches have just started.
func (z *warmingZone) restart() {
	for i := range z.caches {
		z.caches[i].StartedAt = z.restartedAt
	}
	for _, router := range z.routers {
		router.now = z.restartedAt
		router.handle(EndpointUpdate{Servers: slices.Clone(z.caches)})
	}
}

// requestInterval is the time between two requests to a router: one after another has ten times the
// traffic of the others.
func (z *warmingZone) requestInterval(index int, now time.Duration) time.Duration {
	const interval = 200 * millisecond
	busyRouter := int(now/(2*second)) % len(z.routers)
	if index == busyRouter {
		return interval / 10
	}
	return interval
}

// request sends a request to a router and has it served at once.
func (z *warmingZone) request(index int, now time.Duration) {
	router := z.routers[index]
	router.now = now
	object := ObjectID(int(now/millisecond)*len(z.routers) + index)
	for _, sent := range sendActions(router.request(Request{Object: object})) {
		if now >= z.restartedAt {
			z.sent[sent.Server] = append(z.sent[sent.Server], sentWork{at: now, seconds: 0.3})
		}
		router.handle(Outcome{
			ID: sent.ID, Server: sent.Server, Result: Served,
			Duration: 300 * millisecond, BodyBytes: 30_000, RequestDone: true,
		})
	}
}

// All routers of a zone together spare caches that restart at the same time, though each keeps to its
// own quota, has seen its caches carry much while others were ejected, and its traffic is several
// times that of others.
func TestManyRoutersSpareWarmingCaches(t *testing.T) {
	const routers = 8
	config := settings()
	config.WeightIsCapacity = true
	config.BodyBytesPerSecond = 100_000
	config.AllowBypass = false
	config.RoutersByZone = []int{0, routers, 1}
	config.Routers = routers + 1
	config.CacheSlowStart = SlowStart{
		InitialCapacity: 0.15, Duration: 16 * second, OverloadFactor: 3, OverloadWindow: 1500 * millisecond,
	}
	zone := newWarmingZone(t, config, fleetOfWeight(6), routers)
	for now := 1000 * second; now < 1030*second; now += 5 * millisecond {
		if now == zone.restartedAt {
			zone.restart()
		}
		for index := range zone.routers {
			if now%zone.requestInterval(index, now) == 0 {
				zone.request(index, now)
			}
		}
	}
	for _, listed := range zone.caches {
		checkLoad(t, zone.sent[listed.ID], listed, config.CacheSlowStart)
	}
}

// checkLoad fails the test where a server was sent more than it can bear, or next to nothing.
func checkLoad(t *testing.T, sent []sentWork, listed Server, slowStart SlowStart) {
	t.Helper()
	most := highestLoad(sent, slowStart, listed.Weight, listed.StartedAt)
	t.Logf("cache %d: %.2f of what it can bear", listed.ID, most)
	if most < 0.2 || most > 1 {
		t.Errorf("cache %d was sent %.2f of what it can bear within %v, want 0.2 to 1",
			listed.ID, most, slowStart.OverloadWindow)
	}
}

// highestLoad is the most work that a server was sent within any window, as a part of what overloads
// it at that time of its slow start.
func highestLoad(sent []sentWork, slowStart SlowStart, weight float64, startedAt time.Duration) float64 {
	most := 0.0
	for i, last := range sent {
		windowStart := last.at - slowStart.OverloadWindow
		sum := 0.0
		for _, piece := range sent[:i+1] {
			if piece.at > windowStart {
				sum += piece.seconds
			}
		}
		warmed := float64(windowStart-startedAt) / float64(slowStart.Duration)
		part := min(1, slowStart.InitialCapacity+(1-slowStart.InitialCapacity)*warmed)
		capacity := max(slowStart.InitialCapacity, part) * weight
		overload := slowStart.OverloadFactor * capacity * slowStart.OverloadWindow.Seconds()
		most = max(most, sum/overload)
	}
	return most
}
