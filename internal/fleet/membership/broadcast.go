package membership

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	// fastGossipThreshold is a number of queued broadcasts. While more broadcasts are queued, a
	// router gossips fastGossipFactor times as often.
	fastGossipThreshold = 48
	fastGossipFactor    = 4

	// maxBroadcasts is the maximum length of the queue. Updates and items that do not fit into
	// the queue reach the other routers through the comparison of views (see runSync).
	maxBroadcasts = 4096
)

// broadcast is an update or an item that is sent to other routers a limited number of times.
type broadcast struct {
	update    Update
	item      []byte // nil if the broadcast is an update
	transmits int    // number of packets that have carried the broadcast
}

// broadcastQueue holds the broadcasts that wait to be sent. The broadcasts are sent in round-robin
// order, so that each of them is sent equally often.
type broadcastQueue struct {
	entries     []broadcast
	next        int             // index of the entry that is sent next
	queuedItems map[uint64]bool // hashes of the items in entries
}

// addUpdate queues an update. The update replaces a queued update about the same router if the
// queued update is older or has the same reporter.
func (q *broadcastQueue) addUpdate(update Update) {
	for i := range q.entries {
		entry := &q.entries[i]
		if entry.item != nil || entry.update.ID != update.ID {
			continue
		}
		if newer(&update, &entry.update) || entry.update.ReportedBy == update.ReportedBy {
			*entry = broadcast{update: update}
			return
		}
	}
	if len(q.entries) < maxBroadcasts {
		q.entries = append(q.entries, broadcast{update: update})
	}
}

// addItem queues an item, unless it is already in the queue.
func (q *broadcastQueue) addItem(item []byte) {
	if q.queuedItems == nil {
		q.queuedItems = map[uint64]bool{}
	}
	sum := xxhash.Sum64(item)
	if !q.queuedItems[sum] && len(q.entries) < maxBroadcasts {
		q.queuedItems[sum] = true
		q.entries = append(q.entries, broadcast{item: item})
	}
}

// remove removes the i-th entry and moves the last entry into its place.
func (q *broadcastQueue) remove(i int) {
	if item := q.entries[i].item; item != nil {
		delete(q.queuedItems, xxhash.Sum64(item))
	}
	last := len(q.entries) - 1
	q.entries[i] = q.entries[last]
	q.entries[last] = broadcast{}
	q.entries = q.entries[:last]
}

// Broadcast queues an item to be sent to all routers.
func (m *Machine) Broadcast(item []byte) {
	m.broadcasts.addItem(item)
	m.scheduleGossip()
}

// scheduleGossip schedules the next gossip within one gossip interval, unless it is already
// scheduled.
func (m *Machine) scheduleGossip() {
	if math.IsInf(m.nextGossipAt, 1) {
		m.nextGossipAt = m.now + m.settings.GossipInterval*m.rng.Float64()
	}
	m.wakeAt = min(m.wakeAt, m.nextGossipAt)
}

// sendGossip sends queued broadcasts to a few random routers.
func (m *Machine) sendGossip() {
	if len(m.broadcasts.entries) == 0 {
		return
	}
	var receivers []*peer
	for range m.settings.GossipFanout {
		receiver := m.randomPeer(receivers)
		if receiver == nil {
			break
		}
		receivers = append(receivers, receiver)
		m.send(receiver.Addr, receiver, &Packet{Kind: Gossip})
	}
	queued := len(m.broadcasts.entries)
	if queued == 0 || len(m.present) == 0 {
		return
	}
	m.nextGossipAt = m.now + m.settings.GossipInterval
	if queued > fastGossipThreshold {
		// The queue grows when a whole fleet starts at the same time. Without faster gossip, the
		// updates would be outdated before they are sent.
		m.nextGossipAt = m.now + m.settings.GossipInterval/fastGossipFactor
	}
}

// send sends a packet to addr. The argument receiver is nil if the router at that address is not
// known, or if the packet must not carry broadcasts. If this router regards the receiver as
// suspect, failed or left, the packet carries the known update about the receiver before the
// broadcasts, so that the receiver can refute that update.
func (m *Machine) send(addr netip.AddrPort, receiver *peer, packet *Packet) {
	if m.superseded && packet.Kind != Ack && packet.Kind != SyncResponse && packet.Kind != SyncRequest {
		return // the later process with this router's ID sends all other packets
	}
	m.sequence++
	packet.Sequence = m.sequence
	packet.From = m.self
	packet.From.State = Alive
	if receiver != nil && packet.Kind != SyncResponse {
		if receiver.State != Alive {
			packet.Updates = append(packet.Updates, receiver.Update)
		}
		m.attachBroadcasts(packet, packetBudget-packet.encodedSize())
	}
	m.output.Packets = append(m.output.Packets, OutgoingPacket{addr, packet})
}

// attachBroadcasts adds queued broadcasts to a packet, up to a total size of budget, in bytes.
func (m *Machine) attachBroadcasts(packet *Packet, budget int) {
	limit := int(math.Ceil(m.settings.RetransmitMult * math.Log10(float64(len(m.present)+2))))
	queue := &m.broadcasts
	for remaining := len(queue.entries); remaining > 0 && len(queue.entries) > 0; remaining-- {
		if queue.next >= len(queue.entries) {
			queue.next = 0
		}
		entry := &queue.entries[queue.next]
		if entry.item == nil && m.outdated(&entry.update) {
			queue.remove(queue.next)
			continue
		}
		budget -= entry.encodedSize()
		if budget < 0 || !entry.addTo(packet) {
			return
		}
		entry.transmits++
		if entry.transmits >= limit {
			queue.remove(queue.next)
		} else {
			queue.next++
		}
	}
}

// outdated returns true if a queued update is older than the known update about the same router,
// or if it is about a router that has been forgotten.
func (m *Machine) outdated(update *Update) bool {
	known := m.peers[update.ID]
	if known == nil {
		return update.ID != m.self.ID
	}
	return newer(&known.Update, update)
}

func (b *broadcast) encodedSize() int {
	if b.item == nil {
		return b.update.encodedSize()
	}
	return encodedItemSize(b.item)
}

// addTo adds the broadcast to a packet. It returns false if the packet already has the
// maximum number of updates or items.
func (b *broadcast) addTo(p *Packet) bool {
	if b.item == nil {
		if len(p.Updates) >= maxUpdates {
			return false
		}
		p.Updates = append(p.Updates, b.update)
		return true
	}
	if len(p.Items) >= maxItems {
		return false
	}
	p.Items = append(p.Items, b.item)
	return true
}
