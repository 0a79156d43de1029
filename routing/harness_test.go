package routing

import (
	"math"
	"slices"
	"testing"
	"time"
)

const (
	millisecond = time.Millisecond
	second      = time.Second
)

// Kinds of the test fleet.
const (
	cacheKind = iota
	parentKind
	originKind
)

// Servers of the test fleet.
const (
	firstCache   ServerID = 11
	secondCache  ServerID = 12
	thirdCache   ServerID = 13
	remoteCache  ServerID = 21 // in another zone
	firstParent  ServerID = 31
	secondParent ServerID = 32
	originServer ServerID = 41
)

// Indices of the test classes.
const (
	bigClass = iota
	smallClass
	writeClass
	onceClass
)

// settings returns the settings of a router that is the only router of its zone. Another zone also has one
// router.
func settings() Settings {
	return Settings{
		Zones: 3, Zone: 1, Kinds: 3, ParentKind: parentKind, OriginKind: originKind,
		RoutersByZone: []int{0, 1, 1}, Routers: 2, MaxAttempts: 6, MaxRetryAfter: 500 * millisecond,
		CanCancel: true, CanJoinFill: true, AllowBypass: true, TransferKBPerSecond: 1000,
		DrainGrace: 250 * millisecond, PurgeGrace: 300 * millisecond, PurgeRetention: 6 * second,
		CacheSlowStart: SlowStart{
			InitialCapacity: 0.2, Duration: 10 * second, OverloadFactor: 2, OverloadWindow: 2 * second,
		},
		ParentSlowStart: SlowStart{
			InitialCapacity: 0.1, Duration: 20 * second, OverloadFactor: 2, OverloadWindow: 2 * second,
		},
		Classes: []Class{
			bigClass: {
				Name: "big", Idempotency: Idempotent, LatencyObjective: 600 * millisecond,
				ObjectiveTransferFactor: 2, Deadline: 6 * second, PriorityWeight: 2,
			},
			smallClass: {
				Name: "small", Idempotency: Idempotent, LatencyObjective: 250 * millisecond,
				ObjectiveTransferFactor: 2, Deadline: 3 * second, PriorityWeight: 1, FreshnessLifetime: 8 * second,
			},
			writeClass: {
				Name: "write", Idempotency: IdempotentWithKey, KeyWindow: 2 * second,
				LatencyObjective: 700 * millisecond, Deadline: 3 * second, PriorityWeight: 3, Write: true,
			},
			onceClass: {
				Name: "once", Idempotency: NonIdempotent,
				LatencyObjective: 700 * millisecond, Deadline: 3 * second, PriorityWeight: 3, Write: true,
			},
		},
	}
}

// fleet returns three caches in the router's zone, one cache in another zone, two parents and an origin.
func fleet() []Server {
	return []Server{
		{ID: firstCache, Zone: 1, Kind: cacheKind, Phase: Ready},
		{ID: secondCache, Zone: 1, Kind: cacheKind, Phase: Ready},
		{ID: thirdCache, Zone: 1, Kind: cacheKind, Phase: Ready},
		{ID: remoteCache, Zone: 2, Kind: cacheKind, Phase: Ready},
		{ID: firstParent, Kind: parentKind, Phase: Ready},
		{ID: secondParent, Kind: parentKind, Phase: Ready},
		{ID: originServer, Kind: originKind, Phase: Ready},
	}
}

// fleetOfWeight returns the test fleet with the given weight for all servers.
func fleetOfWeight(weight float64) []Server {
	list := fleet()
	for i := range list {
		list[i].Weight = weight
	}
	return list
}

// harness passes events to a Router and holds the state of the Router's caller.
type harness struct {
	*testing.T
	router *Router
	now    time.Duration
	nextID RequestID
}

// newHarness creates a router and passes it a list of servers.
func newHarness(t *testing.T, config Settings, list []Server) *harness {
	t.Helper()
	return newSeededHarness(t, config, list, 1)
}

// newSeededHarness creates a router with the given seed and passes it a list of servers.
func newSeededHarness(t *testing.T, config Settings, list []Server, seed uint64) *harness {
	t.Helper()
	router, err := New(config, seed)
	if err != nil {
		t.Fatal(err)
	}
	started := &harness{T: t, router: router, now: 1000 * second, nextID: 1}
	started.handle(EndpointUpdate{Snapshot: true, Servers: list})
	return started
}

