package routing

import (
	"slices"
	"testing"
)

// reportLink has a cache report the use of the zone's link with an outcome, several times.
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

// With a saturated link requests look for a copy first, and fills of known misses are limited.
func TestSaturatedLinkLimitsFills(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.reportLink(5, 20)
	fills := 0
	for i := range 50 {
		look := harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1})
		if look.FillSource != look.Server {
			t.Fatalf("attempt %v, want a look", look)
		}
		fills += len(sendActions(harness.finish(look, 0, NotCached, CacheStatusUnknown)))
	}
	if fills == 0 || fills > initialZoneLimit {
		t.Errorf("%d fills, want 1 to %v", fills, initialZoneLimit)
	}
}

// When a saturated link is free again, the ordinary path comes back.
func TestFreeLinkEndsTheLimit(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.reportLink(5, 20)
	harness.reportLink(0, 40)
	sent := harness.requestOne(Request{Object: 5, SizeKB: 1})
	if sent.FillSource == sent.Server {
		t.Errorf("attempt %v looks first, want one with a source", sent)
	}
}

// With a slow origin a known miss asks its parent for what that holds, and what the parent lacks is
// limited.
func TestSlowOriginIsLimited(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	for range 10 {
		harness.router.originLimiter.observe(harness.now, 3, 1)
	}
	fromParent, fromOrigin := 0, 0
	for i := range 50 {
		look := harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1})
		fills := sendActions(harness.finish(look, 0, NotCached, CacheStatusUnknown))
		if len(fills) == 0 {
			continue
		}
		if !fills[0].OnlyIfCached {
			t.Fatalf("attempt %v, want a fill of what the parent holds", fills[0])
		}
		fromParent++
		fromOrigin += len(sendActions(harness.finish(fills[0], 1, NotCached, SourceMiss)))
	}
	if fromParent == 0 {
		t.Error("nothing was asked of parents, want some")
	}
	if fromOrigin == 0 || fromOrigin > initialZoneLimit {
		t.Errorf("%d asked of the origin, want 1 to %v", fromOrigin, initialZoneLimit)
	}
}

// With an origin that many routers overload, what a router always has in flight there is its quota
// of its zone's limit, kept by pauses where that is below one; a write is queued too while the
// origin answers none in time.
func TestLimitsAreZoneQuotas(t *testing.T) {
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
		t.Errorf("the limit of one of %d routers is %v, want %v", routers, limiter.limit, want)
	}

	limiter.track(harness.now, 1)
	harness.now += second
	limiter.track(harness.now, -1)
	harness.now += 8 * second
	if limiter.admits(harness.now) {
		t.Error("no pause after what one router may have in flight a tenth of the time")
	}
	harness.now += 2 * second
	if !limiter.admits(harness.now) {
		t.Error("nothing admitted after the pause")
	}

	write := harness.requestOne(Request{Class: writeClass, Object: 1, SizeKB: 10})
	if write.Server != theOrigin {
		t.Fatalf("a write went to %d, want %d", write.Server, theOrigin)
	}
	if actions := harness.request(Request{Class: writeClass, Object: 2, SizeKB: 10}); len(sendActions(actions)) != 0 {
		t.Errorf("actions %v, want the second write queued for an origin that answers none in time", actions)
	}
}

// A cache that rejected for a while and serves again is not limited for ever.
func TestLimiterEndsWithoutStatus(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	limiter := &harness.caches()[0].limiter
	for range 20 {
		harness.now += 200 * millisecond
		limiter.observe(harness.now, rejectionUtilization, 1)
	}
	if !limiter.active {
		t.Fatal("rejections do not activate the limiter")
	}
	for i := range 400 {
		harness.now += 100 * millisecond
		for _, sent := range sendActions(harness.request(Request{Object: ObjectID(1 + i)})) {
			harness.finishWithoutStatus(sent, 0, Served, 10*millisecond)
		}
	}
	if limiter.active {
		t.Errorf("still limited at utilization %.2f", limiter.utilization)
	}
}

// Where responses tell hits and fills but not how long a fill waited, a small object's fill must not
// make its parent look saturated (symptom guarded against: known misses were limited all day), and a
// status that comes does not stand for failures, which are never told.
func TestFillsLimitNoParentWhereOnlyHitsAreTold(t *testing.T) {
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
				t.Errorf("a parent is limited: %v, want %v", parentLimited, want)
			}
			if got, want := harness.router.cacheStatusKnown, !test.hitStatusOnly; got != want {
				t.Errorf("the status of failures counts as known: %v, want %v", got, want)
			}
		})
	}
}

// fillSlowly has small objects filled that take 200 ms each, for 10 ms of transfer, until a parent is
// limited.
func (h *harness) fillSlowly(requests int) {
	h.Helper()
	for i := range requests {
		h.now += 100 * millisecond
		sent := h.requestOne(Request{Object: ObjectID(1 + i), SizeKB: 10})
		looksFirst := sent.FillSource == sent.Server
		if looksFirst {
			return
		}
		h.handle(Outcome{
			ID: sent.ID, Server: sent.Server, Result: Served, CacheStatus: Filled,
			Duration: 200 * millisecond, BodyBytes: 1, RequestDone: true,
		})
	}
}
