// Package words holds what routers tell each other of the list of boxes: bans that staff
// set at a door, boxes that drain or are gone, purges. It does no I/O. Merging is the
// same in every order and however often a word comes.
//
// Word of others takes out and never adds. Bans are an add-wins set: each ban is a dot,
// the seat of the router at whose door it was set and a number; an enable removes the
// dots that its router knew. Of a ban and an enable on two sides of a cut the ban holds,
// since the enable did not know its dot.
package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Kind tells what a word is of.
type Kind uint8

// The kinds of words.
const (
	Ban   Kind = 1 + iota
	Drain      // or gone: the log told it as no longer ready
	Purge
)

// Item is one item of the shelf.
type Item struct {
	Kind      Kind
	Server    routing.ServerID
	Router    membership.ID // of the dot
	Sequence  uint64        // of the dot
	Removed   bool          // the dot is no more
	StartedAt float64       // Drain: the start of the box that drains, Unix ms; 0: long ago
	Object    routing.ObjectID
	Group     int
	PurgedAt  float64 // Purge: its moment, Unix ms
}

// Settings bound the shelf. Times are milliseconds.
type Settings struct {
	DotRetention  float64 // a removed dot is forgotten after it
	ItemRetention float64 // a drain or purge is
	MaxDots       int
	MaxItems      int
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{DotRetention: 86_400_000, ItemRetention: 600_000, MaxDots: 4096, MaxItems: 4096}
}

// Change is what a word makes of a box or an object for this router.
type Change struct {
	Item
	Disabled bool // Ban: the box is out now, or back
}

// Store holds the words of one router. It is a member.Shelf.
type Store struct {
	settings        Settings
	self            membership.ID
	lastSequence    uint64
	dots            map[dot]*entry
	items           map[uint64]*entry // drains and purges, by the sum of their content
	banCounts       map[routing.ServerID]int
	deferredEnables map[routing.ServerID]bool // enabled by a neighbour's word while that is not taken
	checksums       [membership.BucketCount]uint32
	forgotten       map[uint64]bool // sums of words that were dropped: they are not taken again
	forgottenOrder  []uint64
	lastExpiryAt    float64

	DeferEnables bool // a neighbour's word does not enable
	Rejected     int64
	changes      []Change
	dirty        bool
}

type dot struct {
	router   membership.ID
	sequence uint64
}

type entry struct {
	Item
	encoded    []byte
	receivedAt float64
	advertised bool
}

// New returns an empty shelf of the router with that seat. Its dots are numbered from
// above first, which grows with each life of the seat.
func New(set Settings, self membership.ID, first uint64) *Store {
	return &Store{settings: set, self: self, lastSequence: first, dots: map[dot]*entry{}, items: map[uint64]*entry{},
		banCounts: map[routing.ServerID]int{}, deferredEnables: map[routing.ServerID]bool{}, forgotten: map[uint64]bool{}}
}

// Append appends a word in protobuf's form.
func (w *Item) Append(b []byte) []byte {
	num := func(f protowire.Number, v uint64) { b = wireformat.AppendUint(b, f, v) }
	num(1, uint64(w.Kind))
	num(2, uint64(w.Server))
	num(3, uint64(w.Router))
	num(4, w.Sequence)
	if w.Removed {
		num(5, 1)
	}
	num(6, uint64(w.StartedAt))
	num(7, uint64(w.Object))
	num(8, uint64(w.Group))
	num(9, uint64(w.PurgedAt))
	return b
}

// maxTimestamp is the highest time that a word may bear, Unix ms; beyond it there is no date.
const maxTimestamp = 1 << 50

// Decode reads a word. Fields of a later version are passed over.
func Decode(b []byte) (w Item, ok bool) {
	if len(b) > membership.MaxItemLen {
		return w, false
	}
	for len(b) > 0 {
		f, t, k := protowire.ConsumeTag(b)
		if k < 0 {
			return w, false
		}
		b = b[k:]
		if t != protowire.VarintType {
			if k = protowire.ConsumeFieldValue(f, t, b); k < 0 {
				return w, false
			}
			b = b[k:]
			continue
		}
		v, k := protowire.ConsumeVarint(b)
		if k < 0 {
			return w, false
		}
		b = b[k:]
		switch f {
		case 1:
			w.Kind = Kind(min(v, 255))
		case 2:
			w.Server = routing.ServerID(v)
		case 3:
			w.Router = membership.ID(v)
		case 4:
			w.Sequence = v
		case 5:
			w.Removed = v != 0
		case 6:
			w.StartedAt = float64(min(v, maxTimestamp))
		case 7:
			w.Object = routing.ObjectID(v)
		case 8:
			w.Group = int(min(v, 1<<16))
		case 9:
			w.PurgedAt = float64(min(v, maxTimestamp))
		}
	}
	switch w.Kind {
	case Ban:
		ok = w.Router != 0 && w.Sequence != 0 && w.Server>>32 == 0
	case Drain:
		ok = w.Server>>32 == 0
	case Purge:
		ok = w.PurgedAt > 0 && w.PurgedAt < maxTimestamp && w.Group < 1<<16
	}
	return w, ok
}

