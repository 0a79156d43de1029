// Package fleet combines what one router knows of the others: which are there (membership),
// what they tell about servers (gossip), and how much of the fleet it can reach
// (connectivity). It does no I/O: package transport runs a Node in the daemon, a network
// simulator in experiments.
//
// A Node is not safe for concurrent use: the goroutine that owns it makes all calls. A
// Status does not change and may be read by any.
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

// relayCount is how many routers broadcast what the change log told all of them. The rest
// would only repeat it; the exchange of views makes up for what these lose.
const relayCount = 4

// connectivityInterval is how often connectivity is judged when nothing changes, ms.
const connectivityInterval = 250.0

// Settings are those of the parts.
type Settings struct {
	Membership   membership.Settings
	Connectivity connectivity.Settings
	Gossip       gossip.Settings
}

// DefaultSettings returns the settings that the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{
		Membership:   membership.DefaultSettings(),
		Connectivity: connectivity.DefaultSettings(),
		Gossip:       gossip.DefaultSettings(),
	}
}

// Node is what one router knows of the fleet.
type Node struct {
	*membership.Machine
	Store        *gossip.Store
	connectivity *connectivity.Machine
	nextCheckAt  float64 // of connectivity, ms
}

// Output is what a step calls for.
type Output struct {
	membership.Output
	Changes             []gossip.Change
	Connectivity        connectivity.Status
	ConnectivityChanged bool
}

// New returns the node of a router. seeds are addresses at which others may be.
func New(settings Settings, self membership.Update, seeds []netip.AddrPort, rng *rand.Rand, now float64) *Node {
	store := gossip.New(settings.Gossip, self.ID, self.Revision)
	return &Node{
		Machine:      membership.New(settings.Membership, self, seeds, rng, store, now),
		Store:        store,
		connectivity: connectivity.New(settings.Connectivity, now),
		nextCheckAt:  now,
	}
}

// Step brings the node to now, in ms, and handles a packet, which may be nil.
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

// SetDisabled disables a server, or enables it again, by order of an operator at this
// router's admin API.
func (n *Node) SetDisabled(now float64, server routing.ServerID, disabled bool) {
	for _, item := range n.Store.SetDisabled(now, server, disabled) {
		n.Broadcast(item)
	}
}

// Publish tells the fleet what this router's own change log showed.
func (n *Node) Publish(now float64, item gossip.Item) {
	if encoded := n.Store.AddLocal(now, item); encoded != nil && n.relays(encoded) {
		n.Broadcast(encoded)
	}
}

// relays reports whether this router is one of those that broadcast an item: the few that
// rank lowest among those present, by a hash of ID and item.
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

// rank is the same at all routers.
func rank(id membership.ID, hash uint64) uint64 {
	mixed := (uint64(id) ^ hash) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>32
}
