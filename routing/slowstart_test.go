package routing

import (
	"slices"
	"testing"
	"time"
)

// TestSlowStartBudget checks that the work sent to a warming server stays within its budget. This must hold
// even just after the start of the router, which has then learned no transfer times. If an unknown transfer
// time counted as no work, a burst of lookups could exceed the budget.
func TestSlowStartBudget(t *testing.T) {
	list := fleet()
	list[1].StartedAt = 1000 * second
	upstreams := list[4:]
	tests := []struct {
		name    string
		servers []Server
		most    float64 // maximum work sent, in seconds of transfer time
	}{
		// A peer completes at most 200 requests of 0.1 s per second, which is 20 s of work per second. The
		// capacity of the warming cache begins at a fifth of a peer's capacity and stays below 0.4 of it
		// during the test. Twice the present capacity for 2 s is an overload.
		{name: "beside a warm peer", servers: slices.Concat(list[:2], upstreams), most: 2 * 0.4 * 20 * 2.0},
		// The router does not know the cache's capacity.
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
				t.Errorf("got %.1f s of work sent to the warming cache, want at most %.1f", sent, test.most)
			}
		})
	}
}

// TestSlowStartBudgetHoldsForAllRouters checks that many routers with few requests each together stay
// within the budget of a warming cache or parent, although they all start to use it at the same time. If
// each router always sent at least one attempt, the attempts of all routers would overload the server.
func TestSlowStartBudgetHoldsForAllRouters(t *testing.T) {
	const routers = 60
	list := fleet()
	list[1].StartedAt = 1000 * second // secondCache
	list[5].StartedAt = 1000 * second // secondParent
	sent := map[ServerID]float64{}
	for seed := range uint64(routers) {
		harness := newHarness(t, settings(), list)
		harness.router.seed = seed
		for i := range 8 { // one request every 250 ms
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
	// All servers together carry 480 requests of at most 0.6 s in 2 s, which is 480 * 0.6 s / 2 s = 144 s
	// of work per second. Two caches and one parent are not warming up. Each of these caches therefore
	// carries at most 144 s / 2 = 72 s of work per second, and the parent at most 144 s.
	if most := 2 * 0.36 * 72 * 2.0; sent[secondCache] > most {
		t.Errorf("got %.0f s of work sent to the warming cache, want at most %.0f", sent[secondCache], most)
	}
	if most := 2 * 0.19 * 144 * 2.0; sent[secondParent] > most {
		t.Errorf("got %.0f s of work sent to the warming parent, want at most %.0f", sent[secondParent], most)
	}
}

// TestSmallSlowStartBudgetIsRandom checks that, if the budget is less than the work of one attempt, a
// random fraction of the routers sends an attempt, so that the routers together stay within the sum of
// their budgets.
func TestSmallSlowStartBudgetIsRandom(t *testing.T) {
	const routers, work = 1000, 0.4
	list := fleet()
	list[1].StartedAt = 1000 * second
	harness := newHarness(t, settings(), list)
	router := harness.router
	router.peakThroughput[cache] = 0.01 // the throughput seen so far is almost 0
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
		t.Errorf("got a first attempt allowed for %d of %d routers, want from 1 to %.0f", senders, routers, 2*expected)
	}
}

// TestRemovedServersDoNotChangeThroughput checks that work completed by removed servers does not change the
// throughput of their role. Otherwise, after a zone has lost all its caches, the first cache that returns
// would get an unlimited budget.
func TestRemovedServersDoNotChangeThroughput(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Object: 1, SizeKB: 500})
	harness.handle(EndpointUpdate{Snapshot: true, Servers: fleet()[3:]})
	before := harness.router.peakThroughput[cache]
	harness.finish(sent, 0, Served, Hit)
	if after := harness.router.peakThroughput[cache]; after > before {
		t.Errorf("got a peak throughput of caches of %v, want at most %v", after, before)
	}
}