// newSmallQuotaHarness creates a router that is one of eight routers of its zone. The zone has three
// caches, each of which sends six transfers at full pace. The router's quota of each cache is less than two
// transfers.
func newSmallQuotaHarness(t *testing.T) *harness {
	t.Helper()
	config := settings()
	config.WeightIsCapacity = true
	config.RoutersByZone = []int{0, 8, 1}
	config.BodyBytesPerSecond = 100_000
	started := newHarness(t, config, fleetOfWeight(6))
	for _, server := range started.caches() { // the caches look busy with attempts of other routers
		server.slowdown.observe(started.now, slowdownTimeConstant, 1, 1.5*saturatedSlowdown)
	}
	return started
}

// handle passes an event to the router at the harness time.
func (h *harness) handle(event Event) []Action {
	return h.router.Handle(h.now, event, nil)
}

// request sends a request and returns the resulting actions. A request without an ID gets a new ID. A
// request without a timeout gets the deadline of its class.
func (h *harness) request(request Request) []Action {
	if request.ID == 0 {
		request.ID = h.nextID
		h.nextID++
	}
	if request.Timeout == 0 {
		request.Timeout = h.router.settings.Classes[request.Class].Deadline
	}
	return h.handle(request)
}

// requestOne sends a request and returns the attempt that results. It fails the test unless there is
// exactly one attempt.
func (h *harness) requestOne(request Request) SendAttempt {
	h.Helper()
	return h.singleAttempt(h.request(request))
}

// singleAttempt returns the only attempt among the given actions. It fails the test unless there is exactly
// one attempt.
func (h *harness) singleAttempt(actions []Action) SendAttempt {
	h.Helper()
	attempts := sendActions(actions)
	if len(attempts) != 1 {
		h.Fatalf("got %d attempts, want 1; actions %v", len(attempts), actions)
	}
	return attempts[0]
}

// finish reports the end of an attempt. index is its index among the attempts of its request.
func (h *harness) finish(sent SendAttempt, index int, result Result, status CacheStatus) []Action {
	nan := math.NaN()
	return h.handle(Outcome{
		ID: sent.ID, Attempt: index, Server: sent.Server, Result: result, CacheStatus: status,
		Duration: 100 * millisecond, RequestDone: result == Served,
		Load: LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan},
	})
}

// finishWithoutStatus reports the end of an attempt with an outcome that holds no cache status.
func (h *harness) finishWithoutStatus(sent SendAttempt, index int, result Result, duration time.Duration) []Action {
	return h.handle(Outcome{
		ID: sent.ID, Attempt: index, Server: sent.Server, Result: result,
		Duration: duration, RequestDone: result == Served,
	})
}

// checkNewest fires the timer that checks the newest attempt of a request.
func (h *harness) checkNewest(id RequestID) []Action {
	return h.handle(TimerFired{Token: uint64(id)<<timerKindBits | timerCheckAttempt})
}

// expireQueued fires the timer that ends the wait of a queued request.
func (h *harness) expireQueued(id RequestID) []Action {
	return h.handle(TimerFired{Token: uint64(id)<<timerKindBits | timerQueueExpired})
}

func (h *harness) caches() []*server  { return h.router.readyByRole[cache] }
func (h *harness) parents() []*server { return h.router.readyByRole[parent] }

// sendActions returns the SendAttempt actions among the given actions.
func sendActions(actions []Action) []SendAttempt {
	var attempts []SendAttempt
	for _, action := range actions {
		if sent, ok := action.(SendAttempt); ok {
			attempts = append(attempts, sent)
		}
	}
	return attempts
}

// isRejected reports whether the actions contain a Reject.
func isRejected(actions []Action) bool { return containsAction[Reject](actions) }

// isFailed reports whether the actions contain a Fail.
func isFailed(actions []Action) bool { return containsAction[Fail](actions) }

func containsAction[A Action](actions []Action) bool {
	return slices.ContainsFunc(actions, func(action Action) bool {
		_, ok := action.(A)
		return ok
	})
}

// transferSecondsOf returns the transfer time of a request in seconds.
func (h *harness) transferSecondsOf(request *request) float64 {
	seconds, _ := h.router.transferSeconds(request)
	return seconds
}
