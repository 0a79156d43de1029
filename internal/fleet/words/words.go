// Package words holds what routers tell each other of the list of boxes: bans that staff
// set at a door, boxes that drain or are gone, purges. It does no I/O. Merging is the
// same in every order and however often a word comes.
//
// Word of others takes out and never adds. Bans are an add-wins set: each ban is a dot,
// the seat of the router at whose door it was set and a number; an enable removes the
// dots that its router knew. Of a ban and an enable on two sides of a cut the ban holds,
// since the enable did not know its dot.
package words

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/decide"
	"garnetline/internal/fleet/form"
	"garnetline/internal/fleet/member"
)

// Kind tells what a word is of.
type Kind uint8

// The kinds of words.
const (
	Ban   Kind = 1 + iota
	Drain      // or gone: the log told it as no longer ready
	Purge
)

// Word is one item of the shelf.
type Word struct {
	Kind    Kind
	Box     decide.ServerID
	Seat    member.ID // of the dot
	N       uint64    // of the dot
	Removed bool      // the dot is no more
	Started float64   // Drain: the start of the box that drains, Unix ms; 0: long ago
	Object  decide.ObjectID
	Group   int
	At      float64 // Purge: its moment, Unix ms
}

// Settings bound the shelf. Times are milliseconds.
type Settings struct {
	KeepDots  float64 // a removed dot is forgotten after it
	KeepWords float64 // a drain or purge is
	MaxDots   int
	MaxWords  int
}

// Default is what the operators' file begins with.
func Default() Settings {
	return Settings{KeepDots: 86_400_000, KeepWords: 600_000, MaxDots: 4096, MaxWords: 4096}
}

// Change is what a word makes of a box or an object for this router.
type Change struct {
	Word
	Out bool // Ban: the box is out now, or back
}

// Shelf holds the words of one router. It is a member.Shelf.
type Shelf struct {
	set  Settings
	self member.ID
	n    uint64
	dots map[dot]*entry
	rest map[uint64]*entry // drains and purges, by the sum of their content
	out  map[decide.ServerID]int
	held map[decide.ServerID]bool // enabled by a neighbour's word while that is not taken
	sums [member.Buckets]uint32
	past map[uint64]bool // sums of words that were dropped: they are not taken again
	olds []uint64
	last float64

	Cautious bool // a neighbour's word does not enable
	Refused  int64
	changes  []Change
	dirty    bool
}

type dot struct {
	seat member.ID
	n    uint64
}

type entry struct {
	Word
	b      []byte
	taken  float64
	summed bool
}

// New returns an empty shelf of the router with that seat. Its dots are numbered from
// above first, which grows with each life of the seat.
func New(set Settings, self member.ID, first uint64) *Shelf {
	return &Shelf{set: set, self: self, n: first, dots: map[dot]*entry{}, rest: map[uint64]*entry{},
		out: map[decide.ServerID]int{}, held: map[decide.ServerID]bool{}, past: map[uint64]bool{}}
}

// Append appends a word in protobuf's form.
func (w *Word) Append(b []byte) []byte {
	num := func(f protowire.Number, v uint64) { b = form.Number(b, f, v) }
	num(1, uint64(w.Kind))
	num(2, uint64(w.Box))
	num(3, uint64(w.Seat))
	num(4, w.N)
	if w.Removed {
		num(5, 1)
	}
	num(6, uint64(w.Started))
	num(7, uint64(w.Object))
	num(8, uint64(w.Group))
	num(9, uint64(w.At))
	return b
}

// latest is the highest time that a word may bear, Unix ms; beyond it there is no date.
const latest = 1 << 50

// Read reads a word. Fields of a later version are passed over.
func Read(b []byte) (w Word, ok bool) {
	if len(b) > member.MaxItem {
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
			w.Box = decide.ServerID(v)
		case 3:
			w.Seat = member.ID(v)
		case 4:
			w.N = v
		case 5:
			w.Removed = v != 0
		case 6:
			w.Started = float64(min(v, latest))
		case 7:
			w.Object = decide.ObjectID(v)
		case 8:
			w.Group = int(min(v, 1<<16))
		case 9:
			w.At = float64(min(v, latest))
		}
	}
	switch w.Kind {
	case Ban:
		ok = w.Seat != 0 && w.N != 0 && w.Box>>32 == 0
	case Drain:
		ok = w.Box>>32 == 0
	case Purge:
		ok = w.At > 0 && w.At < latest && w.Group < 1<<16
	}
	return w, ok
}

