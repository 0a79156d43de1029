package membership

import (
	"net/netip"
	"slices"
)

// maxSyncPackets is the maximum number of packets that answer one SyncRequest.
const maxSyncPackets = 16

// syncBackoff is the factor by which the interval between syncs (comparisons of the views of two
// routers) grows while the views are equal.
const syncBackoff = 1.5

// shortestSyncInterval returns the interval between syncs (comparisons of the views of two
// routers) while the views differ, in ms.
func (m *Machine) shortestSyncInterval() float64 {
	return min(m.settings.ReconnectInterval, m.settings.SyncInterval)
}

// runSync compares views with a random router. While views are equal, the interval until the
// next sync grows up to Settings.SyncInterval; a difference resets it to the shortest
// interval.
func (m *Machine) runSync() {
	m.nextSyncAt = m.now + m.syncInterval*(0.75+m.rng.Float64()/2)
	m.syncInterval = min(m.settings.SyncInterval, syncBackoff*m.syncInterval)
	if r := m.randomPeer(nil); r != nil {
		m.requestSync(r.Addr, r.ID)
	}
}

// requestSync asks the router at an address for the content of the buckets in which the views
// differ. The argument target is 0 if the router at the address is not known.
func (m *Machine) requestSync(to netip.AddrPort, target ID) {
	m.send(to, nil, &Packet{Kind: SyncRequest, Nonce: m.newRequest(target, true), Target: target, Checksums: m.allChecksums()})
}

// reconnect sends a SyncRequest to a failed router, or to a seed address at which no router is
// present. The request detects that a partition has healed, and finds the fleet after a start.
func (m *Machine) reconnect() {
	var candidates []netip.AddrPort
	for _, r := range m.departed {
		if r.State == Failed {
			candidates = append(candidates, r.Addr)
		}
	}
	for _, seed := range m.seeds {
		known := slices.ContainsFunc(m.present, func(r *peer) bool { return r.Addr == seed })
		if seed != m.self.Addr && !known {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) > 0 {
		m.requestSync(candidates[m.rng.IntN(len(candidates))], 0)
	}
}

// sendDifferences answers a packet that carries checksums. It sends the members and items of the
// buckets whose checksums differ from those of this router, in at most maxSyncPackets packets. The
// next sync, which comes soon while views differ, transfers the rest.
func (m *Machine) sendDifferences(to *peer, request *Packet, kind Kind) {
	checksums := m.allChecksums()
	packets := newSyncWriter(m, to.Addr, kind, request.Nonce)
	if kind == SyncResponse {
		packets.setChecksums(checksums)
	}
	differs := false
	first := m.rng.IntN(BucketCount) // random, so that maxSyncPackets does not always cut off the same buckets
	for offset := range BucketCount {
		bucket := (first + offset) % BucketCount
		if request.Checksums != nil && checksums[bucket] == request.Checksums[bucket] {
			continue
		}
		differs = true
		if !m.writeBucket(packets, bucket) {
			return
		}
	}
	if differs {
		m.syncInterval = m.shortestSyncInterval()
		m.nextSyncAt = min(m.nextSyncAt, m.now+m.syncInterval*(0.5+m.rng.Float64()))
	}
	if kind == SyncResponse || packets.current.encodedSize() > 0 {
		packets.flush()
	}
}

// writeBucket writes the members and items of a bucket. It returns false once maxSyncPackets
// packets have been sent.
func (m *Machine) writeBucket(packets *syncWriter, bucket int) bool {
	for _, list := range [][]*peer{m.present, m.departed} {
		for _, r := range list {
			if int(r.ID%BucketCount) == bucket && !packets.addUpdate(r.Update) {
				return false
			}
		}
	}
	if m.store == nil {
		return true
	}
	complete := true
	m.store.ForEach(bucket, func(item []byte) bool {
		complete = packets.addItem(item)
		return complete
	})
	return complete
}

// syncWriter distributes updates and items over the packets of one answer.
type syncWriter struct {
	machine *Machine
	to      netip.AddrPort
	kind    Kind
	nonce   uint64
	current *Packet
	budget  int // bytes left in current
	sent    int // calls of flush, including a call that maxSyncPackets refused
}

func newSyncWriter(m *Machine, to netip.AddrPort, kind Kind, nonce uint64) *syncWriter {
	w := &syncWriter{machine: m, to: to, kind: kind, nonce: nonce}
	w.begin()
	return w
}

func (w *syncWriter) begin() {
	w.current = &Packet{Kind: w.kind, Nonce: w.nonce}
	w.budget = packetBudget
}

// setChecksums adds the checksums to the current packet.
func (w *syncWriter) setChecksums(checksums []uint32) {
	w.current.Checksums = checksums
	w.budget -= checksumLen * len(checksums)
}

// flush sends the current packet and starts a new one. It returns false without sending if
// maxSyncPackets packets have been sent.
func (w *syncWriter) flush() bool {
	w.sent++
	if w.sent > maxSyncPackets {
		return false
	}
	w.machine.send(w.to, nil, w.current)
	w.begin()
	return true
}

func (w *syncWriter) addUpdate(update Update) bool {
	if w.budget < update.encodedSize() && !w.flush() {
		return false
	}
	w.budget -= update.encodedSize()
	w.current.Updates = append(w.current.Updates, update)
	return true
}

func (w *syncWriter) addItem(item []byte) bool {
	full := w.budget < encodedItemSize(item) || len(w.current.Items) == maxItems
	if full && !w.flush() {
		return false
	}
	w.budget -= encodedItemSize(item)
	w.current.Items = append(w.current.Items, item)
	return true
}
