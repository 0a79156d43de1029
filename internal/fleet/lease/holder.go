// Package lease implements the two sides of a lease, without I/O. Holder is a router's side: it
// knows until when the router's lease is valid. ExpiryTracker is the side of the registry's
// leader: it knows when the leader may grant the lease to another router. Neither side reads the
// other's clock. The holder counts the lease from a time before it sent its request. The leader
// counts the lease from the time at which it granted or renewed the lease. Both sides allow for
// clock drift and a safety margin. The lease therefore expires at the holder before it can be
// granted to another router.
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
	maxPendingRequests = 16 // per lease; if there are more, the oldest request is discarded

	// Divisors of the TTL. A holder renews its lease after TTL/renewalDivisor. The routers that
	// want a lease request it in the order of their ranks (see Rank), each TTL/rankDivisor later
	// than the router before it.
	renewalDivisor = 3
	rankDivisor    = 2

	// noticeDivisor divides the retry interval. After a notice that nobody holds the lease, the
	// notified routers request it in the order of their ranks (see Rank), each
	// RetryInterval/noticeDivisor later than the router of the rank before.
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
	highestToken    uint64        // highest token in any response so far
	lastKnownHolder membership.ID // according to the latest response; 0 if nobody holds the lease or the holder is unknown
	releasing       *Request      // release that is repeated until the registry confirms it; nil if no release is pending
	releaseAttempts int
}

// NewHolder returns a holder that wants no lease yet. The IDs of its requests count up from
// firstRequestID+1. Each incarnation of the router must pass a different firstRequestID.
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

// SetRank sets the router's rank for a lease. A router with a negative rank does not want the
// lease, and releases the lease if it holds it. A router with a higher rank requests the lease
// later. It therefore gets the lease only if no router with a lower rank wants it.
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

// Release releases a lease to the router with the ID successor, or to nobody if this ID is 0. The
// lease immediately ceases to be valid at this router. Step repeats the release until the
// registry confirms it, or until the lease has expired at the registry.
func (h *Holder) Release(now float64, name string, successor membership.ID, handoff []byte) {
	state := h.stateOf(name)
	if state.fencingToken == 0 {
		return
	}
	state.releasing = &Request{Lease: name, FencingToken: state.fencingToken, Release: true, TransferTo: successor, Handoff: handoff}
	state.releaseAttempts = 0
	state.fencingToken, state.expiresAt = 0, 0
	state.nextRequestAt = now
	// This router does not request the lease again within one TTL. Otherwise, a lease that
	// operators transfer away from this router could return to it: if the target does not want the
	// lease, the target releases it, and this router would request the lease again.
	state.backoffUntil = max(state.backoffUntil, now+h.settings.TTL)
	clear(state.pendingRequests)
}

// Valid returns the fencing token of a lease; ok is false if this router does not hold the lease
// now. Callers must call Valid again before each write to a socket.
func (h *Holder) Valid(now float64, name string) (token uint64, ok bool) {
	state := h.leases[name]
	if state == nil || state.fencingToken == 0 || now >= state.expiresAt {
		return 0, false
	}
	return state.fencingToken, true
}

// AllReleased reports whether no release is pending any more.
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

// LastKnownHolder returns the holder of a lease according to the registry's latest response. It
// returns 0 if nobody held the lease or the holder is unknown.
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

// Step advances the holder to the time now, in ms. It returns the requests to send, the leases
// that expired, and the time in ms of the next step.
func (h *Holder) Step(now float64) (requests []Request, changes []Change, wakeAt float64) {
	wakeAt = math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		state := h.leases[name]
		if state.fencingToken != 0 && now >= state.expiresAt {
			// The lease was not renewed in time. This router stops using the lease and does not
			// wait for a confirmation by the registry.
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

// newRequest returns the request to send now. This is the pending release if there is one, and
// otherwise a request for a grant or a renewal.
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

// releaseRequest returns the pending release with a new request ID. It ends the pending release
// if the lease expires at the registry before the release would be repeated.
func (h *Holder) releaseRequest(state *leaseState) Request {
	request := *state.releasing
	request.ID = h.lastRequestID
	state.releaseAttempts++
	if float64(state.releaseAttempts)*h.settings.RetryInterval > h.settings.registryPeriod() {
		state.releasing = nil
	}
	return request
}
