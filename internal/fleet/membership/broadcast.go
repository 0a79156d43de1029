package membership

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// broadcastQueue holds what is to be passed on, each so often and no more. It is gone through in
// turn, so that all are passed on alike.
type broadcastQueue struct {
	entries     []broadcast
	next        int
	queuedItems map[uint64]bool // that are in it
}

// broadcast is a word of a router, or an item.
type broadcast struct {
	update    Update
	item      []byte
	transmits int
}

// fastGossipThreshold is how many rumours make a router pass them on faster.
const fastGossipThreshold = 48

// maxBroadcasts is how many rumours wait; more wait for the exchange of views.
const maxBroadcasts = 4096

func (q *broadcastQueue) addUpdate(w Update) {
	for i := range q.entries {
		if x := &q.entries[i]; x.item == nil && x.update.ID == w.ID && (newer(&w, &x.update) || x.update.ReportedBy == w.ReportedBy) {
			*x = broadcast{update: w}
			return
		}
	}
	if len(q.entries) < maxBroadcasts {
		q.entries = append(q.entries, broadcast{update: w})
	}
}

func (q *broadcastQueue) addItem(b []byte) {
	if q.queuedItems == nil {
		q.queuedItems = map[uint64]bool{}
	}
	if h := xxhash.Sum64(b); !q.queuedItems[h] && len(q.entries) < maxBroadcasts {
		q.queuedItems[h] = true
		q.entries = append(q.entries, broadcast{item: b})
	}
}

func (q *broadcastQueue) remove(i int) {
	if b := q.entries[i].item; b != nil {
		delete(q.queuedItems, xxhash.Sum64(b))
	}
	last := len(q.entries) - 1
	q.entries[i] = q.entries[last]
	q.entries[last] = broadcast{}
	q.entries = q.entries[:last]
}

// attachBroadcasts puts rumours into a packet, as far as there is room.
func (m *Machine) attachBroadcasts(p *Packet, room int) {
	limit := int(math.Ceil(m.settings.RetransmitMult * math.Log10(float64(len(m.present)+2))))
	q := &m.broadcasts
	for n := len(q.entries); n > 0 && len(q.entries) > 0; n-- {
		if q.next >= len(q.entries) {
			q.next = 0
		}
		x := &q.entries[q.next]
		if x.item == nil {
			if r := m.peers[x.update.ID]; r != nil && newer(&r.Update, &x.update) || r == nil && x.update.ID != m.self.ID {
				q.remove(q.next)
				continue
			}
			if room -= x.update.encodedSize(); room < 0 || len(p.Updates) >= maxUpdates {
				return
			}
			p.Updates = append(p.Updates, x.update)
		} else {
			if room -= len(x.item) + 3; room < 0 || len(p.Items) >= maxItems {
				return
			}
			p.Items = append(p.Items, x.item)
		}
		if x.transmits++; x.transmits >= limit {
			q.remove(q.next)
		} else {
			q.next++
		}
	}
}

// send sends a packet to a router, or to an address at which one may be. What it is held
// to be, if that is not alive, goes first: it may refute.
func (m *Machine) send(to netip.AddrPort, r *peer, p *Packet) {
	if m.superseded && p.Kind != Ack && p.Kind != SyncResponse && p.Kind != SyncRequest {
		return // its successor speaks
	}
	m.sequence++
	p.From, p.Sequence = m.self, m.sequence
	p.From.State = Alive
	if r != nil && p.Kind != SyncResponse {
		if r.State != Alive {
			p.Updates = append(p.Updates, r.Update)
		}
		m.attachBroadcasts(p, packetBudget-p.encodedSize())
	}
	m.output.Packets = append(m.output.Packets, OutgoingPacket{to, p})
}

// encodedSize is about how many bytes a packet's words, items and sums take.
func (p *Packet) encodedSize() int {
	n := 4 * len(p.Checksums)
	for i := range p.Updates {
		n += p.Updates[i].encodedSize()
	}
	for _, it := range p.Items {
		n += len(it) + 3
	}
	return n
}

// Broadcast has an item passed on to all.
func (m *Machine) Broadcast(item []byte) {
	m.broadcasts.addItem(item)
	m.scheduleGossip()
}

// scheduleGossip has what is new passed on soon.
func (m *Machine) scheduleGossip() {
	if math.IsInf(m.nextGossipAt, 1) {
		m.nextGossipAt = m.now + m.settings.GossipInterval*m.rng.Float64()
	}
	m.wakeAt = min(m.wakeAt, m.nextGossipAt)
}

func (m *Machine) sendGossip() {
	if len(m.broadcasts.entries) == 0 {
		return
	}
	var to []*peer
	for range m.settings.GossipFanout {
		r := m.randomPeer(to)
		if r == nil {
			break
		}
		to = append(to, r)
		m.send(r.Addr, r, &Packet{Kind: Gossip})
	}
	if n := len(m.broadcasts.entries); n > 0 && len(m.present) > 0 {
		m.nextGossipAt = m.now + m.settings.GossipInterval
		if n > fastGossipThreshold { // a fleet that starts at once: news is old before its turn comes
			m.nextGossipAt = m.now + m.settings.GossipInterval/4
		}
	}
}

// allChecksums is the sums of the view and of the shelf together.
func (m *Machine) allChecksums() []uint32 {
	s := make([]uint32, BucketCount)
	for i := range s {
		if s[i] = m.checksums[i]; m.store != nil {
			s[i] ^= m.store.Checksum(i)
		}
	}
	return s
}

// requestSync asks for what differs.
func (m *Machine) requestSync(to netip.AddrPort, of ID) {
	m.send(to, nil, &Packet{Kind: SyncRequest, Nonce: m.newRequest(of, true), Target: of, Checksums: m.allChecksums()})
}

// sendDifferences sends what this router holds in the buckets in which the other differs, up to a
// bound: the rest follows with the next exchange, which is then soon.
func (m *Machine) sendDifferences(r *peer, p *Packet, kind Kind) {
	sums := m.allChecksums()
	page := &Packet{Kind: kind, Nonce: p.Nonce}
	if kind == SyncResponse {
		page.Checksums = sums
	}
	sent, room := 0, packetBudget-4*len(page.Checksums)
	flush := func() bool {
		if sent++; sent > maxSyncPackets {
			return false
		}
		m.send(r.Addr, nil, page)
		page, room = &Packet{Kind: kind, Nonce: p.Nonce}, packetBudget
		return true
	}
	word := func(w Update) bool {
		if room < w.encodedSize() && !flush() {
			return false
		}
		room -= w.encodedSize()
		page.Updates = append(page.Updates, w)
		return true
	}
	differs := false
	first := m.rng.IntN(BucketCount) // a bound that binds must not starve the last ones
	for k := range BucketCount {
		b := (first + k) % BucketCount
		if p.Checksums != nil && sums[b] == p.Checksums[b] {
			continue
		}
		differs = true
		for _, list := range [][]*peer{m.present, m.departed} {
			for _, x := range list {
				if int(x.ID%BucketCount) == b && !word(x.Update) {
					return
				}
			}
		}
		full := false
		if m.store != nil {
			m.store.ForEach(b, func(it []byte) bool {
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
		m.syncInterval = min(m.settings.ReconnectInterval, m.settings.SyncInterval)
		m.nextSyncAt = min(m.nextSyncAt, m.now+m.syncInterval*(0.5+m.rng.Float64()))
	}
	if kind == SyncResponse || page.encodedSize() > 0 {
		flush()
	}
}
