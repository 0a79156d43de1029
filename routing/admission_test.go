package routing

import (
	"slices"
	"testing"
)

// TestRequestQueuedTwiceIsAnswered checks that a request gets its answer although it is queued twice. Its
// only timer fires between the two waits, while an attempt is in flight, so no timer would end the second
// wait. Fills become faster in the meantime, which would allow a longer wait.
func TestRequestQueuedTwiceIsAnswered(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	router := harness.router
	router.linkLimiter.active = true
	router.fillPace = 3
	lookup := harness.requestOne(Request{Object: 1, SizeKB: 200})
	router.linkLimiter.limit = 1
	router.linkLimiter.inflight = 1
	if actions := harness.finish(lookup, 0, NotCached, CacheStatusUnknown); len(sendActions(actions)) != 0 {
		t.Fatalf("got actions %v, want the request queued", actions)
	}

	queued := router.requests[lookup.ID]
	queued.queued = false
	router.queue = nil
	router.linkLimiter.inflight = 0
	router.dispatch(queued) // sends an attempt, which is in flight when the timer fires
	if queued.inflight != 1 {
		t.Fatalf("got %d attempts in flight, want 1", queued.inflight)
	}
	harness.now = queued.queueUntil
	harness.expireQueued(queued.ID)
	router.fillPace = 1
	router.linkLimiter.inflight = 9
	if actions := harness.finish(lookup, 1, Rejected, FillRejected); !isRejected(actions) {
		t.Errorf("got actions %v, want a rejection", actions)
	}
}

// TestSaturatedHomeHasFailoverTargets checks that requests for a saturated home cache go to caches with
// ample headroom, and are queued if no cache has ample headroom. Without failover, all requests would
// queue, and a sixth of them would be rejected although the next cache could carry two thirds more load.
func TestSaturatedHomeHasFailoverTargets(t *testing.T) {
	const weight = 4
	config := settings()
	config.WeightIsCapacity = true
	config.RoutersByZone = []int{0, 1, 1}
	harness := newHarness(t, config, fleetOfWeight(weight))
	var sent []SendAttempt
	attemptsAt := map[ServerID]int{}
	for range 20 {
		for _, attempt := range sendActions(harness.request(Request{Object: 7})) {
			sent = append(sent, attempt)
			attemptsAt[attempt.Server]++
		}
	}
	home := sent[0].Server
	quota := overcommitFactor * weight
	for id, got := range attemptsAt {
		want := int(quota)
		if id != home {
			want = int(quota * failoverHeadroom)
		}
		if got != want {
			t.Errorf("got %d attempts at cache %d, want %d; the home cache is %d", got, id, want, home)
		}
	}
	if got, want := len(attemptsAt), len(harness.caches()); got != want {
		t.Errorf("got attempts at %d caches, want %d", got, want)
	}
	next := sendActions(harness.finishWithoutStatus(sent[0], 0, Served, 10*millisecond))
	if len(next) != 1 || next[0].Server != home {
		t.Errorf("after the end of one attempt got %v, want one attempt at the home cache %d", next, home)
	}
}

// TestWritesAreNotQueuedForSaturatedCaches checks that a write is sent without a wait even if its cache is
// saturated. Writes have few bytes and the highest priority. If they queued, a third of them would be
// rejected without being sent.
func TestWritesAreNotQueuedForSaturatedCaches(t *testing.T) {
	config := settings()
	config.WeightIsCapacity = true
	config.AllowBypass = false
	harness := newHarness(t, config, fleetOfWeight(2))
	for range 10 * len(harness.caches()) {
		harness.request(Request{Object: ObjectID(harness.nextID)})
	}
	write := harness.requestOne(Request{Object: 7, Class: writeClass})
	target := harness.router.requests[write.ID].attempts[0].target
	if !harness.router.saturated(target, 1) {
		t.Errorf("got the write at cache %d, want a saturated cache", target.ID)
	}
}

// TestCachesAtFullPaceTakeMore checks that a router may use the whole links of the caches while the caches
// respond in time, and only its quota, an equal share for each router of the zone, while the caches are
// slow. If the quota always applied, a router that serves its zone alone would reject a tenth of the
// requests while the links are half used.
func TestCachesAtFullPaceTakeMore(t *testing.T) {
	tests := []struct {
		name      string
		slowdown  float64
		saturated bool
	}{
		{name: "responses come in time", slowdown: 1, saturated: false},
		{name: "responses are slow", slowdown: 2 * saturatedSlowdown, saturated: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := settings()
			config.WeightIsCapacity = true
			config.RoutersByZone = []int{0, 2, 2}
			config.BodyBytesPerSecond = 100_000
			harness := newHarness(t, config, fleetOfWeight(20))
			server := harness.caches()[0]
			server.inflight = 18 // more than this router's quota, less than the link's capacity
			server.slowdown.observe(harness.now, slowdownTimeConstant, 1, test.slowdown)
			if got := harness.router.saturated(server, 1); got != test.saturated {
				t.Errorf("got saturated %v, want %v", got, test.saturated)
			}
		})
	}
}

