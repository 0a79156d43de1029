// Package fleet puts together what one router knows of the others: who is there
// (member), what they tell of the boxes (words), and what follows from it (stance). It
// does no I/O: link carries it in the daemon, virtual in experiments.
package fleet

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"garnetline/decide"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/stance"
	"garnetline/internal/fleet/words"
)

// tellers is how many routers pass on what the change log told all of them. The rest
// would only repeat it; the exchange of views mends what these lose.
const tellers = 4

// stanceEvery is how often the stance is read when nothing moves, ms.
const stanceEvery = 250.0

// Settings are those of the parts.
type Settings struct {
	Member member.Settings
	Stance stance.Settings
	Words  words.Settings
}

// Default is what the operators' file begins with.
func Default() Settings {
	return Settings{member.Default(), stance.Default(), words.Default()}
}

// Node is one router's knowledge. It is not safe for concurrent use.
type Node struct {
	*member.Machine
	Shelf  *words.Shelf
	stance *stance.Machine
	look   float64
}

// Output is what a step calls for.
type Output struct {
	member.Output
	Changes []words.Change
	Stance  stance.Reading
	Swung   bool // the stance is another one
}

// New returns the node of a router.
func New(set Settings, self member.Word, seeds []netip.AddrPort, rng *rand.Rand, now float64) *Node {
	shelf := words.New(set.Words, self.ID, self.Inc)
	return &Node{Machine: member.New(set.Member, self, seeds, rng, shelf, now), Shelf: shelf, stance: stance.New(set.Stance, now), look: now}
}

// Step brings the node to now and has it take a packet, which may be nil.
func (n *Node) Step(now float64, p *member.Packet) Output {
	out := Output{Output: n.Machine.Step(now, p)}
	old := n.stance.Reading()
	out.Stance = old
	if out.Moved || n.look <= now {
		n.look = now + stanceEvery
		out.Stance = n.stance.Step(now, n.View())
		out.Swung = out.Stance.Stance != old.Stance
		n.Shelf.Cautious = !out.Stance.Stance.Enable()
	}
	n.Shelf.Step(now)
	out.Changes = n.Shelf.Changes()
	out.Wake = min(out.Wake, n.look)
	if math.IsInf(out.Wake, 1) {
		out.Wake = now + stanceEvery
	}
	return out
}

// Reading returns the stance as it is.
func (n *Node) Reading() stance.Reading { return n.stance.Reading() }

// Switch takes a box out, or back, by order of staff at this router's door.
func (n *Node) Switch(now float64, box decide.ServerID, out bool) {
	for _, it := range n.Shelf.Switch(now, box, out) {
		n.Tell(it)
	}
}

// Heard takes what this router's own change log told.
func (n *Node) Heard(now float64, w words.Word) {
	if b := n.Shelf.Heard(now, w); b != nil && n.teller(b) {
		n.Tell(b)
	}
}

// teller tells whether this router is one of those that pass an item on: the few whose
// seats, mixed with the item, are lowest among those that are there.
func (n *Node) teller(item []byte) bool {
	h := xxhash.Sum64(item)
	rank := func(id member.ID) uint64 {
		x := (uint64(id) ^ h) * 0x9e3779b97f4a7c15
		return x ^ x>>32
	}
	mine, before := rank(n.Self().ID), 0
	for _, m := range n.View().Members {
		if m.State.There() && rank(m.ID) < mine {
			before++
		}
	}
	return before < tellers
}
