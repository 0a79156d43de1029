package lease

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// This file is for searches through all states that holders and a registry can reach.

// Clone returns a copy of the holder that is independent from here on.
func (h *Holder) Clone() *Holder {
	clone := *h
	clone.leases = make(map[string]*leaseState, len(h.leases))
	for name, state := range h.leases {
		copied := *state
		copied.pendingRequests = maps.Clone(state.pendingRequests)
		if state.releasing != nil {
			releasing := *state.releasing
			copied.releasing = &releasing
		}
		clone.leases[name] = &copied
	}
	return &clone
}

// Clone returns a copy of the tracker that is independent from here on.
func (t *ExpiryTracker) Clone() *ExpiryTracker {
	return &ExpiryTracker{t.settings, maps.Clone(t.expiry)}
}

// maxFingerprintMs bounds times in a fingerprint: what is further away is alike.
const maxFingerprintMs = 1e9

// AppendFingerprint appends what two holders must have in common to behave alike from now on:
// times are counted from now, and of the pending requests only those count that may still get
// a response. Two with the same fingerprint, and the same responses on their way, do the same.
func (h *Holder) AppendFingerprint(b []byte, now float64, answerable func(requestID uint64) bool) []byte {
	number := func(v uint64) { b = binary.AppendUvarint(b, v) }
	timeLeft := func(at float64) { number(uint64(min(max(at-now, 0), maxFingerprintMs))) }
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		state := h.leases[name]
		number(uint64(state.rank + 1))
		number(state.fencingToken)
		number(state.highestToken)
		timeLeft(state.expiresAt)
		timeLeft(state.nextRequestAt)
		timeLeft(state.backoffUntil)
		for _, id := range slices.Sorted(maps.Keys(state.pendingRequests)) {
			if answerable(id) {
				number(h.lastRequestID - id)
				number(uint64(min(now-state.pendingRequests[id], 2*h.settings.TTL))) // by then any response is too late
			}
		}
		number(math.MaxUint64)
		if state.releasing != nil {
			number(state.releasing.FencingToken)
			number(uint64(state.releasing.TransferTo))
			number(uint64(state.releaseAttempts))
		}
	}
	return b
}

// AppendFingerprint appends what two trackers must have in common to answer alike from now on.
func (t *ExpiryTracker) AppendFingerprint(b []byte, now float64) []byte {
	for _, name := range slices.Sorted(maps.Keys(t.expiry)) {
		b = binary.AppendUvarint(b, uint64(max(0, t.expiry[name]-now)))
	}
	return b
}

// AwaitsResponse tells whether a response to a request may still change something.
func (h *Holder) AwaitsResponse(name string, requestID uint64) bool {
	state := h.leases[name]
	if state == nil {
		return false
	}
	_, pending := state.pendingRequests[requestID]
	return pending || state.releasing != nil
}

// Backdate changes when a pending request was sent. It is for tests that break the rule by
// which a lease counts from before it was requested.
func (h *Holder) Backdate(name string, requestID uint64, sentAt float64) {
	state := h.leases[name]
	if state == nil {
		return
	}
	if _, pending := state.pendingRequests[requestID]; pending {
		state.pendingRequests[requestID] = sentAt
	}
}
