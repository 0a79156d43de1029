// Package gossip holds what routers tell each other about servers: bans that operators set,
// servers that drain or are gone, purges. It does no I/O: the state machine of membership
// spreads the items. Merging gives the same result in every order and however often an item
// comes.
//
// Items of other routers disable servers and undo that again; only the change log makes a
// server usable. Bans are an add-wins set: each ban is a dot, the ID of the router at whose
// admin API it was set and a number; to enable a server removes the dots that the router
// knows. Of a ban and an enable on two sides of a partition the ban holds, since the enable
// did not know its dot.
//
// A Store owns the items of one router. It is not safe for concurrent use: the goroutine
// that owns the router's fleet.Node makes all calls.
package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// Settings bound the store. Times are milliseconds.
type Settings struct {
	DotRetention  float64 // a removed dot is forgotten after it
	ItemRetention float64 // a drain or purge is forgotten after it
	MaxDots       int
	MaxItems      int // drains and purges
}

// DefaultSettings returns the settings that the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{DotRetention: 86_400_000, ItemRetention: 600_000, MaxDots: 4096, MaxItems: 4096}
}

// Change is what an item changes for this router.
type Change struct {
	Item
	Disabled bool // Ban: the server is disabled now; else it is enabled again
}

// Store holds the items of one router. It is a membership.ItemStore.
type Store struct {
	settings        Settings
	self            membership.ID
	lastSequence    uint64 // of this router's own bans
	dots            map[dot]*entry
	items           map[uint64]*entry // drains and purges, by the hash of their bytes
	banCounts       map[routing.ServerID]int
	deferredEnables map[routing.ServerID]bool // enabled by another router while that is deferred
	checksums       [membership.BucketCount]uint32
	forgotten       map[uint64]bool // hashes of forgotten items, which are not accepted again
	forgottenOrder  []uint64        // of forgotten, the oldest first
	lastExpiryAt    float64

	// DeferEnables holds back that other routers enable a server.
	DeferEnables bool
	// Rejected counts items that were malformed or beyond a limit.
	Rejected int64
	changes  []Change
	dirty    bool // the dots have changed since the last Export
}

// dot identifies a ban.
type dot struct {
	router   membership.ID
	sequence uint64
}

// entry is an item with its bytes.
type entry struct {
	Item
	encoded    []byte
	receivedAt float64 // ms
	advertised bool    // it is sent to others and counts in the checksums
}

// New returns an empty store of a router. Its dots are numbered from above
// firstSequence, which grows with each incarnation of the router.
func New(settings Settings, self membership.ID, firstSequence uint64) *Store {
	return &Store{
		settings:        settings,
		self:            self,
		lastSequence:    firstSequence,
		dots:            map[dot]*entry{},
		items:           map[uint64]*entry{},
		banCounts:       map[routing.ServerID]int{},
		deferredEnables: map[routing.ServerID]bool{},
		forgotten:       map[uint64]bool{},
	}
}

// Receive merges an encoded item of another router. It reports whether the item is new, and
// so to be broadcast.
func (s *Store) Receive(now float64, _ membership.ID, encoded []byte) bool {
	item, ok := Decode(encoded)
	if !ok {
		s.Rejected++
		return false
	}
	return s.merge(now, item, encoded, false)
}

// AddLocal adds what this router's own change log showed, which changes nothing for this
// router. It returns the encoded item to broadcast, or nil where it is known.
func (s *Store) AddLocal(now float64, item Item) []byte {
	encoded := item.Append(nil)
	known := len(s.changes)
	if !s.merge(now, item, encoded, true) {
		return nil
	}
	s.changes = s.changes[:known]
	return encoded
}

// SetDisabled disables a server, or enables it again, by order of an operator at this
// router's admin API. It returns the encoded items to broadcast.
func (s *Store) SetDisabled(now float64, server routing.ServerID, disabled bool) [][]byte {
	if disabled {
		return s.disable(now, server)
	}
	return s.enable(now, server)
}

func (s *Store) disable(now float64, server routing.ServerID) (encoded [][]byte) {
	for _, e := range s.dots {
		if e.Server == server && !e.Removed && e.Router == s.self {
			return nil
		}
	}
	s.lastSequence++
	item := Item{Kind: Ban, Server: server, Router: s.self, Sequence: s.lastSequence}
	if b := item.Append(nil); s.merge(now, item, b, true) {
		encoded = append(encoded, b)
	}
	return encoded
}

func (s *Store) enable(now float64, server routing.ServerID) (encoded [][]byte) {
	if s.deferredEnables[server] {
		delete(s.deferredEnables, server)
		s.recordBanChange(server, Item{Kind: Ban, Server: server, Removed: true})
	}
	for _, d := range s.sortedDots() {
		e := s.dots[d]
		if e.Server != server || e.Removed {
			continue
		}
		item := e.Item
		item.Removed = true
		b := item.Append(nil)
		s.merge(now, item, b, true)
		encoded = append(encoded, b)
	}
	return encoded
}

