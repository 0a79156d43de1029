package gossip

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// describe returns the content of a store as text.
func describe(s *Store) string {
	var items []string
	for bucket := range membership.BucketCount {
		s.ForEach(bucket, func(encoded []byte) bool {
			items = append(items, fmt.Sprintf("%x", encoded))
			return true
		})
	}
	slices.Sort(items)
	return fmt.Sprint(s.Bans(), items, s.checksums)
}

// modelDot is a ban in the model.
type modelDot struct {
	server routing.ServerID
	id     string
}

func dotOf(encoded []byte) modelDot {
	item, _ := Decode(encoded)
	return modelDot{item.Server, fmt.Sprint(item.Router, item.Sequence)}
}

// model computes the state that several stores must converge to. A server is disabled if it has a
// ban that was unknown to every router that enabled the server.
type model struct {
	stores  []*Store
	sent    [][]byte            // items that all stores must receive
	live    map[modelDot]bool   // all bans that were set
	known   []map[modelDot]bool // bans that each store knows
	removed map[modelDot]bool   // bans that were known to an enabling store
}

func newModel(routers int) *model {
	m := &model{live: map[modelDot]bool{}, removed: map[modelDot]bool{}}
	for i := range routers {
		m.stores = append(m.stores, New(DefaultSettings(), membership.ID(i+1), 0))
		m.known = append(m.known, map[modelDot]bool{})
	}
	return m
}

func (m *model) disable(router int, server routing.ServerID) {
	for _, encoded := range m.stores[router].SetDisabled(1, server, true) {
		ban := dotOf(encoded)
		m.live[ban] = true
		m.known[router][ban] = true
		m.sent = append(m.sent, encoded)
	}
}

func (m *model) enable(router int, server routing.ServerID) {
	m.sent = append(m.sent, m.stores[router].SetDisabled(1, server, false)...)
	for ban := range m.known[router] {
		if ban.server == server {
			m.removed[ban] = true
		}
	}
}

func (m *model) receive(router int, encoded []byte) {
	m.stores[router].Receive(1, 9, encoded)
	m.known[router][dotOf(encoded)] = true
}

// receiveAll delivers all sent items to each store, twice and in random order.
func (m *model) receiveAll() {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, s := range m.stores {
		for range 2 {
			rng.Shuffle(len(m.sent), func(i, j int) { m.sent[i], m.sent[j] = m.sent[j], m.sent[i] })
			for _, encoded := range m.sent {
				s.Receive(1, 9, encoded)
			}
		}
	}
}

// disabled returns for each server that was ever banned whether it must be disabled now.
func (m *model) disabled() map[routing.ServerID]bool {
	disabled := map[routing.ServerID]bool{}
	for ban := range m.live {
		disabled[ban.server] = disabled[ban.server] || !m.removed[ban]
	}
	return disabled
}

// Several routers ban and enable servers at random, and receive some of each other's items in any
// order and more than once. After every store has received all items, all stores are equal, and
// they disable the servers that the model disables.
func TestMergeAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 3
		expected := newModel(routers)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			router := rapid.IntRange(0, routers-1).Draw(t, "router")
			server := routing.ServerID(rapid.IntRange(1, 3).Draw(t, "server"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				expected.disable(router, server)
			case 1:
				expected.enable(router, server)
			default:
				if len(expected.sent) > 0 {
					expected.receive(router, expected.sent[rapid.IntRange(0, len(expected.sent)-1).Draw(t, "item")])
				}
			}
		}
		expected.receiveAll()
		for i, s := range expected.stores {
			if describe(s) != describe(expected.stores[0]) {
				t.Fatalf("stores differ: got\n%s\nwant the store of router 0\n%s", describe(s), describe(expected.stores[0]))
			}
			for server, disabled := range expected.disabled() {
				if s.Disabled(server) != disabled {
					t.Fatalf("router %d, server %v: got disabled %v, want %v", i, server, s.Disabled(server), disabled)
				}
			}
		}
	})
}

