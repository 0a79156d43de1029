package gossip

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// fieldBan is the protobuf field number of each ban in an export.
const fieldBan = 1

// Export returns the encoded bans to store for the router's next process. The result changed tells
// whether the bans have changed since the last call. If they have not, the result stored is nil.
func (s *Store) Export() (stored []byte, changed bool) {
	if !s.dirty {
		return nil, false
	}
	s.dirty = false
	for _, d := range s.sortedDots() {
		stored = protowire.AppendTag(stored, fieldBan, protowire.BytesType)
		stored = protowire.AppendBytes(stored, s.dots[d].encoded)
	}
	return stored, true
}

// Import adds the bans that an earlier process exported. It skips items that cannot be decoded or
// are not bans, and stops at the first field that is malformed or not length-delimited.
func (s *Store) Import(now float64, stored []byte) {
	for len(stored) > 0 {
		_, fieldType, n := protowire.ConsumeTag(stored)
		if n < 0 || fieldType != protowire.BytesType {
			return
		}
		stored = stored[n:]
		encoded, n := protowire.ConsumeBytes(stored)
		if n < 0 {
			return
		}
		stored = stored[n:]
		if item, ok := Decode(encoded); ok && item.Kind == Ban {
			s.merge(now, item, slices.Clone(encoded), true)
		}
	}
}