// sortedDots returns the dots in an order that is the same each time.
func (s *Store) sortedDots() []dot {
	dots := make([]dot, 0, len(s.dots))
	for d := range s.dots {
		dots = append(dots, d)
	}
	slices.SortFunc(dots, func(a, b dot) int {
		return cmp.Or(cmp.Compare(a.router, b.router), cmp.Compare(a.sequence, b.sequence))
	})
	return dots
}

// merge adds an item. local tells that it comes from this router itself or its own file. It
// reports whether the item is new.
func (s *Store) merge(now float64, item Item, encoded []byte, local bool) bool {
	if item.Kind == Ban {
		return s.mergeBan(now, item, encoded, local)
	}
	hash := xxhash.Sum64(encoded)
	if s.items[hash] != nil || s.forgotten[hash] {
		return false
	}
	if len(s.items) >= s.settings.MaxItems {
		s.Rejected++
		return false
	}
	added := &entry{Item: item, encoded: encoded, receivedAt: now}
	s.items[hash] = added
	s.setAdvertised(added, true)
	s.changes = append(s.changes, Change{Item: item})
	return true
}

func (s *Store) mergeBan(now float64, item Item, encoded []byte, local bool) bool {
	id := dot{item.Router, item.Sequence}
	known := s.dots[id]
	switch {
	case known == nil && s.forgotten[item.dotHash()]:
		return false
	case known != nil && (known.Removed || !item.Removed):
		return false
	case known == nil && len(s.dots) >= s.settings.MaxDots:
		s.Rejected++
		return false
	}
	if item.Router == s.self && item.Sequence > s.lastSequence {
		s.lastSequence = item.Sequence // sent back by others after this router lost its state
	}
	wasDisabled := s.Disabled(item.Server)
	if known != nil {
		s.setAdvertised(known, false)
		s.banCounts[known.Server]--
	}
	if !item.Removed {
		s.banCounts[item.Server]++
	}
	if s.banCounts[item.Server] <= 0 {
		delete(s.banCounts, item.Server)
		if item.Removed && known != nil && !local && s.DeferEnables {
			s.deferredEnables[item.Server] = true
		}
	}
	merged := &entry{Item: item, encoded: encoded, receivedAt: now}
	s.dots[id] = merged
	s.setAdvertised(merged, true)
	s.dirty = true
	if s.Disabled(item.Server) != wasDisabled {
		s.recordBanChange(item.Server, item)
	}
	return true
}

// recordBanChange records that a server is disabled now, or enabled again.
func (s *Store) recordBanChange(server routing.ServerID, item Item) {
	s.changes = append(s.changes, Change{Item: item, Disabled: s.Disabled(server)})
}

// Disabled reports whether a ban holds for a server.
func (s *Store) Disabled(server routing.ServerID) bool {
	return s.banCounts[server] > 0 || s.deferredEnables[server]
}

// Bans returns the servers that are disabled, in order.
func (s *Store) Bans() []routing.ServerID {
	var servers []routing.ServerID
	for server := range s.banCounts {
		servers = append(servers, server)
	}
	for server := range s.deferredEnables {
		if s.banCounts[server] == 0 {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// Drains returns the drains that came after a moment, in ms.
func (s *Store) Drains(after float64) []Item {
	var drains []Item
	for _, e := range s.items {
		if e.Kind == Drain && e.receivedAt >= after {
			drains = append(drains, e.Item)
		}
	}
	slices.SortFunc(drains, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return drains
}

// TakeChanges returns what has changed for this router since the last call.
func (s *Store) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// setAdvertised adds an item to what is sent to others and counts in the checksums, or
// takes it out.
func (s *Store) setAdvertised(e *entry, advertised bool) {
	if e.advertised != advertised {
		e.advertised = advertised
		s.checksums[e.bucket()] ^= uint32(xxhash.Sum64(e.encoded))
	}
}

// Checksum returns the checksum of a bucket, by which stores are compared.
func (s *Store) Checksum(bucket int) uint32 { return s.checksums[bucket] }

// ForEach calls visit with the encoded items of a bucket until it returns false.
func (s *Store) ForEach(bucket int, visit func(encoded []byte) bool) {
	for _, d := range s.sortedDots() {
		if e := s.dots[d]; e.advertised && e.bucket() == bucket && !visit(e.encoded) {
			return
		}
	}
	hashes := make([]uint64, 0, len(s.items))
	for hash, e := range s.items {
		if e.advertised && e.bucket() == bucket {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	for _, hash := range hashes {
		if !visit(s.items[hash].encoded) {
			return
		}
	}
}
