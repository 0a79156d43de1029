package routing

import (
	"slices"
	"testing"
	"time"
)

// fleetWithout returns the test fleet without the removed servers.
func fleetWithout(removed ...ServerID) []Server {
	return slices.DeleteFunc(fleet(), func(listed Server) bool { return slices.Contains(removed, listed.ID) })
}

// TestRoutersAgreeOnHomes checks that all routers compute the same home servers. It also checks that, when a
// server is removed, only the objects of that server get a new home.
func TestRoutersAgreeOnHomes(t *testing.T) {
	router := newHarness(t, settings(), fleet())
	peer := newHarness(t, settings(), fleet())
	smaller := newHarness(t, settings(), fleetWithout(secondCache, secondParent))
	homes := map[ServerID]int{}
	for i := range 300 {
		request := Request{Object: ObjectID(i + 1), SizeKB: 1}
		sent := router.requestOne(request)
		byPeer := peer.requestOne(request)
		bySmaller := smaller.requestOne(request)
		if sent.Server != byPeer.Server || sent.FillSource != byPeer.FillSource {
			t.Fatalf("object %d: got attempts %v and %v of two routers, want the same servers", i, sent, byPeer)
		}
		if sent.Server != secondCache && sent.Server != bySmaller.Server {
			t.Fatalf("object %d: got cache %d, want its home cache %d, which is still listed as ready", i, bySmaller.Server, sent.Server)
		}
		if sent.FillSource != secondParent && sent.FillSource != bySmaller.FillSource {
			t.Fatalf("object %d: got parent %d, want its home parent %d, which is still listed as ready", i, bySmaller.FillSource, sent.FillSource)
		}
		homes[sent.Server]++
		homes[sent.FillSource]++
		for _, harness := range []*harness{router, peer, smaller} {
			harness.finish(SendAttempt{ID: harness.nextID - 1, Server: sent.Server}, 0, Served, Hit)
		}
	}
	for _, id := range []ServerID{firstCache, secondCache, thirdCache, firstParent, secondParent} {
		if homes[id] < 50 {
			t.Errorf("got server %d as home of %d of 300 objects, want at least 50", id, homes[id])
		}
	}
}

// TestDrainingServersGetNoAttempts checks that a draining or removed server is neither the target nor the
// source of new attempts.
func TestDrainingServersGetNoAttempts(t *testing.T) {
	tests := []struct {
		name   string
		update EndpointUpdate
	}{
		{name: "listed as draining and removed", update: EndpointUpdate{Servers: []Server{
			{ID: secondCache, Zone: 1, Kind: cacheKind, Phase: Draining},
			{ID: secondParent, Kind: parentKind, Phase: Removed},
		}}},
		{name: "left out of a snapshot", update: EndpointUpdate{
			Snapshot: true, Servers: fleetWithout(secondCache, secondParent),
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, settings(), fleet())
			harness.handle(test.update)
			for i := range 100 {
				sent := harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1})
				if sent.Server == secondCache || sent.FillSource == secondParent {
					t.Fatalf("got attempt %v, want no attempt with a draining or removed server", sent)
				}
				harness.finish(sent, 0, Served, Hit)
			}
		})
	}
}

// TestBypassToTheParent checks that a request is sent directly to its home parent if no cache can take it.
// The fill source must be the origin: with the parent as its own source, a miss at the parent could not be
// filled.
func TestBypassToTheParent(t *testing.T) {
	harness := newHarness(t, settings(), fleet()[3:])
	sent := harness.requestOne(Request{Object: 5, SizeKB: 1})
	toParent := sent.Server == firstParent || sent.Server == secondParent
	if !toParent || sent.FillSource != originServer {
		t.Errorf("got attempt %v, want an attempt at a parent with the origin as source", sent)
	}
}

// slowCache is a harness with a cache that can be many times slower than the others.
type slowCache struct {
	*harness
	slow     ServerID
	inflight []timedAttempt
}

// timedAttempt is an attempt with the times at which it was sent and will end.
type timedAttempt struct {
	SendAttempt
	sentAt time.Duration
	endsAt time.Duration
}

// run sends requests for different objects, one every 20 ms. The response time of the slow cache is that of
// the other caches multiplied by slowdown. run returns the number of attempts at the slow cache.
func (h *slowCache) run(requests int, slowdown time.Duration) int {
	const responseTime = 150 * millisecond
	attemptsAtSlow := 0
	for i := range requests {
		h.now += 20 * millisecond
		for _, sent := range sendActions(h.request(Request{Object: ObjectID(1 + i)})) {
			endsAt := h.now + responseTime
			if sent.Server == h.slow {
				attemptsAtSlow++
				endsAt = h.now + responseTime*slowdown
			}
			h.inflight = append(h.inflight, timedAttempt{SendAttempt: sent, sentAt: h.now, endsAt: endsAt})
		}
		h.endDue()
	}
	return attemptsAtSlow
}

// endDue ends the attempts whose end is due, as served.
func (h *slowCache) endDue() {
	h.inflight = slices.DeleteFunc(h.inflight, func(attempt timedAttempt) bool {
		if attempt.endsAt > h.now {
			return false
		}
		h.handle(Outcome{
			ID: attempt.ID, Server: attempt.Server, Result: Served,
			Duration: h.now - attempt.sentAt, BodyBytes: 15_000, RequestDone: true,
		})
		return true
	})
}

// TestSlowCacheKeepsFewKeys checks that a cache at a tenth of its usual pace keeps only a few of its keys,
// and gets the other keys back after it has recovered. If the slow cache kept all its keys, requests would
// queue for it, and a third of all requests would be rejected.
func TestSlowCacheKeepsFewKeys(t *testing.T) {
	config := settings()
	config.BodyBytesPerSecond = 100_000
	harness := &slowCache{harness: newHarness(t, config, fleet())}
	harness.slow = harness.caches()[0].ID
	before := harness.run(300, 1)
	harness.run(150, 10)
	during := harness.run(300, 10)
	harness.run(300, 1)
	after := harness.run(300, 1)
	if before < 60 {
		t.Errorf("got %d of 300 requests at the cache before its slowdown, want at least 60", before)
	}
	if during > before/3 {
		t.Errorf("got %d of 300 requests at the slow cache, want at most %d", during, before/3)
	}
	if after < before*3/4 {
		t.Errorf("got %d of 300 requests at the recovered cache, want at least %d", after, before*3/4)
	}
}
