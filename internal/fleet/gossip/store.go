// Package gossip stores the items that routers exchange about servers: bans set by operators,
// servers that drain or are gone, and purges. It does no I/O: the membership state machine
// sends and receives the items. Merging is commutative and idempotent: the result depends
// neither on the order of the items nor on how often each item is received.
//
// An item of another router can only disable a server, or undo an earlier item. Only the change
// log makes a server usable. Bans form an add-wins set (a CRDT). Each ban is identified by a dot:
// the ID of the router whose admin API set it, and a sequence number. Enabling a server removes
// those dots of the server that the enabling router knows. If a server is banned on one side of a
// partition and enabled on the other, the ban remains, since the enabling router did not know the
// ban's dot.
//
// A Store holds the items of one router. It is not safe for concurrent use: the goroutine
// that owns the router's fleet.Node makes all calls.
package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// Settings are the limits of a Store. All times are in milliseconds.
type Settings struct {
	DotRetention  float64 // time after which a removed ban is forgotten
	ItemRetention float64 // time after which a drain or purge is forgotten
	MaxDots       int     // maximum number of bans, including removed bans
	MaxItems      int     // maximum number of drains and purges
}

// DefaultSettings returns the defaults for the operators' settings file.
func DefaultSettings() Settings {
	return Settings{DotRetention: 86_400_000, ItemRetention: 600_000, MaxDots: 4096, MaxItems: 4096}
}

// Change is the effect of an item on this router.
type Change struct {
	Item
	Disabled bool // Ban: the server is disabled after the change
}

// Store holds the items of one router. It implements membership.ItemStore.
type Store struct {
	settings        Settings
	self            membership.ID
	lastSequence    uint64 // sequence number of this router's latest ban
	dots            map[dot]*entry
	items           map[uint64]*entry         // drains and purges, by the hash of their encoding
	banCounts       map[routing.ServerID]int  // number of bans of each banned server
	deferredEnables map[routing.ServerID]bool // servers enabled by another router while DeferEnables was set
	checksums       [membership.BucketCount]uint32
	forgotten       map[uint64]bool // hashes of forgotten items, which are not accepted again
	forgottenOrder  []uint64        // hashes in forgotten, the oldest first
	lastExpiryAt    float64         // ms

	// DeferEnables defers the enables of other routers: a server that another router enables
	// stays disabled until the first Step after DeferEnables is unset.
	DeferEnables bool
	// Rejected counts the items that were malformed, or for which a limit in Settings left no room.
	Rejected int64
	changes  []Change // changes since the last call of TakeChanges
	dirty    bool     // the bans have changed since the last call of Export
}

// dot identifies a ban.
type dot struct {
	router   membership.ID
	sequence uint64
}

// entry is an item with its encoding.
type entry struct {
	Item
	encoded    []byte
	receivedAt float64 // ms
	advertised bool    // ForEach visits the item, and the checksums include the item
}

// New returns an empty store for the router with the ID self. The sequence numbers of its bans
// start at firstSequence+1. The caller must pass a higher firstSequence in each incarnation of
// the router.
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

// Receive merges an encoded item that another router sent. It reports whether the item is new
// and has to be broadcast. The argument now is in ms.
func (s *Store) Receive(now float64, _ membership.ID, encoded []byte) bool {
	item, ok := Decode(encoded)
	if !ok {
		s.Rejected++
		return false
	}
	return s.merge(now, item, encoded, false)
}

// AddLocal adds an item from this router's own change log. It records no Change, since this
// router already follows its own change log. It returns the encoded item to broadcast, or nil if
// the item is not new.
func (s *Store) AddLocal(now float64, item Item) []byte {
	encoded := item.Append(nil)
	changeCount := len(s.changes)
	if !s.merge(now, item, encoded, true) {
		return nil
	}
	s.changes = s.changes[:changeCount]
	return encoded
}

// SetDisabled disables or enables a server at the request of an operator at this router's admin
// API. It returns the encoded items to broadcast.
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

// sortedDots returns the dots sorted by router and sequence number.
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

// merge adds an item and reports whether the item is new. The argument local is true if the item
// comes from this router itself or from its stored bans.
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
		s.lastSequence = item.Sequence // this router lost its state and learns of its ban from another router: number new bans after it
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

// recordBanChange records a Change with the server's current disabled state.
func (s *Store) recordBanChange(server routing.ServerID, item Item) {
	s.changes = append(s.changes, Change{Item: item, Disabled: s.Disabled(server)})
}

// Disabled returns true if a server is banned, or if it is still disabled because its enable is
// deferred.
func (s *Store) Disabled(server routing.ServerID) bool {
	return s.banCounts[server] > 0 || s.deferredEnables[server]
}

// Bans returns the disabled servers, sorted by ID.
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

// Drains returns the drains that were received at minReceivedAt or later, sorted by server.
// minReceivedAt is in ms.
func (s *Store) Drains(minReceivedAt float64) []Item {
	var drains []Item
	for _, e := range s.items {
		if e.Kind == Drain && e.receivedAt >= minReceivedAt {
			drains = append(drains, e.Item)
		}
	}
	slices.SortFunc(drains, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return drains
}

// TakeChanges returns the changes since the last call.
func (s *Store) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// setAdvertised sets whether an item is sent to other routers and included in the checksums.
func (s *Store) setAdvertised(e *entry, advertised bool) {
	if e.advertised != advertised {
		e.advertised = advertised
		s.checksums[e.bucket()] ^= uint32(xxhash.Sum64(e.encoded))
	}
}

// Checksum returns the checksum of the advertised items in a bucket. Routers compare these
// checksums to find differences between their stores.
func (s *Store) Checksum(bucket int) uint32 { return s.checksums[bucket] }

// ForEach calls visit with each advertised, encoded item of a bucket until visit returns false.
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
