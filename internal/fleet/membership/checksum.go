package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// toggleChecksum adds a present router to the checksums by which views are compared, or
// takes it out again.
func (m *Machine) toggleChecksum(r *peer) {
	if r.State.Present() {
		m.checksums[r.ID%BucketCount] ^= peerChecksum(r.ID, r.Revision)
	}
}

// updateSelfChecksum replaces this router's part of the checksums after its revision
// changed.
func (m *Machine) updateSelfChecksum() {
	bucket := m.self.ID % BucketCount
	m.checksums[bucket] ^= m.selfChecksum
	m.selfChecksum = peerChecksum(m.self.ID, m.self.Revision)
	m.checksums[bucket] ^= m.selfChecksum
}

// allChecksums returns the checksums of members and items together.
func (m *Machine) allChecksums() []uint32 {
	checksums := make([]uint32, BucketCount)
	for bucket := range checksums {
		checksums[bucket] = m.checksums[bucket]
		if m.store != nil {
			checksums[bucket] ^= m.store.Checksum(bucket)
		}
	}
	return checksums
}

// Checksums returns what two routers with equal views have in common.
func (m *Machine) Checksums() [BucketCount]uint32 { return [BucketCount]uint32(m.allChecksums()) }

// peerChecksum is the same at all routers, since checksums are compared between them.
func peerChecksum(id ID, revision uint64) uint32 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(id))
	binary.LittleEndian.PutUint64(b[8:], revision)
	return uint32(xxhash.Sum64(b[:]))
}
