// Package lease has the two sides of a lease, without I/O: Holder is a router's, which knows
// until when its lease is valid, and ExpiryTracker the registry leader's, which knows from
// when on it may grant the lease to another router. Neither reads the other's clock. The
// holder counts from before it sent its request, the leader from after it responded, and both
// allow for clock drift and a safety margin, so that the lease has expired at the holder
// before it can be granted to another.
//
// Its types belong to one goroutine each, that of their owner (packages leasemanager and
// consensus).
package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/membership"
)

const (
	maxPendingRequests = 16 // of one lease; the oldest is forgotten

	// Fractions of the TTL: when to renew, and by how much each rank requests later.
	renewalDivisor = 3
	rankDivisor    = 2

	// noticeDivisor is the fraction of the retry interval by which each rank requests later
	// where nobody holds the lease.
	noticeDivisor = 4

	maxBackoffDoublings = 16
)

// Holder is a router's side of its leases. It is not safe for concurrent use; its owner
// publishes for others what it holds.
type Holder struct {
	settings      Settings
	self          membership.ID
	leases        map[string]*leaseState
	lastRequestID uint64
}

// leaseState is one lease as this router knows it. Times are in ms.
type leaseState struct {
	rank            int     // -1: the router does not want it
	fencingToken    uint64  // 0: the router does not hold it
	expiresAt       float64 // if it holds it
	pendingRequests map[uint64]float64
	nextRequestAt   float64
	backoffUntil    float64
	highestToken    uint64        // of all responses
	lastKnownHolder membership.ID // by the latest response; 0: nobody, or not known
	releasing       *Request      // repeated until the registry confirms it
	releaseAttempts int
}

// NewHolder returns the side of a router that wants no lease. Request IDs count up from
// above firstRequestID, which differs between incarnations.
func NewHolder(settings Settings, self membership.ID, firstRequestID uint64) *Holder {
	return &Holder{settings: settings, self: self, leases: map[string]*leaseState{}, lastRequestID: firstRequestID}
}

// stateOf returns the state of a lease, which it begins if there is none.
func (h *Holder) stateOf(name string) *leaseState {
	state := h.leases[name]
	if state == nil {
		state = &leaseState{rank: -1, pendingRequests: map[uint64]float64{}, nextRequestAt: math.Inf(1)}
		h.leases[name] = state
	}
	return state
}

// SetRank sets the router's rank for a lease. Below 0 it does not want the lease, and
// releases it. Higher ranks request it later, in case those before them do not want it.
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

// Release releases a lease, to another router if one is named. It is not valid here from now
// on; the request to the registry is repeated until it is confirmed.
func (h *Holder) Release(now float64, name string, to membership.ID, handoff []byte) {
	state := h.stateOf(name)
	if state.fencingToken == 0 {
		return
	}
	state.releasing = &Request{Lease: name, FencingToken: state.fencingToken, Release: true, TransferTo: to, Handoff: handoff}
	state.releaseAttempts = 0
	state.fencingToken, state.expiresAt = 0, 0
	state.nextRequestAt = now
	// Symptom guarded against: operators transferred a lease to a router that did not want it,
	// and what that one released came back to the router that it was transferred from.
	state.backoffUntil = max(state.backoffUntil, now+h.settings.TTL)
	clear(state.pendingRequests)
}

// Valid tells whether this router holds a lease now, and under which fencing token. It is to
// be asked again before each write to a socket.
func (h *Holder) Valid(now float64, name string) (token uint64, ok bool) {
	state := h.leases[name]
	if state == nil || state.fencingToken == 0 || now >= state.expiresAt {
		return 0, false
	}
	return state.fencingToken, true
}

// AllReleased tells whether the registry has confirmed all releases, or need not any more.
func (h *Holder) AllReleased() bool {
	for _, state := range h.leases {
		if state.releasing != nil {
			return false
		}
	}
	return true
}

// Expiry returns when a lease expires, and its fencing token; zeros if it is not held.
func (h *Holder) Expiry(name string) (expiresAt float64, token uint64) {
	if state := h.leases[name]; state != nil && state.fencingToken != 0 {
		return state.expiresAt, state.fencingToken
	}
	return 0, 0
}

// LastKnownHolder returns who held a lease by the registry's latest response; 0: nobody, or
// not known.
func (h *Holder) LastKnownHolder(name string) membership.ID {
	if state := h.leases[name]; state != nil {
		return state.lastKnownHolder
	}
	return 0
}

// Held returns the names of the leases that are valid now, sorted.
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

// Step advances the holder to now. It returns the requests to send, the leases that expired,
// and when to step next.
func (h *Holder) Step(now float64) (requests []Request, changes []Change, wakeAt float64) {
	wakeAt = math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		state := h.leases[name]
		if state.fencingToken != 0 && now >= state.expiresAt {
			// It could not be renewed in time: this router stops by itself, asking nobody.
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

// newRequest returns the request to send now: the pending release, or one for a grant or
// renewal.
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

// releaseRequest returns the pending release under a new request ID. It is the last one if
// the lease expires at the registry before the next would be sent.
func (h *Holder) releaseRequest(state *leaseState) Request {
	request := *state.releasing
	request.ID = h.lastRequestID
	state.releaseAttempts++
	if float64(state.releaseAttempts)*h.settings.RetryInterval > h.settings.registryPeriod() {
		state.releasing = nil
	}
	return request
}