// TestSlowStartBudgetFromWeights checks that a router sends work to warming caches although it has
// restarted and has seen no throughput. The weights of the caches are capacities, from which the router
// derives its budget. The work must stay within that budget.
func TestSlowStartBudgetFromWeights(t *testing.T) {
	config := settings()
	config.WeightIsCapacity = true
	list := fleetWithout(secondCache, thirdCache, remoteCache)
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
	// An overload is twice the capacity for 2 s. The capacity rises from 0.2 to 0.36 of 10 transfers during
	// these 2 s. The work must not exceed an overload at the capacity of their start, which is
	// 2 * 0.2 * 10 * 2 s = 8 s of work.
	if most := 2 * 0.2 * 10 * 2.0; work == 0 || work > most {
		t.Errorf("got %.1f s of work sent to a warming cache, want more than 0 and at most %.1f", work, most)
	}
}

// warmingZone is a zone with several routers. All caches of the zone restart at the same time.
type warmingZone struct {
	routers     []*harness
	caches      []Server
	restartedAt time.Duration
	sent        map[ServerID][]sentWork // work sent after the restart
}

// sentWork is work sent to a server, in seconds of transfer time.
type sentWork struct {
	at      time.Duration
	seconds float64
}

// newWarmingZone creates a zone with the given number of routers, which have different seeds.
func newWarmingZone(t *testing.T, config Settings, list []Server, routers int) *warmingZone {
	t.Helper()
	zone := &warmingZone{caches: list[:3], restartedAt: 1010 * second, sent: map[ServerID][]sentWork{}}
	for i := range routers {
		zone.routers = append(zone.routers, newSeededHarness(t, config, list, uint64(i)))
	}
	return zone
}

// restart notifies all routers that all caches of the zone have just started.
func (z *warmingZone) restart() {
	for i := range z.caches {
		z.caches[i].StartedAt = z.restartedAt
	}
	for _, router := range z.routers {
		router.now = z.restartedAt
		router.handle(EndpointUpdate{Servers: slices.Clone(z.caches)})
	}
}

// requestInterval returns the time between two requests to the router with the given index. At any time,
// one router receives ten times the traffic of each other router. This router changes every 2 s.
func (z *warmingZone) requestInterval(index int, now time.Duration) time.Duration {
	const interval = 200 * millisecond
	busyRouter := int(now/(2*second)) % len(z.routers)
	if index == busyRouter {
		return interval / 10
	}
	return interval
}

// request sends a request to the router with the given index, and serves the resulting attempt immediately.
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

// TestManyRoutersDoNotOverloadWarmingCaches checks that the routers of a zone together do not overload
// caches that restart at the same time. Each router knows only its own quota, and has seen a high
// throughput before the restart. At any time, one router has ten times the traffic of each other router.
func TestManyRoutersDoNotOverloadWarmingCaches(t *testing.T) {
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

// checkLoad fails the test if the highest load sent to a server is above the overload limit, or below a
// fifth of this limit.
func checkLoad(t *testing.T, sent []sentWork, listed Server, slowStart SlowStart) {
	t.Helper()
	most := highestLoad(sent, slowStart, listed.Weight, listed.StartedAt)
	t.Logf("cache %d: peak load of %.2f times the overload limit", listed.ID, most)
	if most < 0.2 || most > 1 {
		t.Errorf("cache %d: got a peak load of %.2f times the overload limit of a %v window, want from 0.2 to 1",
			listed.ID, most, slowStart.OverloadWindow)
	}
}

// highestLoad returns the highest load sent to a server during any overload window. The load of a window is
// the work sent during the window, divided by the work that overloads the server at the start of the
// window.
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
		fraction := min(1, slowStart.InitialCapacity+(1-slowStart.InitialCapacity)*warmed)
		capacity := max(slowStart.InitialCapacity, fraction) * weight
		overload := slowStart.OverloadFactor * capacity * slowStart.OverloadWindow.Seconds()
		most = max(most, sum/overload)
	}
	return most
}