// Receive takes an item that was heard. It tells whether it is new, and so passed on.
func (s *Store) Receive(now float64, _ membership.ID, item []byte) bool {
	w, ok := Decode(item)
	if !ok {
		s.Rejected++
		return false
	}
	return s.merge(now, w, item, false)
}

// AddLocal keeps what this router's own log told, which changes nothing for it. It returns
// the item to pass on, nil where it is known.
func (s *Store) AddLocal(now float64, w Item) []byte {
	b := w.Append(nil)
	n := len(s.changes)
	if !s.merge(now, w, b, true) {
		return nil
	}
	s.changes = s.changes[:n]
	return b
}

// SetDisabled takes a box out, or back, by order of staff at this router's door. It returns
// the items to pass on.
func (s *Store) SetDisabled(now float64, box routing.ServerID, out bool) (items [][]byte) {
	if out {
		for _, e := range s.dots {
			if e.Server == box && !e.Removed && e.Router == s.self {
				return nil
			}
		}
		s.lastSequence++
		w := Item{Kind: Ban, Server: box, Router: s.self, Sequence: s.lastSequence}
		if b := w.Append(nil); s.merge(now, w, b, true) {
			items = append(items, b)
		}
		return items
	}
	if s.deferredEnables[box] {
		delete(s.deferredEnables, box)
		s.recordChange(box, Item{Kind: Ban, Server: box, Removed: true})
	}
	for _, d := range s.sortedDots() {
		if e := s.dots[d]; e.Server == box && !e.Removed {
			w := e.Item
			w.Removed = true
			b := w.Append(nil)
			s.merge(now, w, b, true)
			items = append(items, b)
		}
	}
	return items
}

// sortedDots returns the dots in an order that is the same each time.
func (s *Store) sortedDots() []dot {
	all := make([]dot, 0, len(s.dots))
	for d := range s.dots {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b dot) int {
		return cmp.Or(cmp.Compare(a.router, b.router), cmp.Compare(a.sequence, b.sequence))
	})
	return all
}

func (s *Store) merge(now float64, w Item, b []byte, own bool) bool {
	if w.Kind == Ban {
		return s.mergeBan(now, w, b, own)
	}
	h := xxhash.Sum64(b)
	if s.items[h] != nil || s.forgotten[h] {
		return false
	}
	if len(s.items) >= s.settings.MaxItems {
		s.Rejected++
		return false
	}
	e := &entry{Item: w, encoded: b, receivedAt: now}
	s.items[h] = e
	s.setAdvertised(e, true)
	s.changes = append(s.changes, Change{Item: w})
	return true
}

func (s *Store) mergeBan(now float64, w Item, b []byte, own bool) bool {
	d := dot{w.Router, w.Sequence}
	e := s.dots[d]
	switch {
	case e == nil && s.forgotten[w.dotHash()], e != nil && (e.Removed || !w.Removed):
		return false
	case e == nil && len(s.dots) >= s.settings.MaxDots:
		s.Rejected++
		return false
	}
	if w.Router == s.self && w.Sequence > s.lastSequence {
		s.lastSequence = w.Sequence // told back by others after this router's state was lost
	}
	was := s.Disabled(w.Server)
	if e != nil {
		s.setAdvertised(e, false)
		s.banCounts[e.Server]--
	}
	if !w.Removed {
		s.banCounts[w.Server]++
	}
	if s.banCounts[w.Server] <= 0 {
		delete(s.banCounts, w.Server)
		if w.Removed && e != nil && !own && s.DeferEnables {
			s.deferredEnables[w.Server] = true
		}
	}
	e = &entry{Item: w, encoded: b, receivedAt: now}
	s.dots[d] = e
	s.setAdvertised(e, true)
	s.dirty = true
	if s.Disabled(w.Server) != was {
		s.recordChange(w.Server, w)
	}
	return true
}

// recordChange notes that a box is out now, or back.
func (s *Store) recordChange(box routing.ServerID, w Item) {
	s.changes = append(s.changes, Change{Item: w, Disabled: s.Disabled(box)})
}

// dotHash names a dot among what was dropped.
func (w *Item) dotHash() uint64 { return uint64(w.Router)*0x9e3779b97f4a7c15 + w.Sequence }

// Disabled tells whether a ban holds for a box.
func (s *Store) Disabled(box routing.ServerID) bool {
	return s.banCounts[box] > 0 || s.deferredEnables[box]
}

