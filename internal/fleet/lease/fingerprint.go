package lease

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// This file supports exhaustive searches of the states that holders and a registry can reach.

// Clone returns a copy of the holder that shares no mutable state with the original.
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

// Clone returns a copy of the tracker that shares no mutable state with the original.
func (t *ExpiryTracker) Clone() *ExpiryTracker {
	return &ExpiryTracker{t.settings, maps.Clone(t.expiry)}
}

// maxFingerprintMs is the maximum of a time in a fingerprint, in ms from now. All times that are
// further ahead count as equal.
const maxFingerprintMs = 1e9

// AppendFingerprint appends an encoding of the state that determines the holder's future
// behavior. Times are relative to the time now. answerable reports whether a response to a
// pending request may still arrive. The encoding includes only the pending requests for which
// answerable returns true. Two holders with the same fingerprint and the same responses in
// flight behave in the same way.
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
				number(uint64(min(now-state.pendingRequests[id], 2*h.settings.TTL))) // a request older than two TTLs cannot be granted in time
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

// AppendFingerprint appends an encoding of the state that determines the tracker's future
// results. Times are relative to the time now.
func (t *ExpiryTracker) AppendFingerprint(b []byte, now float64) []byte {
	for _, name := range slices.Sorted(maps.Keys(t.expiry)) {
		b = binary.AppendUvarint(b, uint64(max(0, t.expiry[name]-now)))
	}
	return b
}

// AwaitsResponse reports whether a response to a request may still change the holder's state.
func (h *Holder) AwaitsResponse(name string, requestID uint64) bool {
	state := h.leases[name]
	if state == nil {
		return false
	}
	_, pending := state.pendingRequests[requestID]
	return pending || state.releasing != nil
}

// Backdate sets the time at which a pending request was sent. Tests use it to violate the rule
// that a holder counts a lease from the time at which it sent the request.
func (h *Holder) Backdate(name string, requestID uint64, sentAt float64) {
	state := h.leases[name]
	if state == nil {
		return
	}
	if _, pending := state.pendingRequests[requestID]; pending {
		state.pendingRequests[requestID] = sentAt
	}
}
