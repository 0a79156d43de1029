// Package lease implements the two sides of a lease, without I/O. Holder is the side of a router,
// which knows until when its lease is valid. ExpiryTracker is the side of the registry's leader,
// which knows when it may grant the lease to another router. Neither side reads the other's
// clock. The holder counts the lease from before it sent its request and the leader from when
// it granted or renewed the lease, and both allow for clock drift and a safety margin. Thus the
// lease expires at the holder before it can be granted to another router.
//
// A Holder may be used only by the goroutine of its owner (package leasemanager), and an
// ExpiryTracker only by that of its owner (package consensus).
package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/membership"
)

const (
	maxPendingRequests = 16 // per lease; the oldest is discarded

	// Divisors of the TTL. A holder renews after TTL/renewalDivisor, and each rank requests the
	// lease TTL/rankDivisor later than the rank before it.
	renewalDivisor = 3
	rankDivisor    = 2

	// noticeDivisor divides the retry interval. After a notice that nobody holds the lease, each
	// rank requests it RetryInterval/noticeDivisor later than the rank before it.
	noticeDivisor = 4

	maxBackoffDoublings = 16 // bounds the exponent of the backoff
)

// Holder is a router's side of its leases. It is not safe for concurrent use; its owner publishes
// the leases that it holds to other goroutines.
type Holder struct {
	settings      Settings
	self          membership.ID
	leases        map[string]*leaseState
	lastRequestID uint64
}

// leaseState is the state of one lease at this router. Times are in ms of the boot clock.
type leaseState struct {
	rank            int                // negative if the router does not want the lease
	fencingToken    uint64             // 0 if the router does not hold the lease
	expiresAt       float64            // used only while the router holds the lease
	pendingRequests map[uint64]float64 // time of sending, by request ID
	nextRequestAt   float64
	backoffUntil    float64
	highestToken    uint64        // highest token of all responses
	lastKnownHolder membership.ID // according to the latest response; 0 if nobody holds it or if unknown
	releasing       *Request      // release that is repeated until the registry confirms it; nil if there is none
	releaseAttempts int
}

// NewHolder returns a holder that wants no lease yet. The IDs of its requests count up from
// firstRequestID+1. Each incarnation must pass another firstRequestID.
func NewHolder(settings Settings, self membership.ID, firstRequestID uint64) *Holder {
	return &Holder{settings: settings, self: self, leases: map[string]*leaseState{}, lastRequestID: firstRequestID}
}

// stateOf returns the state of a lease, and creates it if there is none.
func (h *Holder) stateOf(name string) *leaseState {
	state := h.leases[name]
	if state == nil {
		state = &leaseState{rank: -1, pendingRequests: map[uint64]float64{}, nextRequestAt: math.Inf(1)}
		h.leases[name] = state
	}
	return state
}

// SetRank sets the router's rank for a lease. With a negative rank the router does not want the
// lease, and releases it if it holds it. Higher ranks request the lease later, so that they get
// it only if no router with a lower rank wants it.
func (h *Holder) SetRank(now float64, name string, rank int) {
	state := h.stateOf(name)
	if rank < 0 && state.fencingToken != 0 {
		h.Release(now, name, 0, nil)
	}
	if rank >= 0 && (state.rank < 0 || rank < state.rank) && state.fencingToken == 0 {
		state.nextRequestAt = min(state.nextRequestAt, now+float64(rank)*h.settings.TTL/rankDivisor)
	}
	state.rank = rank
}

// Release releases a lease to the router to, or to nobody if to is 0. From now on the lease is not
// valid at this router. Step repeats the release until the registry confirms it or the lease has
// expired there.
func (h *Holder) Release(now float64, name string, to membership.ID, handoff []byte) {
	state := h.stateOf(name)
	if state.fencingToken == 0 {
		return
	}
	state.releasing = &Request{Lease: name, FencingToken: state.fencingToken, Release: true, TransferTo: to, Handoff: handoff}
	state.releaseAttempts = 0
	state.fencingToken, state.expiresAt = 0, 0
	state.nextRequestAt = now
	// Without this backoff, a lease that operators transferred to a router that did not want it
	// came back, as soon as that router released it, to the router that had given it away.
	state.backoffUntil = max(state.backoffUntil, now+h.settings.TTL)
	clear(state.pendingRequests)
}