// An enable from another router is deferred while DeferEnables is set. The first Step after
// DeferEnables is unset applies it. An operator's enable at this router applies immediately.
func TestRemoteEnableIsDeferred(t *testing.T) {
	remote, local := New(DefaultSettings(), 1, 0), New(DefaultSettings(), 2, 0)
	receive := func(items [][]byte) {
		for _, encoded := range items {
			local.Receive(0, 1, encoded)
		}
	}
	receive(remote.SetDisabled(0, 5, true))
	local.DeferEnables = true
	receive(remote.SetDisabled(0, 5, false))
	if !local.Disabled(5) {
		t.Error("server 5 was enabled by another router while enables are deferred, want disabled")
	}
	if got := local.DeferredEnables(); !slices.Equal(got, []routing.ServerID{5}) {
		t.Errorf("got deferred enables %v, want server 5", got)
	}
	local.TakeChanges()
	local.DeferEnables = false
	local.Step(1)
	if c := local.TakeChanges(); local.Disabled(5) || len(c) != 1 || c[0].Disabled {
		t.Errorf("after enables are no longer deferred: got changes %+v, want a change that enables server 5", c)
	}
	local.DeferEnables = true
	receive(remote.SetDisabled(0, 6, true))
	receive(remote.SetDisabled(0, 6, false))
	local.SetDisabled(0, 6, false)
	if local.Disabled(6) {
		t.Error("server 6 is disabled after the operator enabled it at this router, want enabled")
	}
}

// A router that has forgotten an item does not accept it again from a router that still has the
// item. After both routers have forgotten the item, their checksums are equal.
func TestExpiredItemsStayForgotten(t *testing.T) {
	settings := DefaultSettings()
	first, second := New(settings, 1, 0), New(settings, 2, 0)
	item := Item{Kind: Drain, Server: 4, StartedAt: 1000}
	encoded := first.AddLocal(0, item)
	second.Receive(5000, 1, encoded)
	for now := 0.0; now < 2*settings.ItemRetention; now += 10_000 {
		first.Step(now)
		second.Step(now)
		second.ForEach(item.bucket(), func(advertised []byte) bool {
			if first.Receive(now, 2, advertised) {
				t.Fatalf("forgotten item was accepted again after %.0f ms", now)
			}
			return true
		})
	}
	if first.checksums != second.checksums || len(first.items)+len(second.items) != 0 {
		t.Errorf("got %d items in the first store and %d in the second, want no items and equal checksums", len(first.items), len(second.items))
	}
	if first.Receive(2*settings.ItemRetention, 2, encoded) {
		t.Error("forgotten item was accepted again from an old packet")
	}
}

// Exported bans survive a restart, and the next process continues their sequence numbers even if
// it starts numbering from 0.
func TestExportImport(t *testing.T) {
	before := New(DefaultSettings(), 1, 0)
	before.SetDisabled(0, 5, true)
	before.SetDisabled(0, 6, true)
	before.SetDisabled(0, 6, false)
	stored, changed := before.Export()
	if _, again := before.Export(); !changed || again {
		t.Error("want changed true from the first export and changed false from the second, got other values")
	}
	after := New(DefaultSettings(), 1, 0)
	after.Import(0, stored)
	after.Import(0, stored[:len(stored)-1])
	if describe(before) != describe(after) || !after.Disabled(5) || after.Disabled(6) {
		t.Errorf("after import: got %s, want %s with server 5 disabled and 6 enabled", describe(after), describe(before))
	}
	if items := after.SetDisabled(0, 7, true); len(items) != 1 || after.lastSequence <= before.lastSequence {
		t.Errorf("got %d items and sequence number %d, want 1 item and a number above %d", len(items), after.lastSequence, before.lastSequence)
	}
}

func TestStoreLimits(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxDots = 3
	settings.MaxItems = 2
	s := New(settings, 1, 0)
	for i := range 10 {
		ban := Item{Kind: Ban, Server: 1, Router: 9, Sequence: uint64(i + 1)}
		s.Receive(0, 9, ban.Append(nil))
		purge := Item{Kind: Purge, Object: routing.ObjectID(i + 1), PurgedAt: 5}
		s.Receive(0, 9, purge.Append(nil))
	}
	if len(s.dots) != 3 || len(s.items) != 2 || s.Rejected != 15 {
		t.Errorf("got %d dots, %d items and %d rejected, want 3, 2 and 15", len(s.dots), len(s.items), s.Rejected)
	}
}

func FuzzDecode(f *testing.F) {
	for _, item := range []Item{
		{Kind: Ban, Server: 1, Router: 2, Sequence: 3, Removed: true},
		{Kind: Drain, Server: 7, StartedAt: 1e12},
		{Kind: Purge, Object: 1 << 63, PurgedAt: 1e12},
	} {
		f.Add(item.Append(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		item, ok := Decode(b)
		if !ok {
			return
		}
		encoded := item.Append(nil)
		if again, ok := Decode(encoded); !ok || again != item || !bytes.Equal(encoded, again.Append(nil)) {
			t.Fatalf("decoded %+v; after encoding and decoding again, got %+v", item, again)
		}
	})
}