// Take takes an item that was heard. It tells whether it is new, and so passed on.
func (s *Shelf) Take(now float64, _ member.ID, item []byte) bool {
	w, ok := Read(item)
	if !ok {
		s.Refused++
		return false
	}
	return s.merge(now, w, item, false)
}

// Heard keeps what this router's own log told, which changes nothing for it. It returns
// the item to pass on, nil where it is known.
func (s *Shelf) Heard(now float64, w Word) []byte {
	b := w.Append(nil)
	n := len(s.changes)
	if !s.merge(now, w, b, true) {
		return nil
	}
	s.changes = s.changes[:n]
	return b
}

// Switch takes a box out, or back, by order of staff at this router's door. It returns
// the items to pass on.
func (s *Shelf) Switch(now float64, box decide.ServerID, out bool) (items [][]byte) {
	if out {
		for _, e := range s.dots {
			if e.Box == box && !e.Removed && e.Seat == s.self {
				return nil
			}
		}
		s.n++
		w := Word{Kind: Ban, Box: box, Seat: s.self, N: s.n}
		if b := w.Append(nil); s.merge(now, w, b, true) {
			items = append(items, b)
		}
		return items
	}
	if s.held[box] {
		delete(s.held, box)
		s.turn(box, Word{Kind: Ban, Box: box, Removed: true})
	}
	for _, d := range s.sorted() {
		if e := s.dots[d]; e.Box == box && !e.Removed {
			w := e.Word
			w.Removed = true
			b := w.Append(nil)
			s.merge(now, w, b, true)
			items = append(items, b)
		}
	}
	return items
}

// sorted returns the dots in an order that is the same each time.
func (s *Shelf) sorted() []dot {
	all := make([]dot, 0, len(s.dots))
	for d := range s.dots {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b dot) int { return cmp.Or(cmp.Compare(a.seat, b.seat), cmp.Compare(a.n, b.n)) })
	return all
}

func (s *Shelf) merge(now float64, w Word, b []byte, own bool) bool {
	if w.Kind == Ban {
		return s.ban(now, w, b, own)
	}
	h := xxhash.Sum64(b)
	if s.rest[h] != nil || s.past[h] {
		return false
	}
	if len(s.rest) >= s.set.MaxWords {
		s.Refused++
		return false
	}
	e := &entry{Word: w, b: b, taken: now}
	s.rest[h] = e
	s.sum(e, true)
	s.changes = append(s.changes, Change{Word: w})
	return true
}

func (s *Shelf) ban(now float64, w Word, b []byte, own bool) bool {
	d := dot{w.Seat, w.N}
	e := s.dots[d]
	switch {
	case e == nil && s.past[w.key()], e != nil && (e.Removed || !w.Removed):
		return false
	case e == nil && len(s.dots) >= s.set.MaxDots:
		s.Refused++
		return false
	}
	if w.Seat == s.self && w.N > s.n {
		s.n = w.N // told back by others after this router's state was lost
	}
	was := s.Out(w.Box)
	if e != nil {
		s.sum(e, false)
		s.out[e.Box]--
	}
	if !w.Removed {
		s.out[w.Box]++
	}
	if s.out[w.Box] <= 0 {
		delete(s.out, w.Box)
		if w.Removed && e != nil && !own && s.Cautious {
			s.held[w.Box] = true
		}
	}
	e = &entry{Word: w, b: b, taken: now}
	s.dots[d] = e
	s.sum(e, true)
	s.dirty = true
	if s.Out(w.Box) != was {
		s.turn(w.Box, w)
	}
	return true
}

// turn notes that a box is out now, or back.
func (s *Shelf) turn(box decide.ServerID, w Word) {
	s.changes = append(s.changes, Change{Word: w, Out: s.Out(box)})
}

// key names a dot among what was dropped.
func (w *Word) key() uint64 { return uint64(w.Seat)*0x9e3779b97f4a7c15 + w.N }

// Out tells whether a ban holds for a box.
func (s *Shelf) Out(box decide.ServerID) bool { return s.out[box] > 0 || s.held[box] }

