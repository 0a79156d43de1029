// Package fleet puts together what one router knows of the others: who is there
// (member), what they tell of the boxes (words), and what follows from it (stance). It
// does no I/O: link carries it in the daemon, virtual in experiments.
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

// relayCount is how many routers pass on what the change log told all of them. The rest
// would only repeat it; the exchange of views mends what these lose.
const relayCount = 4

// connectivityInterval is how often the stance is read when nothing moves, ms.
const connectivityInterval = 250.0

// Settings are those of the parts.
type Settings struct {
	Membership   membership.Settings
	Connectivity connectivity.Settings
	Gossip       gossip.Settings
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{membership.DefaultSettings(), connectivity.DefaultSettings(), gossip.DefaultSettings()}
}

// Node is one router's knowledge. It is not safe for concurrent use.
type Node struct {
	*membership.Machine
	Store        *gossip.Store
	connectivity *connectivity.Machine
	nextCheckAt  float64
}

// Output is what a step calls for.
type Output struct {
	membership.Output
	Changes             []gossip.Change
	Connectivity        connectivity.Status
	ConnectivityChanged bool // the stance is another one
}

// New returns the node of a router.
func New(set Settings, self membership.Update, seeds []netip.AddrPort, rng *rand.Rand, now float64) *Node {
	shelf := gossip.New(set.Gossip, self.ID, self.Revision)
	return &Node{Machine: membership.New(set.Membership, self, seeds, rng, shelf, now), Store: shelf, connectivity: connectivity.New(set.Connectivity, now), nextCheckAt: now}
}

// Step brings the node to now and has it take a packet, which may be nil.
func (n *Node) Step(now float64, p *membership.Packet) Output {
	out := Output{Output: n.Machine.Step(now, p)}
	old := n.connectivity.Status()
	out.Connectivity = old
	if out.ViewChanged || n.nextCheckAt <= now {
		n.nextCheckAt = now + connectivityInterval
		out.Connectivity = n.connectivity.Step(now, n.View())
		out.ConnectivityChanged = out.Connectivity.State != old.State
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

// Connectivity returns the stance as it is.
func (n *Node) Connectivity() connectivity.Status { return n.connectivity.Status() }

// SetDisabled takes a box out, or back, by order of staff at this router's door.
func (n *Node) SetDisabled(now float64, box routing.ServerID, out bool) {
	for _, it := range n.Store.SetDisabled(now, box, out) {
		n.Broadcast(it)
	}
}

// Publish takes what this router's own change log told.
func (n *Node) Publish(now float64, w gossip.Item) {
	if b := n.Store.AddLocal(now, w); b != nil && n.relays(b) {
		n.Broadcast(b)
	}
}

// relays tells whether this router is one of those that pass an item on: the few whose
// seats, mixed with the item, are lowest among those that are there.
func (n *Node) relays(item []byte) bool {
	h := xxhash.Sum64(item)
	rank := func(id membership.ID) uint64 {
		x := (uint64(id) ^ h) * 0x9e3779b97f4a7c15
		return x ^ x>>32
	}
	mine, before := rank(n.Self().ID), 0
	for _, m := range n.View().Members {
		if m.State.Present() && rank(m.ID) < mine {
			before++
		}
	}
	return before < relayCount
}
