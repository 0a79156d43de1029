package routing

import (
	"slices"
	"testing"
)

// reportLink reports the utilization of the zone's link in the outcomes of several attempts.
func (h *harness) reportLink(utilization float64, times int) {
	h.Helper()
	for range times {
		sent := h.requestOne(Request{Object: 999, SizeKB: 1})
		outcome := Outcome{
			ID: sent.ID, Server: sent.Server, Result: Served, CacheStatus: Hit,
			Duration: millisecond, RequestDone: true,
		}
		outcome.Load.LinkUtilization = utilization
		h.now += limitUpdateInterval
		h.handle(outcome)
	}
}

// TestSaturatedLinkLimitsFills checks that, with a saturated link, requests first look up a copy, and that
// fills of known misses are limited.
func TestSaturatedLinkLimitsFills(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.reportLink(5, 20)
	fills := 0
	for i := range 50 {
		lookup := harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1})
		if lookup.FillSource != lookup.Server {
			t.Fatalf("got attempt %v, want a lookup without a fill", lookup)
		}
		fills += len(sendActions(harness.finish(lookup, 0, NotCached, CacheStatusUnknown)))
	}
	if fills == 0 || fills > initialZoneLimit {
		t.Errorf("got %d fills, want 1 to %v", fills, initialZoneLimit)
	}
}

// TestIdleLinkEndsLimiter checks that requests take the ordinary path again once a saturated link is idle.
func TestIdleLinkEndsLimiter(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.reportLink(5, 20)
	harness.reportLink(0, 40)
	sent := harness.requestOne(Request{Object: 5, SizeKB: 1})
	if sent.FillSource == sent.Server {
		t.Errorf("got attempt %v without a fill source, want one with a source", sent)
	}
}

// TestSlowOriginIsLimited checks that, with a slow origin, a known miss first asks the parent only for
// what the parent has cached, and that fetches of what the parent lacks are limited.
func TestSlowOriginIsLimited(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	for range 10 {
		harness.router.originLimiter.observe(harness.now, 3, 1)
	}
	fromParent, fromOrigin := 0, 0
	for i := range 50 {
		lookup := harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1})
		fills := sendActions(harness.finish(lookup, 0, NotCached, CacheStatusUnknown))
		if len(fills) == 0 {
			continue
		}
		if !fills[0].OnlyIfCached {
			t.Fatalf("got attempt %v, want a fill only from the cache of the parent", fills[0])
		}
		fromParent++
		fromOrigin += len(sendActions(harness.finish(fills[0], 1, NotCached, SourceMiss)))
	}
	if fromParent == 0 {
		t.Error("got no fills from parents, want at least 1")
	}
	if fromOrigin == 0 || fromOrigin > initialZoneLimit {
		t.Errorf("got %d fetches from the origin, want 1 to %v", fromOrigin, initialZoneLimit)
	}
}

// TestOriginLimitIsZoneQuota checks that a router's limit at an overloaded origin is its quota of its
// zone's limit, that pauses enforce a limit below 1, and that writes are queued too while the origin
// answers none in time.
func TestOriginLimitIsZoneQuota(t *testing.T) {
	const routers = 20
	config := settings()
	config.RoutersByZone = []int{0, routers, 1}
	config.Routers = routers + 1
	harness := newHarness(t, config, fleet())
	router := harness.router
	overloaded := &attempt{
		request: &request{class: &config.Classes[writeClass]},
		source:  router.readyByRole[origin][0],
	}
	for range 100 {
		harness.now += 200 * millisecond
		router.now = harness.now
		router.recordOriginLoad(overloaded, 4)
	}
	limiter := &router.originLimiter
	if want := minZoneLimit / routers; limiter.limit > want*1.01 {
		t.Errorf("got limit %[2]v for one of %[1]d routers, want %[3]v", routers, limiter.limit, want)
	}

	limiter.track(harness.now, 1)
	harness.now += second
	limiter.track(harness.now, -1)
	harness.now += 8 * second
	if limiter.admits(harness.now) {
		t.Error("got a transfer admitted after a transfer under a limit of 0.1, want a pause")
	}
	harness.now += 2 * second
	if !limiter.admits(harness.now) {
		t.Error("got no transfer admitted after the pause, want one")
	}

	write := harness.requestOne(Request{Class: writeClass, Object: 1, SizeKB: 10})
	if write.Server != originServer {
		t.Fatalf("got a write at server %d, want server %d", write.Server, originServer)
	}
	if actions := harness.request(Request{Class: writeClass, Object: 2, SizeKB: 10}); len(sendActions(actions)) != 0 {
		t.Errorf("got actions %v, want the second write queued for an overloaded origin", actions)
	}
}

// TestLimiterEndsWithoutStatus checks that the limiter of a cache that rejected for a while ends when the
// cache serves again, although outcomes report no cache status.
func TestLimiterEndsWithoutStatus(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	limiter := &harness.caches()[0].limiter
	for range 20 {
		harness.now += 200 * millisecond
		limiter.observe(harness.now, rejectionUtilization, 1)
	}
	if !limiter.active {
		t.Fatal("got an inactive limiter after rejections, want an active one")
	}
	for i := range 400 {
		harness.now += 100 * millisecond
		for _, sent := range sendActions(harness.request(Request{Object: ObjectID(1 + i)})) {
			harness.finishWithoutStatus(sent, 0, Served, 10*millisecond)
		}
	}
	if limiter.active {
		t.Errorf("got an active limiter at utilization %.2f, want an inactive one", limiter.utilization)
	}
}

// TestFillsDoNotLimitParentWithHitStatusOnly checks that fills of small objects do not make a parent look
// saturated where responses report hits and fills but not how long a fill waited. Otherwise known misses
// are limited without need. It also checks that the reported statuses do not count as the status of
// failures, which is never reported there.
func TestFillsDoNotLimitParentWithHitStatusOnly(t *testing.T) {
	tests := []struct {
		name          string
		hitStatusOnly bool
	}{
		{name: "hit status only", hitStatusOnly: true},
		{name: "every status", hitStatusOnly: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := settings()
			config.HitStatusOnly = test.hitStatusOnly
			harness := newHarness(t, config, fleet())
			harness.fillSlowly(60)
			parentLimited := slices.ContainsFunc(harness.parents(), func(parent *server) bool {
				return parent.limiter.active
			})
			if want := !test.hitStatusOnly; parentLimited != want {
				t.Errorf("got a limited parent %v, want %v", parentLimited, want)
			}
			if got, want := harness.router.cacheStatusKnown, !test.hitStatusOnly; got != want {
				t.Errorf("got the status of failures known %v, want %v", got, want)
			}
		})
	}
}

// fillSlowly sends requests for small objects whose fills take 200 ms for 10 ms of transfer. It stops
// when a parent is limited.
func (h *harness) fillSlowly(requests int) {
	h.Helper()
	for i := range requests {
		h.now += 100 * millisecond
		sent := h.requestOne(Request{Object: ObjectID(1 + i), SizeKB: 10})
		isLookup := sent.FillSource == sent.Server
		if isLookup {
			return
		}
		h.handle(Outcome{
			ID: sent.ID, Server: sent.Server, Result: Served, CacheStatus: Filled,
			Duration: 200 * millisecond, BodyBytes: 1, RequestDone: true,
		})
	}
}
