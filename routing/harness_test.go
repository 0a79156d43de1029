package routing

import (
	"math"
	"slices"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// Kinds and zones of the test fleets.
const (
	cacheKind = iota
	parentKind
	originKind
)

func settings() Settings {
	return Settings{
		Zones: 3, Zone: 1, Kinds: 3, ParentKind: parentKind, OriginKind: originKind,
		RoutersByZone: []int{0, 1, 1}, Routers: 2, MaxAttempts: 6, MaxRetryAfter: 500 * ms,
		CanCancel: true, CanJoinFill: true, AllowBypass: true, TransferKBPerSecond: 1000,
		DrainGrace: 250 * ms, PurgeGrace: 300 * ms, PurgeRetention: 6 * sec,
		CacheSlowStart:  SlowStart{InitialCapacity: 0.2, Duration: 10 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		ParentSlowStart: SlowStart{InitialCapacity: 0.1, Duration: 20 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		Classes: []Class{
			{Name: "big", Idempotency: Idempotent, LatencyObjective: 600 * ms, ObjectiveTransferFactor: 2, Deadline: 6 * sec, PriorityWeight: 2},
			{Name: "small", Idempotency: Idempotent, LatencyObjective: 250 * ms, ObjectiveTransferFactor: 2, Deadline: 3 * sec, PriorityWeight: 1, FreshnessLifetime: 8 * sec},
			{Name: "write", Idempotency: IdempotentWithKey, LatencyObjective: 700 * ms, Deadline: 3 * sec, KeyWindow: 2 * sec, PriorityWeight: 3, Write: true},
			{Name: "once", Idempotency: NonIdempotent, LatencyObjective: 700 * ms, Deadline: 3 * sec, PriorityWeight: 3, Write: true},
		},
	}
}

// fleet lists three caches in the router's zone, one elsewhere, two parents
// and an origin.
func fleet() []Server {
	return []Server{
		{ID: 11, Zone: 1, Kind: cacheKind, Phase: Ready}, {ID: 12, Zone: 1, Kind: cacheKind, Phase: Ready},
		{ID: 13, Zone: 1, Kind: cacheKind, Phase: Ready}, {ID: 21, Zone: 2, Kind: cacheKind, Phase: Ready},
		{ID: 31, Kind: parentKind, Phase: Ready}, {ID: 32, Kind: parentKind, Phase: Ready},
		{ID: 41, Kind: originKind, Phase: Ready},
	}
}

// harness drives a Router and keeps what a caller would.
type harness struct {
	*testing.T
	router  *Router
	now     time.Duration
	actions []Action
	nextID  RequestID
}

// newHarness starts a router that knows a list of servers.
func newHarness(t *testing.T, s Settings, list []Server) *harness {
	t.Helper()
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &harness{T: t, router: r, now: 1000 * sec, nextID: 1}
	f.handle(EndpointUpdate{Snapshot: true, Servers: list})
	return f
}

// handle feeds the router an event at the present time.
func (f *harness) handle(ev Event) []Action {
	f.actions = f.router.Handle(f.now, ev, nil)
	return f.actions
}

// request sends a request and returns the attempts and final answers that follow.
func (f *harness) request(q Request) []Action {
	if q.ID == 0 {
		q.ID = f.nextID
		f.nextID++
	}
	if q.Timeout == 0 {
		q.Timeout = f.router.settings.Classes[q.Class].Deadline
	}
	return f.handle(q)
}

// sendActions returns the attempts among actions.
func sendActions(acts []Action) (out []SendAttempt) {
	for _, a := range acts {
		if g, ok := a.(SendAttempt); ok {
			out = append(out, g)
		}
	}
	return out
}

// singleAttempt returns the attempt of actions that must hold one.
func (f *harness) singleAttempt(acts []Action) SendAttempt {
	f.Helper()
	g := sendActions(acts)
	if len(g) != 1 {
		f.Fatalf("want one attempt, got %v", acts)
	}
	return g[0]
}

// finish reports the end of an attempt.
func (f *harness) finish(g SendAttempt, n int, res Result, note CacheStatus) []Action {
	nan := math.NaN()
	return f.handle(Outcome{ID: g.ID, Attempt: n, Server: g.Server, Result: res, CacheStatus: note, Duration: 100 * ms,
		RequestDone: res == Served, Load: LoadReport{nan, nan, nan, nan}})
}

// isRejected reports whether a request was answered with a Reject.
func isRejected(acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Reject); return ok })
}

// isFailed reports whether a request was answered with a Fail.
func isFailed(acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Fail); return ok })
}

// finishWithoutStatus reports the end of an attempt by a cache that tells no cache status.
func (f *harness) finishWithoutStatus(g SendAttempt, n int, res Result, took time.Duration) []Action {
	return f.handle(Outcome{ID: g.ID, Attempt: n, Server: g.Server, Result: res, Duration: took, RequestDone: res == Served})
}

// newSmallShareHarness starts one of eight routers of a zone, whose quota of each of the three caches
// is under two of their six transfers.
func newSmallShareHarness(t *testing.T) *harness {
	t.Helper()
	s := settings()
	s.WeightIsCapacity, s.RoutersByZone, s.BodyBytesPerSecond = true, []int{0, 8, 1}, 100_000
	list := fleet()
	for i := range list {
		list[i].Weight = 6
	}
	f := newHarness(t, s, list)
	for _, c := range f.router.readyByRole[cache] { // others have much in flight there
		c.slowdown.observe(f.now, slowdownTimeConstant, 1, 1.5*saturatedSlowdown)
	}
	return f
}

// transferSecondsOf is the transfer time of a request in seconds.
func (f *harness) transferSecondsOf(q *request) float64 {
	seconds, _ := f.router.transferSeconds(q)
	return seconds
}
