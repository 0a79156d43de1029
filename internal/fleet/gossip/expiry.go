package gossip

import (
	"maps"
	"slices"

	"garnetline/routing"
)

const (
	// expiryInterval is the time between two searches for expired items, ms.
	expiryInterval = 1000
	// maxForgotten bounds the number of forgotten items whose hashes are kept, so that these items
	// are not accepted again.
	maxForgotten = 8192
)

// Step applies the deferred enables if DeferEnables is false, and forgets expired items. The
// argument now is in ms.
func (s *Store) Step(now float64) {
	if !s.DeferEnables && len(s.deferredEnables) > 0 {
		s.applyDeferredEnables()
	}
	if now-s.lastExpiryAt < expiryInterval {
		return
	}
	s.lastExpiryAt = now
	for id, e := range s.dots {
		if e.Removed && s.expired(now, e, s.settings.DotRetention) {
			delete(s.dots, id)
			s.markForgotten(e.dotHash())
			s.dirty = true
		}
	}
	for hash, e := range s.items {
		if s.expired(now, e, s.settings.ItemRetention) {
			delete(s.items, hash)
			s.markForgotten(hash)
		}
	}
}

func (s *Store) applyDeferredEnables() {
	for _, server := range s.DeferredEnables() {
		delete(s.deferredEnables, server)
		if !s.Disabled(server) {
			s.recordBanChange(server, Item{Kind: Ban, Server: server, Removed: true})
		}
	}
}

// DeferredEnables returns the servers that are disabled here and whose enable by another router is
// deferred, sorted by ID.
func (s *Store) DeferredEnables() []routing.ServerID {
	return slices.Sorted(maps.Keys(s.deferredEnables))
}

// expired reports whether an item is at least as old as its retention, in ms. It also stops
// advertising an item, which means sending it to other routers, after half of the retention. If
// the item were advertised until the end of its retention, it could be sent to a router that has
// already forgotten it, and that router would accept the item as new.
func (s *Store) expired(now float64, e *entry, retention float64) bool {
	age := now - e.receivedAt
	if age >= retention/2 {
		s.setAdvertised(e, false)
	}
	return age >= retention
}

// markForgotten records the hash of a forgotten item. It drops the oldest hash if
// maxForgotten hashes are stored.
func (s *Store) markForgotten(hash uint64) {
	if len(s.forgottenOrder) == maxForgotten {
		delete(s.forgotten, s.forgottenOrder[0])
		s.forgottenOrder = s.forgottenOrder[1:]
	}
	s.forgotten[hash] = true
	s.forgottenOrder = append(s.forgottenOrder, hash)
}
