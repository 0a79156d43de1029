package membership

import (
	"net/netip"
	"slices"
)

// maxSyncPackets is how many packets answer one SyncRequest at the most.
const maxSyncPackets = 16

// syncBackoff is the factor by which exchanges of equal views become rarer.
const syncBackoff = 1.5

// shortestSyncInterval is the interval of exchanges while views differ.
func (m *Machine) shortestSyncInterval() float64 {
	return min(m.settings.ReconnectInterval, m.settings.SyncInterval)
}

// runSync asks a random router for what differs: soon again while views differ, and ever
// more rarely where they do not.
func (m *Machine) runSync() {
	m.nextSyncAt = m.now + m.syncInterval*(0.75+m.rng.Float64()/2)
	m.syncInterval = min(m.settings.SyncInterval, syncBackoff*m.syncInterval)
	if r := m.randomPeer(nil); r != nil {
		m.requestSync(r.Addr, r.ID)
	}
}

// requestSync asks for what differs. target is 0 where it is not known who answers.
func (m *Machine) requestSync(to netip.AddrPort, target ID) {
	m.send(to, nil, &Packet{Kind: SyncRequest, Nonce: m.newRequest(target, true), Target: target, Checksums: m.allChecksums()})
}

// reconnect asks a failed router, or an address of the settings at which nobody is known: a
// partition that heals is found in this way, and so is the fleet at the start.
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

// sendDifferences sends what this router holds in the buckets in which the checksums of a
// request differ, up to a bound: the rest follows with the next exchange, which is soon.
func (m *Machine) sendDifferences(to *peer, request *Packet, kind Kind) {
	checksums := m.allChecksums()
	packets := newSyncWriter(m, to.Addr, kind, request.Nonce)
	if kind == SyncResponse {
		packets.setChecksums(checksums)
	}
	differs := false
	first := m.rng.IntN(BucketCount) // the bound is not to starve the last buckets
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

// writeBucket writes the members and items of a bucket. It returns false at the bound.
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

// syncWriter packs updates and items into the packets of one answer.
type syncWriter struct {
	machine *Machine
	to      netip.AddrPort
	kind    Kind
	nonce   uint64
	current *Packet
	budget  int // bytes left in current
	sent    int // packets, with those beyond the bound
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

// setChecksums puts the checksums into the first packet.
func (w *syncWriter) setChecksums(checksums []uint32) {
	w.current.Checksums = checksums
	w.budget -= checksumLen * len(checksums)
}

// flush sends the current packet. It returns false where the bound is reached.
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