// TestManyRoutersShareTheirCaches checks that all routers of a zone together have no more attempts in
// flight than the caches of the zone can serve, although each router may always have minInflight (two)
// attempts in flight at one cache. Without a limit for the whole zone, eight routers would have 16 attempts
// in flight at a cache that sends six transfers at full pace. A burst of 5 s would overload the link of the
// zone, and half of the requests would still be rejected long after the burst.
func TestManyRoutersShareTheirCaches(t *testing.T) {
	harness := newSmallQuotaHarness(t)
	inflight := 0
	for i := range 40 {
		actions := harness.request(Request{Object: ObjectID(1 + i)})
		inflight += len(sendActions(actions))
	}
	quota := overcommitFactor * 6 * 3 / 8
	if float64(inflight) < quota || float64(inflight) > quota+1 {
		t.Errorf("got %d attempts in flight, want this router's quota of %.1f", inflight, quota)
	}
}

// TestSmallQuotasDoNotMoveObjects checks that requests stay at the home cache if this router's quota, its
// share of the attempts that may be in flight at a cache, is less than two. With so small a quota, two
// simultaneous attempts are a matter of chance and show no overload. If such requests failed over, 44% of
// the objects would change their cache without any fault, and the resulting fills would saturate the link.
func TestSmallQuotasDoNotMoveObjects(t *testing.T) {
	harness := newSmallQuotaHarness(t)
	home := harness.requestOne(Request{Object: 7}).Server
	for range 3 {
		for _, sent := range sendActions(harness.request(Request{Object: 7})) {
			if sent.Server != home {
				t.Errorf("got an attempt at cache %d, want the home cache %d", sent.Server, home)
			}
		}
	}
	if got, want := len(harness.router.queue), 4-int(inflightFloor(false)); got != want {
		t.Errorf("got %d requests queued for their home cache, want %d", got, want)
	}
}

// TestQueuedRequestIsRejectedWhenTooLate checks that a queued request is rejected as soon as it is too late
// for a response in time at the pace of a saturated cache. If such requests were still sent, a third of
// the responses would arrive after their deadline, and the work would be wasted.
func TestQueuedRequestIsRejectedWhenTooLate(t *testing.T) {
	harness := newSmallQuotaHarness(t)
	for range int(inflightFloor(false)) {
		harness.requestOne(Request{Object: 7})
	}
	startedAt := harness.now
	actions := harness.request(Request{Object: 7})
	queued := harness.router.requests[harness.nextID-1]
	if len(sendActions(actions)) != 0 || queued == nil {
		t.Fatalf("got actions %v, want the request queued", actions)
	}
	transferSeconds := harness.transferSecondsOf(queued)
	timeLeft := queued.objectiveAt - queued.queueUntil
	if least := secondsToDuration(2 * transferSeconds); timeLeft < least {
		t.Errorf("got a wait that ends %v before the latency objective, want at least %v before", timeLeft, least)
	}
	if queued.queueUntil <= startedAt {
		t.Errorf("got a wait that ends at %v, want an end after its start at %v", queued.queueUntil, startedAt)
	}
	harness.now = queued.queueUntil
	if actions := harness.expireQueued(queued.ID); !isRejected(actions) {
		t.Errorf("got actions %v, want a rejection", actions)
	}
}

// TestSmallQuotaRouterKeepsThreeInflight checks that a router whose computed quota of attempts in flight is
// small may have three attempts in flight, but only two if caches have rejected recently. The router
// receives a twentieth of its zone's requests and therefore sees too few responses of any cache for an
// exact quota. If the limit were always two, eighty such routers would queue and reject requests after a
// purge of everything, while the caches still had headroom. If the limit were always three, it would make
// an overload of the caches worse.
func TestSmallQuotaRouterKeepsThreeInflight(t *testing.T) {
	tests := []struct {
		name       string
		rejections int // rejections by each cache; three of them activate the cache's limiter
		want       int
	}{
		{name: "no cache rejected recently", rejections: 0, want: 3},
		{name: "caches rejected recently", rejections: 3, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := settings()
			config.WeightIsCapacity = true
			config.RoutersByZone = []int{0, 20, 1}
			config.Routers = 21
			harness := newHarness(t, config, fleetOfWeight(4))
			for _, server := range harness.caches() {
				for range test.rejections {
					harness.now += limitUpdateInterval
					server.limiter.observe(harness.now, rejectionUtilization, harness.router.zoneFraction)
				}
			}
			sent := 0
			for i := range 20 {
				sent += len(sendActions(harness.request(Request{Object: ObjectID(i)})))
			}
			if sent != test.want {
				t.Errorf("got %d of 20 requests sent, want %d sent and the others queued", sent, test.want)
			}
		})
	}
}

// TestEndedRequestsLeaveTheQueue guards against memory that grows while caches hang: a queued request that
// was rejected, or whose client disconnected, stayed in the queue until the next outcome of any attempt.
func TestEndedRequestsLeaveTheQueue(t *testing.T) {
	harness := newSmallQuotaHarness(t)
	router := harness.router
	for id := RequestID(1); id <= 100; id++ {
		harness.request(Request{ID: id, Object: 7})
		if id%2 == 0 {
			harness.handle(ClientDisconnected{ID: id})
		}
	}
	open := func(queued *request) bool { return router.requests[queued.ID] == queued }
	kept := slices.Clone(router.queue)
	if len(kept) == 0 || !slices.ContainsFunc(kept, open) {
		t.Fatalf("got %d requests in the queue, want the open ones", len(kept))
	}
	if ended := slices.DeleteFunc(slices.Clone(kept), open); len(ended) != 0 {
		t.Errorf("got %d requests in the queue whose clients have disconnected, want none", len(ended))
	}
	harness.now += second
	for _, queued := range kept {
		harness.expireQueued(queued.ID)
	}
	if len(router.queue) != 0 {
		t.Errorf("got %d requests in the queue after all were rejected, want none", len(router.queue))
	}
}
