package lease

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// Clone returns a holder that goes its own way from here on: a search of all that may
// happen goes several from one state.
func (h *Holder) Clone() *Holder {
	n := *h
	n.leases = make(map[string]*leaseState, len(h.leases))
	for name, l := range h.leases {
		c := *l
		c.pendingRequests = maps.Clone(l.pendingRequests)
		if l.releasing != nil {
			g := *l.releasing
			c.releasing = &g
		}
		n.leases[name] = &c
	}
	return &n
}

// Clone returns a ledger that goes its own way from here on.
func (l *ExpiryTracker) Clone() *ExpiryTracker {
	return &ExpiryTracker{l.settings, maps.Clone(l.expiry)}
}

// AppendFingerprint appends what two holders must have in common to behave alike from now on: times
// are taken from now, and of the questions only those that may still be answered count.
// Two with the same form, and the same answers on their way, do the same.
func (h *Holder) AppendFingerprint(b []byte, now float64, answerable func(question uint64) bool) []byte {
	num := func(v uint64) { b = binary.AppendUvarint(b, v) }
	in := func(at float64) { num(uint64(min(max(at-now, 0), 1e9))) }
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		l := h.leases[name]
		num(uint64(l.rank + 1))
		num(l.fencingToken)
		num(l.highestToken)
		in(l.expiresAt)
		in(l.nextRequestAt)
		in(l.backoffUntil)
		for _, q := range slices.Sorted(maps.Keys(l.pendingRequests)) {
			if answerable(q) {
				num(h.lastRequestID - q)
				num(uint64(min(now-l.pendingRequests[q], 2*h.settings.TTL))) // by then any answer is too late
			}
		}
		if num(math.MaxUint64); l.releasing != nil {
			num(l.releasing.FencingToken)
			num(uint64(l.releasing.TransferTo))
			num(uint64(l.releaseAttempts))
		}
	}
	return b
}

// AppendFingerprint appends what two ledgers must have in common to answer alike from now on.
func (l *ExpiryTracker) AppendFingerprint(b []byte, now float64) []byte {
	for _, name := range slices.Sorted(maps.Keys(l.expiry)) {
		b = binary.AppendUvarint(b, uint64(max(0, l.expiry[name]-now)))
	}
	return b
}

// AwaitsResponse tells whether an answer to a question may still change something.
func (h *Holder) AwaitsResponse(name string, question uint64) bool {
	l := h.leases[name]
	if l == nil {
		return false
	}
	_, open := l.pendingRequests[question]
	return open || l.releasing != nil
}