// Bans returns the boxes that are out, in order.
func (s *Shelf) Bans() []decide.ServerID {
	var l []decide.ServerID
	for b := range s.out {
		l = append(l, b)
	}
	for b := range s.held {
		if s.out[b] == 0 {
			l = append(l, b)
		}
	}
	slices.Sort(l)
	return l
}

// Drains returns what the log of others told as no longer ready after a moment.
func (s *Shelf) Drains(after float64) (l []Word) {
	for _, e := range s.rest {
		if e.Kind == Drain && e.taken >= after {
			l = append(l, e.Word)
		}
	}
	slices.SortFunc(l, func(a, b Word) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), cmp.Compare(a.Started, b.Started))
	})
	return l
}

// Step forgets what is old and, once that is permitted, takes the enables that were held.
func (s *Shelf) Step(now float64) {
	if !s.Cautious && len(s.held) > 0 {
		for _, box := range s.Bans() {
			if s.held[box] {
				delete(s.held, box)
				if !s.Out(box) {
					s.turn(box, Word{Kind: Ban, Box: box, Removed: true})
				}
			}
		}
	}
	if now-s.last < 1000 {
		return
	}
	s.last = now
	for d, e := range s.dots {
		if e.Removed && s.old(now, e, s.set.KeepDots) {
			delete(s.dots, d)
			s.drop(e.key())
			s.dirty = true
		}
	}
	for h, e := range s.rest {
		if s.old(now, e, s.set.KeepWords) {
			delete(s.rest, h)
			s.drop(h)
		}
	}
}

// old tells whether a word is to be forgotten. It is no longer told to others, nor counts
// in the sums, from half of that time on: else one that forgot it first would be told it
// again, and take it for new.
func (s *Shelf) old(now float64, e *entry, keep float64) bool {
	if now-e.taken >= keep/2 {
		s.sum(e, false)
	}
	return now-e.taken >= keep
}

const maxPast = 8192

func (s *Shelf) drop(h uint64) {
	if len(s.olds) == maxPast {
		delete(s.past, s.olds[0])
		s.olds = s.olds[1:]
	}
	s.past[h] = true
	s.olds = append(s.olds, h)
}

// Changes returns what has changed for this router since the last call.
func (s *Shelf) Changes() []Change {
	c := s.changes
	s.changes = nil
	return c
}

// sum adds a word to the sums, or takes it out.
func (s *Shelf) sum(e *entry, in bool) {
	if e.summed != in {
		e.summed = in
		h := xxhash.Sum64(e.b)
		s.sums[e.bucket()] ^= uint32(h)
	}
}

func (w *Word) bucket() int {
	x := uint64(w.Box)*31 + uint64(w.Object) + uint64(w.Group)*7 + w.N
	return int(x % member.Buckets)
}

// Sum returns the sum of a bucket, by which shelves are compared.
func (s *Shelf) Sum(bucket int) uint32 { return s.sums[bucket] }

// Each calls f with the items of a bucket until it says no.
func (s *Shelf) Each(bucket int, f func(item []byte) bool) {
	for _, d := range s.sorted() {
		if e := s.dots[d]; e.summed && e.bucket() == bucket && !f(e.b) {
			return
		}
	}
	keys := make([]uint64, 0, len(s.rest))
	for h, e := range s.rest {
		if e.summed && e.bucket() == bucket {
			keys = append(keys, h)
		}
	}
	slices.Sort(keys)
	for _, h := range keys {
		if !f(s.rest[h].b) {
			return
		}
	}
}

// Export returns the dots, for the next life, where they have changed since the last call.
func (s *Shelf) Export() (b []byte, changed bool) {
	if !s.dirty {
		return nil, false
	}
	s.dirty = false
	for _, d := range s.sorted() {
		b = protowire.AppendTag(b, 1, protowire.BytesType)
		b = protowire.AppendBytes(b, s.dots[d].b)
	}
	return b, true
}

// Import takes what an earlier life exported. What cannot be read is passed over.
func (s *Shelf) Import(now float64, b []byte) {
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
		if w, ok := Read(in); ok && w.Kind == Ban {
			s.merge(now, w, slices.Clone(in), true)
		}
	}
}
