package member

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// queue holds what is to be passed on, each so often and no more. It is gone through in
// turn, so that all are passed on alike.
type queue struct {
	all   []rumour
	place int
	items map[uint64]bool // that are in it
}

// rumour is a word of a router, or an item.
type rumour struct {
	word Word
	item []byte
	sent int
}

// crowd is how many rumours make a router pass them on faster.
const crowd = 48

// most is how many rumours wait; more wait for the exchange of views.
const most = 4096

func (q *queue) word(w Word) {
	for i := range q.all {
		if x := &q.all[i]; x.item == nil && x.word.ID == w.ID && (newer(&w, &x.word) || x.word.By == w.By) {
			*x = rumour{word: w}
			return
		}
	}
	if len(q.all) < most {
		q.all = append(q.all, rumour{word: w})
	}
}

func (q *queue) item(b []byte) {
	if q.items == nil {
		q.items = map[uint64]bool{}
	}
	if h := xxhash.Sum64(b); !q.items[h] && len(q.all) < most {
		q.items[h] = true
		q.all = append(q.all, rumour{item: b})
	}
}

func (q *queue) drop(i int) {
	if b := q.all[i].item; b != nil {
		delete(q.items, xxhash.Sum64(b))
	}
	last := len(q.all) - 1
	q.all[i] = q.all[last]
	q.all[last] = rumour{}
	q.all = q.all[:last]
}

// fill puts rumours into a packet, as far as there is room.
func (m *Machine) fill(p *Packet, room int) {
	limit := int(math.Ceil(m.set.Repeats * math.Log10(float64(len(m.round)+2))))
	q := &m.queue
	for n := len(q.all); n > 0 && len(q.all) > 0; n-- {
		if q.place >= len(q.all) {
			q.place = 0
		}
		x := &q.all[q.place]
		if x.item == nil {
			if r := m.by[x.word.ID]; r != nil && newer(&r.Word, &x.word) || r == nil && x.word.ID != m.self.ID {
				q.drop(q.place)
				continue
			}
			if room -= x.word.size(); room < 0 || len(p.Words) >= maxWords {
				return
			}
			p.Words = append(p.Words, x.word)
		} else {
			if room -= len(x.item) + 3; room < 0 || len(p.Items) >= maxItems {
				return
			}
			p.Items = append(p.Items, x.item)
		}
		if x.sent++; x.sent >= limit {
			q.drop(q.place)
		} else {
			q.place++
		}
	}
}

// send sends a packet to a router, or to an address at which one may be. What it is held
// to be, if that is not alive, goes first: it may refute.
func (m *Machine) send(to netip.AddrPort, r *record, p *Packet) {
	if m.yielded && p.Kind != Ack && p.Kind != Page && p.Kind != Ask {
		return // its successor speaks
	}
	m.count++
	p.From, p.Count = m.self, m.count
	p.From.State = Alive
	if r != nil && p.Kind != Page {
		if r.State != Alive {
			p.Words = append(p.Words, r.Word)
		}
		m.fill(p, roomOfWords-p.size())
	}
	m.out.Sends = append(m.out.Sends, Send{to, p})
}

// size is about how many bytes a packet's words, items and sums take.
func (p *Packet) size() int {
	n := 4 * len(p.Sums)
	for i := range p.Words {
		n += p.Words[i].size()
	}
	for _, it := range p.Items {
		n += len(it) + 3
	}
	return n
}

// Tell has an item passed on to all.
func (m *Machine) Tell(item []byte) {
	m.queue.item(item)
	m.stir()
}

// stir has what is new passed on soon.
func (m *Machine) stir() {
	if math.IsInf(m.nextGossip, 1) {
		m.nextGossip = m.now + m.set.Gossip*m.rng.Float64()
	}
	m.wake = min(m.wake, m.nextGossip)
}

func (m *Machine) gossip() {
	if len(m.queue.all) == 0 {
		return
	}
	var to []*record
	for range m.set.Fanout {
		r := m.anyone(to)
		if r == nil {
			break
		}
		to = append(to, r)
		m.send(r.Addr, r, &Packet{Kind: Tell})
	}
	if n := len(m.queue.all); n > 0 && len(m.round) > 0 {
		m.nextGossip = m.now + m.set.Gossip
		if n > crowd { // a fleet that starts at once: news is old before its turn comes
			m.nextGossip = m.now + m.set.Gossip/4
		}
	}
}

// all is the sums of the view and of the shelf together.
func (m *Machine) all() []uint32 {
	s := make([]uint32, Buckets)
	for i := range s {
		if s[i] = m.sums[i]; m.shelf != nil {
			s[i] ^= m.shelf.Sum(i)
		}
	}
	return s
}

// ask asks for what differs.
func (m *Machine) ask(to netip.AddrPort, of ID) {
	m.send(to, nil, &Packet{Kind: Ask, Nonce: m.question(of, true), Target: of, Sums: m.all()})
}

// pages sends what this router holds in the buckets in which the other differs, up to a
// bound: the rest follows with the next exchange, which is then soon.
func (m *Machine) pages(r *record, p *Packet, kind Kind) {
	sums := m.all()
	page := &Packet{Kind: kind, Nonce: p.Nonce}
	if kind == Page {
		page.Sums = sums
	}
	sent, room := 0, roomOfWords-4*len(page.Sums)
	flush := func() bool {
		if sent++; sent > pages {
			return false
		}
		m.send(r.Addr, nil, page)
		page, room = &Packet{Kind: kind, Nonce: p.Nonce}, roomOfWords
		return true
	}
	word := func(w Word) bool {
		if room < w.size() && !flush() {
			return false
		}
		room -= w.size()
		page.Words = append(page.Words, w)
		return true
	}
	differs := false
	first := m.rng.IntN(Buckets) // a bound that binds must not starve the last ones
	for k := range Buckets {
		b := (first + k) % Buckets
		if p.Sums != nil && sums[b] == p.Sums[b] {
			continue
		}
		differs = true
		for _, list := range [][]*record{m.round, m.gone} {
			for _, x := range list {
				if int(x.ID%Buckets) == b && !word(x.Word) {
					return
				}
			}
		}
		full := false
		if m.shelf != nil {
			m.shelf.Each(b, func(it []byte) bool {
				if (room < len(it)+3 || len(page.Items) == maxItems) && !flush() {
					full = true
					return false
				}
				room -= len(it) + 3
				page.Items = append(page.Items, it)
				return true
			})
		}
		if full {
			return
		}
	}
	if differs {
		m.syncEvery = min(m.set.Reach, m.set.Sync)
		m.nextSync = min(m.nextSync, m.now+m.syncEvery*(0.5+m.rng.Float64()))
	}
	if kind == Page || page.size() > 0 {
		flush()
	}
}