// Valid returns the fencing token of a lease; ok is false if this router does not hold the lease
// now. Callers must check it again before each write to a socket.
func (h *Holder) Valid(now float64, name string) (token uint64, ok bool) {
	state := h.leases[name]
	if state == nil || state.fencingToken == 0 || now >= state.expiresAt {
		return 0, false
	}
	return state.fencingToken, true
}

// AllReleased reports whether no release waits for the registry's confirmation any more.
func (h *Holder) AllReleased() bool {
	for _, state := range h.leases {
		if state.releasing != nil {
			return false
		}
	}
	return true
}

// Expiry returns the time in ms at which a lease expires, and its fencing token. Both are 0 if this
// router does not hold the lease.
func (h *Holder) Expiry(name string) (expiresAt float64, token uint64) {
	if state := h.leases[name]; state != nil && state.fencingToken != 0 {
		return state.expiresAt, state.fencingToken
	}
	return 0, 0
}

// LastKnownHolder returns the holder of a lease according to the registry's latest response, or 0
// if nobody held the lease or the holder is unknown.
func (h *Holder) LastKnownHolder(name string) membership.ID {
	if state := h.leases[name]; state != nil {
		return state.lastKnownHolder
	}
	return 0
}

// Held returns the sorted names of the leases that this router holds now.
func (h *Holder) Held(now float64) []string {
	var names []string
	for name := range h.leases {
		if _, ok := h.Valid(now, name); ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// Step advances the holder to now, in ms. It returns the requests to send, the leases that
// expired, and the time in ms of the next step.
func (h *Holder) Step(now float64) (requests []Request, changes []Change, wakeAt float64) {
	wakeAt = math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		state := h.leases[name]
		if state.fencingToken != 0 && now >= state.expiresAt {
			// The lease was not renewed in time. This router stops using it without a
			// confirmation by the registry.
			changes = append(changes, Change{Lease: name, Cause: CauseExpired})
			state.fencingToken, state.expiresAt = 0, 0
			state.nextRequestAt = now + h.settings.TTL
		}
		if state.nextRequestAt <= now {
			requests = append(requests, h.newRequest(now, name, state))
		}
		wakeAt = min(wakeAt, state.nextRequestAt)
		if state.fencingToken != 0 {
			wakeAt = min(wakeAt, state.expiresAt)
		}
	}
	return requests, changes, wakeAt
}

// newRequest returns the request to send now: the pending release if there is one, otherwise a
// request for a grant or a renewal.
func (h *Holder) newRequest(now float64, name string, state *leaseState) Request {
	h.lastRequestID++
	state.nextRequestAt = now + h.settings.RetryInterval
	if state.releasing != nil {
		return h.releaseRequest(state)
	}
	if state.fencingToken == 0 && state.rank < 0 {
		state.nextRequestAt = math.Inf(1)
	}
	if len(state.pendingRequests) >= maxPendingRequests {
		oldest := slices.Min(slices.Collect(maps.Keys(state.pendingRequests)))
		delete(state.pendingRequests, oldest)
	}
	state.pendingRequests[h.lastRequestID] = now
	return Request{ID: h.lastRequestID, Lease: name, FencingToken: state.fencingToken}
}

// releaseRequest returns the pending release with a new request ID. It ends the release if the
// lease expires at the registry before the next repetition would be sent.
func (h *Holder) releaseRequest(state *leaseState) Request {
	request := *state.releasing
	request.ID = h.lastRequestID
	state.releaseAttempts++
	if float64(state.releaseAttempts)*h.settings.RetryInterval > h.settings.registryPeriod() {
		state.releasing = nil
	}
	return request
}
