// Package fleet combines the three state machines of a router's view of its fleet. Membership
// tracks which routers are present. Gossip stores the items that the routers publish about
// servers. Connectivity determines how much of the fleet this router can reach. The package does
// no I/O: package transport runs a Node in the daemon, and a network simulator runs a Node in
// experiments.
//
// A Node is not safe for concurrent use: the goroutine that owns it makes all calls. A
// Status is immutable and may be read by any goroutine.
package fleet

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// relayCount is the number of routers that broadcast an item that all routers read from the
// change log. Broadcasts by more routers would only repeat the item. If the broadcasts to a router
// are lost, the periodic exchange of views delivers the item to that router.
const relayCount = 4

// connectivityInterval is the time between two evaluations of connectivity while the view does
// not change, in ms.
const connectivityInterval = 250.0

// Settings are the settings of the node's state machines.
type Settings struct {
	Membership   membership.Settings
	Connectivity connectivity.Settings
	Gossip       gossip.Settings
}

// DefaultSettings returns the defaults for the operators' settings file.
func DefaultSettings() Settings {
	return Settings{
		Membership:   membership.DefaultSettings(),
		Connectivity: connectivity.DefaultSettings(),
		Gossip:       gossip.DefaultSettings(),
	}
}

// Node is one router's view of the fleet.
type Node struct {
	*membership.Machine
	Store        *gossip.Store
	connectivity *connectivity.Machine
	nextCheckAt  float64 // time of the next evaluation of connectivity, ms
}

// Output is the result of a step. The caller must carry it out.
type Output struct {
	membership.Output
	Changes             []gossip.Change
	Connectivity        connectivity.Status
	ConnectivityChanged bool
}

// New returns the node of a router. The argument seeds holds addresses at which other routers may
// listen.
func New(settings Settings, self membership.Update, seeds []netip.AddrPort, rng *rand.Rand, now float64) *Node {
	store := gossip.New(settings.Gossip, self.ID, self.Revision)
	return &Node{
		Machine:      membership.New(settings.Membership, self, seeds, rng, store, now),
		Store:        store,
		connectivity: connectivity.New(settings.Connectivity, now),
		nextCheckAt:  now,
	}
}

// Step advances the node to the time now, in ms. It handles the received packet, unless the packet
// is nil.
func (n *Node) Step(now float64, p *membership.Packet) Output {
	out := Output{Output: n.Machine.Step(now, p)}
	before := n.connectivity.Status()
	out.Connectivity = before
	if out.ViewChanged || n.nextCheckAt <= now {
		n.nextCheckAt = now + connectivityInterval
		out.Connectivity = n.connectivity.Step(now, n.View())
		out.ConnectivityChanged = out.Connectivity.State != before.State
		n.Store.DeferEnables = !out.Connectivity.State.AcceptsRemoteEnable()
	}
	n.Store.Step(now)
	out.Changes = n.Store.TakeChanges()
	out.WakeAt = min(out.WakeAt, n.nextCheckAt)
	if math.IsInf(out.WakeAt, 1) {
		out.WakeAt = now + connectivityInterval
	}
	return out
}

// Connectivity returns the connectivity as of the latest step.
func (n *Node) Connectivity() connectivity.Status { return n.connectivity.Status() }

// SetDisabled records and broadcasts that an operator disabled or enabled a server through
// this router's admin API.
func (n *Node) SetDisabled(now float64, server routing.ServerID, disabled bool) {
	for _, item := range n.Store.SetDisabled(now, server, disabled) {
		n.Broadcast(item)
	}
}

// Publish adds an item that this router read from its own change log, and broadcasts it if
// this router is one of the item's relays.
func (n *Node) Publish(now float64, item gossip.Item) {
	if encoded := n.Store.AddLocal(now, item); encoded != nil && n.relays(encoded) {
		n.Broadcast(encoded)
	}
}

// relays reports whether this router is one of an item's relays. The relays are the relayCount
// present routers with the lowest ranks for the item.
func (n *Node) relays(encoded []byte) bool {
	hash := xxhash.Sum64(encoded)
	self := rank(n.Self().ID, hash)
	lower := 0
	for _, member := range n.View().Members {
		if member.State.Present() && rank(member.ID, hash) < self {
			lower++
		}
	}
	return lower < relayCount
}

// rank returns a router's rank for the item with the given hash. All routers compute the same
// ranks, and therefore select the same relays, which are the routers that broadcast the item.
func rank(id membership.ID, hash uint64) uint64 {
	mixed := (uint64(id) ^ hash) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>32
}
