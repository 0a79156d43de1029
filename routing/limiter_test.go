package routing

import (
	"slices"
	"testing"
)

// reportLink reports the utilization of the zone's link in the outcomes of the given number of attempts.
func (h *harness) reportLink(utilization float64, attempts int) {
	h.Helper()
	for range attempts {
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

// TestSaturatedLinkLimitsFills checks two rules while the link is saturated. A request first asks a cache
// only for a copy that the cache has, without a fill. Fills of known misses are limited.
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

// TestIdleLinkEndsLimiter checks that requests may cause fills again, without a lookup first, after a
// saturated link has become idle.
func TestIdleLinkEndsLimiter(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.reportLink(5, 20)
	harness.reportLink(0, 40)
	sent := harness.requestOne(Request{Object: 5, SizeKB: 1})
	if sent.FillSource == sent.Server {
		t.Errorf("got attempt %v without a fill source, want an attempt with a fill source", sent)
	}
}

// TestSlowOriginIsLimited checks two rules for a slow origin. The fill of a known miss first asks the
// parent only for a cached copy. If the parent has no copy, the fetch from the origin is limited.
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
			t.Fatalf("got attempt %v, want a fill that asks the parent only for a cached copy", fills[0])
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

// TestOriginLimitIsZoneQuota checks that a router's limit at an overloaded origin is the router's share of
// the limit of its zone, and that pauses enforce a limit below 1. It also checks that writes are queued
// while the origin answers no write in time.
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
		t.Errorf("got limit %[2]v for one of %[1]d routers, want at most %[3]v", routers, limiter.limit, want)
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
		t.Error("got no transfer admitted after the pause, want one more transfer admitted")
	}

	write := harness.requestOne(Request{Class: writeClass, Object: 1, SizeKB: 10})
	if write.Server != originServer {
		t.Fatalf("got a write at server %d, want server %d", write.Server, originServer)
	}
	if actions := harness.request(Request{Class: writeClass, Object: 2, SizeKB: 10}); len(sendActions(actions)) != 0 {
		t.Errorf("got actions %v, want the second write queued for an overloaded origin", actions)
	}
}

// TestLimiterEndsWithoutStatus checks that the limiter of a cache that has rejected attempts becomes
// inactive when the cache serves again, although outcomes report no cache status.
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

// TestFillsDoNotLimitParentWithHitStatusOnly checks that, with HitStatusOnly, fills of small objects do not
// make a parent look saturated. With this setting, outcomes do not report how long a fill waited. If the
// wait counted as transfer time, known misses would be limited without need. The test also checks that
// the router does not conclude from the reported hits and fills that outcomes report failures too.
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
				t.Errorf("got an active limiter of a parent %v, want %v", parentLimited, want)
			}
			if got, want := harness.router.cacheStatusKnown, !test.hitStatusOnly; got != want {
				t.Errorf("got cacheStatusKnown %v, want %v", got, want)
			}
		})
	}
}

// fillSlowly sends requests for small objects. Each fill takes 200 ms, of which 10 ms are transfer time.
// fillSlowly stops when the limiter of a parent is active.
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