// Bans returns the boxes that are out, in order.
func (s *Store) Bans() []routing.ServerID {
	var l []routing.ServerID
	for b := range s.banCounts {
		l = append(l, b)
	}
	for b := range s.deferredEnables {
		if s.banCounts[b] == 0 {
			l = append(l, b)
		}
	}
	slices.Sort(l)
	return l
}

// Drains returns what the log of others told as no longer ready after a moment.
func (s *Store) Drains(after float64) (l []Item) {
	for _, e := range s.items {
		if e.Kind == Drain && e.receivedAt >= after {
			l = append(l, e.Item)
		}
	}
	slices.SortFunc(l, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return l
}

// Step forgets what is old and, once that is permitted, takes the enables that were held.
func (s *Store) Step(now float64) {
	if !s.DeferEnables && len(s.deferredEnables) > 0 {
		for _, box := range s.Bans() {
			if s.deferredEnables[box] {
				delete(s.deferredEnables, box)
				if !s.Disabled(box) {
					s.recordChange(box, Item{Kind: Ban, Server: box, Removed: true})
				}
			}
		}
	}
	if now-s.lastExpiryAt < 1000 {
		return
	}
	s.lastExpiryAt = now
	for d, e := range s.dots {
		if e.Removed && s.expired(now, e, s.settings.DotRetention) {
			delete(s.dots, d)
			s.markForgotten(e.dotHash())
			s.dirty = true
		}
	}
	for h, e := range s.items {
		if s.expired(now, e, s.settings.ItemRetention) {
			delete(s.items, h)
			s.markForgotten(h)
		}
	}
}

// expired tells whether a word is to be forgotten. It is no longer told to others, nor counts
// in the sums, from half of that time on: else one that forgot it first would be told it
// again, and take it for new.
func (s *Store) expired(now float64, e *entry, keep float64) bool {
	if now-e.receivedAt >= keep/2 {
		s.setAdvertised(e, false)
	}
	return now-e.receivedAt >= keep
}

const maxForgotten = 8192

func (s *Store) markForgotten(h uint64) {
	if len(s.forgottenOrder) == maxForgotten {
		delete(s.forgotten, s.forgottenOrder[0])
		s.forgottenOrder = s.forgottenOrder[1:]
	}
	s.forgotten[h] = true
	s.forgottenOrder = append(s.forgottenOrder, h)
}

// TakeChanges returns what has changed for this router since the last call.
func (s *Store) TakeChanges() []Change {
	c := s.changes
	s.changes = nil
	return c
}

// setAdvertised adds a word to the sums, or takes it out.
func (s *Store) setAdvertised(e *entry, in bool) {
	if e.advertised != in {
		e.advertised = in
		h := xxhash.Sum64(e.encoded)
		s.checksums[e.bucket()] ^= uint32(h)
	}
}

func (w *Item) bucket() int {
	x := uint64(w.Server)*31 + uint64(w.Object) + uint64(w.Group)*7 + w.Sequence
	return int(x % membership.BucketCount)
}

// Checksum returns the sum of a bucket, by which shelves are compared.
func (s *Store) Checksum(bucket int) uint32 { return s.checksums[bucket] }

// ForEach calls f with the items of a bucket until it says no.
func (s *Store) ForEach(bucket int, f func(item []byte) bool) {
	for _, d := range s.sortedDots() {
		if e := s.dots[d]; e.advertised && e.bucket() == bucket && !f(e.encoded) {
			return
		}
	}
	keys := make([]uint64, 0, len(s.items))
	for h, e := range s.items {
		if e.advertised && e.bucket() == bucket {
			keys = append(keys, h)
		}
	}
	slices.Sort(keys)
	for _, h := range keys {
		if !f(s.items[h].encoded) {
			return
		}
	}
}

// Export returns the dots, for the next life, where they have changed since the last call.
func (s *Store) Export() (b []byte, changed bool) {
	if !s.dirty {
		return nil, false
	}
	s.dirty = false
	for _, d := range s.sortedDots() {
		b = protowire.AppendTag(b, 1, protowire.BytesType)
		b = protowire.AppendBytes(b, s.dots[d].encoded)
	}
	return b, true
}

// Import takes what an earlier life exported. What cannot be read is passed over.
func (s *Store) Import(now float64, b []byte) {
	for len(b) > 0 {
		_, t, k := protowire.ConsumeTag(b)
		if k < 0 || t != protowire.BytesType {
			return
		}
		in, n := protowire.ConsumeBytes(b[k:])
		if n < 0 {
			return
		}
		b = b[k+n:]
		if w, ok := Decode(in); ok && w.Kind == Ban {
			s.merge(now, w, slices.Clone(in), true)
		}
	}
}
