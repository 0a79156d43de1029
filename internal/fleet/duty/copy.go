package duty

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
	n.by = make(map[string]*lease, len(h.by))
	for name, l := range h.by {
		c := *l
		c.open = maps.Clone(l.open)
		if l.giving != nil {
			g := *l.giving
			c.giving = &g
		}
		n.by[name] = &c
	}
	return &n
}

// Clone returns a ledger that goes its own way from here on.
func (l *Ledger) Clone() *Ledger { return &Ledger{l.set, maps.Clone(l.until)} }

// Form appends what two holders must have in common to behave alike from now on: times
// are taken from now, and of the questions only those that may still be answered count.
// Two with the same form, and the same answers on their way, do the same.
func (h *Holder) Form(b []byte, now float64, answerable func(question uint64) bool) []byte {
	num := func(v uint64) { b = binary.AppendUvarint(b, v) }
	in := func(at float64) { num(uint64(min(max(at-now, 0), 1e9))) }
	for _, name := range slices.Sorted(maps.Keys(h.by)) {
		l := h.by[name]
		num(uint64(l.rank + 1))
		num(l.token)
		num(l.seen)
		in(l.end)
		in(l.next)
		in(l.away)
		for _, q := range slices.Sorted(maps.Keys(l.open)) {
			if answerable(q) {
				num(h.ask - q)
				num(uint64(min(now-l.open[q], 2*h.set.TTL))) // by then any answer is too late
			}
		}
		if num(math.MaxUint64); l.giving != nil {
			num(l.giving.Token)
			num(uint64(l.giving.To))
			num(uint64(l.repeats))
		}
	}
	return b
}

// Form appends what two ledgers must have in common to answer alike from now on.
func (l *Ledger) Form(b []byte, now float64) []byte {
	for _, name := range slices.Sorted(maps.Keys(l.until)) {
		b = binary.AppendUvarint(b, uint64(max(0, l.until[name]-now)))
	}
	return b
}

// Waits tells whether an answer to a question may still change something.
func (h *Holder) Waits(name string, question uint64) bool {
	l := h.by[name]
	if l == nil {
		return false
	}
	_, open := l.open[question]
	return open || l.giving != nil
}
