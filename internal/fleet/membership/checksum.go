package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// toggleChecksum adds a present router to the checksum of its bucket, or removes it if it was
// added before. It does nothing for a router that is not present.
func (m *Machine) toggleChecksum(r *peer) {
	if r.State.Present() {
		m.checksums[r.ID%BucketCount] ^= peerChecksum(r.ID, r.Revision)
	}
}

// updateSelfChecksum replaces this router's contribution to the checksums after its revision
// has changed.
func (m *Machine) updateSelfChecksum() {
	bucket := m.self.ID % BucketCount
	m.checksums[bucket] ^= m.selfChecksum
	m.selfChecksum = peerChecksum(m.self.ID, m.self.Revision)
	m.checksums[bucket] ^= m.selfChecksum
}

// allChecksums returns for each bucket the combined checksum of its members and items.
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

// Checksums returns the checksum of each bucket. Two routers with equal views have equal
// checksums.
func (m *Machine) Checksums() [BucketCount]uint32 { return [BucketCount]uint32(m.allChecksums()) }

// peerChecksum returns the checksum of a router at a revision. All routers must compute the same
// checksum, since they compare checksums with each other.
func peerChecksum(id ID, revision uint64) uint32 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(id))
	binary.LittleEndian.PutUint64(b[8:], revision)
	return uint32(xxhash.Sum64(b[:]))
}
