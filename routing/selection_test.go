package routing

import (
	"slices"
	"testing"
	"time"
)

// without is the test fleet without some servers.
func without(removed ...ServerID) []Server {
	return slices.DeleteFunc(fleet(), func(listed Server) bool { return slices.Contains(removed, listed.ID) })
}

// All routers agree on homes, and a lost server moves only its own objects.
func TestRoutersAgreeOnHomes(t *testing.T) {
	router := newHarness(t, settings(), fleet())
	peer := newHarness(t, settings(), fleet())
	smaller := newHarness(t, settings(), without(secondCache, secondParent))
	homes := map[ServerID]int{}
	for i := range 300 {
		request := Request{Object: ObjectID(i + 1), SizeKB: 1}
		sent := router.requestOne(request)
		byPeer := peer.requestOne(request)
		bySmaller := smaller.requestOne(request)
		if sent.Server != byPeer.Server || sent.FillSource != byPeer.FillSource {
			t.Fatalf("object %d: routers disagree: %v, %v", i, sent, byPeer)
		}
		if sent.Server != secondCache && sent.Server != bySmaller.Server {
			t.Fatalf("object %d moved to cache %d though its home %d stayed", i, bySmaller.Server, sent.Server)
		}
		if sent.FillSource != secondParent && sent.FillSource != bySmaller.FillSource {
			t.Fatalf("object %d moved to parent %d though its home %d stayed", i, bySmaller.FillSource, sent.FillSource)
		}
		homes[sent.Server]++
		homes[sent.FillSource]++
		for _, harness := range []*harness{router, peer, smaller} {
			harness.finish(SendAttempt{ID: harness.nextID - 1, Server: sent.Server}, 0, Served, Hit)
		}
	}
	for _, id := range []ServerID{firstCache, secondCache, thirdCache, firstParent, secondParent} {
		if homes[id] < 50 {
			t.Errorf("server %d is home of %d of 300, want 50 or more", id, homes[id])
		}
	}
}

// A draining or removed server gets nothing, nor fills anything.
func TestDrainingServersGetNothing(t *testing.T) {
	tests := []struct {
		name   string
		update EndpointUpdate
	}{
		{name: "listed as draining and removed", update: EndpointUpdate{Servers: []Server{
			{ID: secondCache, Zone: 1, Kind: cacheKind, Phase: Draining},
			{ID: secondParent, Kind: parentKind, Phase: Removed},
		}}},
		{name: "left out of a snapshot", update: EndpointUpdate{
			Snapshot: true, Servers: without(secondCache, secondParent),
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, settings(), fleet())
			harness.handle(test.update)
			for i := range 100 {
				sent := harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1})
				if sent.Server == secondCache || sent.FillSource == secondParent {
					t.Fatalf("attempt %v, want none at a server that is not ready", sent)
				}
				harness.finish(sent, 0, Served, Hit)
			}
		})
	}
}

// If no cache can take a request it goes straight to its home parent, which may ask the origin.
// Symptom guarded against: misses of parents that were named as their own source.
func TestBypassToTheParent(t *testing.T) {
	harness := newHarness(t, settings(), fleet()[3:])
	sent := harness.requestOne(Request{Object: 5, SizeKB: 1})
	toParent := sent.Server == firstParent || sent.Server == secondParent
	if !toParent || sent.FillSource != theOrigin {
		t.Errorf("attempt %v, want a parent that may ask the origin", sent)
	}
}

// slowCache is a harness with a cache that may take many times as long as the others.
type slowCache struct {
	*harness
	slow     ServerID
	inflight []timedAttempt
}

// timedAttempt is an attempt and when it was sent and will end.
type timedAttempt struct {
	SendAttempt
	sentAt time.Duration
	endsAt time.Duration
}

// play sends requests, one each 20 ms, for so many objects, while the slow cache takes that many times
// as long as the others. It returns how many attempts the slow cache got.
func (h *slowCache) play(requests int, slowdown time.Duration) int {
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

// endDue ends the attempts whose time has come.
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

// A cache that does a tenth of its work for a while keeps few of its keys, and has them again when
// it has recovered. Symptom guarded against: requests for its keys queued for it as for a saturated
// home, and a third of all requests were rejected.
func TestSlowCacheKeepsFewKeys(t *testing.T) {
	config := settings()
	config.BodyBytesPerSecond = 100_000
	harness := &slowCache{harness: newHarness(t, config, fleet())}
	harness.slow = harness.caches()[0].ID
	before := harness.play(300, 1)
	harness.play(150, 10)
	during := harness.play(300, 10)
	harness.play(300, 1)
	after := harness.play(300, 1)
	if before < 60 {
		t.Errorf("of 300 requests it had %d before, want 60 or more", before)
	}
	if during > before/3 {
		t.Errorf("of 300 requests it had %d while slow, want at most %d", during, before/3)
	}
	if after < before*3/4 {
		t.Errorf("of 300 requests it had %d when it had recovered, want %d or more", after, before*3/4)
	}
}
