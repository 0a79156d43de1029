package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// The search goes through what can happen to a few routers, each with a clock of its own:
// a timer fires, a packet arrives, arrives twice or never, a process is killed, or is
// started anew. A state is reached again by the same steps; those with one digest are one.

const inFlight = 5 // packets on their way; the oldest is lost beyond it

type world struct {
	m      []*Machine
	dice   []*rand.PCG
	now    []float64
	wake   []float64
	dead   []bool
	lives  []uint64
	air    []OutgoingPacket
	order  map[[2]ID]Update // latest that each holds of each
	broken testRule
	wrong  string
}

// copy is a world of its own in the same state.
func (w *world) copy() *world {
	c := &world{dice: make([]*rand.PCG, len(w.m)), now: slices.Clone(w.now), wake: slices.Clone(w.wake), dead: slices.Clone(w.dead),
		lives: slices.Clone(w.lives), air: slices.Clone(w.air), order: maps.Clone(w.order), broken: w.broken, wrong: w.wrong}
	for i, m := range w.m {
		dice := *w.dice[i]
		c.dice[i] = &dice
		c.m = append(c.m, m.copy(rand.New(&dice)))
	}
	return c
}

func (m *Machine) copy(rng *rand.Rand) *Machine {
	c := *m
	c.rng, c.peers, c.idsByName, c.reportedConflicts = rng, make(map[ID]*peer, len(m.peers)), maps.Clone(m.idsByName), maps.Clone(m.reportedConflicts)
	for id, r := range m.peers {
		x := *r
		x.accusers = slices.Clone(r.accusers)
		c.peers[id] = &x
	}
	for _, l := range []*[]*peer{&c.present, &c.suspects, &c.departed} {
		*l = slices.Clone(*l)
		for i, r := range *l {
			(*l)[i] = c.peers[r.ID]
		}
	}
	if m.probe.target != nil {
		c.probe.target = c.peers[m.probe.target.ID]
	}
	c.pending, c.relays, c.unverified, c.broadcasts.entries = slices.Clone(m.pending), slices.Clone(m.relays), slices.Clone(m.unverified), slices.Clone(m.broadcasts.entries)
	return &c
}

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

func newWorld(n int, b testRule) *world {
	w := &world{m: make([]*Machine, n), dice: make([]*rand.PCG, n), now: make([]float64, n), wake: make([]float64, n), dead: make([]bool, n), lives: make([]uint64, n),
		order: map[[2]ID]Update{}, broken: b}
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	set := DefaultSettings()
	set.GossipFanout, set.IndirectProbes, set.GossipInterval = 1, 1, 50
	w.lives[i]++
	self := Update{ID: ID(i + 1), Revision: FirstRevision(w.lives[i]), Name: "r" + strconv.Itoa(i), Addr: testAddr(i)}
	w.dice[i] = rand.NewPCG(uint64(i), w.lives[i])
	w.m[i] = New(set, self, []netip.AddrPort{testAddr(0)}, rand.New(w.dice[i]), nil, w.now[i])
	w.m[i].disabledRule = w.broken
	w.dead[i], w.wake[i] = false, w.now[i]
	for k := range w.order {
		if k[0] == self.ID {
			delete(w.order, k) // a new life knows nothing
		}
	}
}

func (w *world) step(i int, p *Packet) {
	out := w.m[i].Step(w.now[i], p)
	w.wake[i] = out.WakeAt
	w.air = append(w.air, out.Packets...)
	w.air = w.air[max(0, len(w.air)-inFlight):]
	for _, m := range w.m[i].View().Members {
		k := [2]ID{ID(i + 1), m.ID}
		if old, known := w.order[k]; known && newer(&old, &m.Update) {
			w.wrong = fmt.Sprintf("r%d went back from %v of %x to %v of %x for %s", i, old.State, old.Revision, m.State, m.Revision, m.Name)
		}
		w.order[k] = m.Update
	}
}

// arrive has the k-th packet on its way arrive.
func (w *world) arrive(k int, keep bool) {
	s := w.air[k]
	if !keep {
		w.air = slices.Delete(slices.Clone(w.air), k, k+1)
	}
	for i := range w.m {
		if testAddr(i) == s.To && !w.dead[i] {
			p := *s.Packet
			w.step(i, &p)
		}
	}
}

// Moves are numbered: timers, arrivals, arrivals of copies, kills with a new start, kills.
func (w *world) moves() (l []byte) {
	n := byte(len(w.m))
	for i := range n {
		if !w.dead[i] {
			l = append(l, i)
		}
	}
	for k := range w.air {
		l = append(l, 10+byte(k), 20+byte(k))
	}
	for i := range n {
		if w.lives[i] < 2 {
			l = append(l, 30+i)
		}
	}
	if !slices.Contains(w.dead, true) {
		l = append(l, 40+n-1)
	}
	return l
}

func (w *world) do(b byte) {
	i := int(b % 10)
	switch b / 10 {
	case 0:
		w.now[i] = max(w.now[i], w.wake[i])
		w.step(i, nil)
	case 1, 2:
		if i < len(w.air) {
			w.arrive(i, b/10 == 2)
		}
	case 3:
		w.start(i)
	case 4:
		w.dead[i] = true
	}
}

// digest is what two states have alike that are one: times count from each router's now,
// numbers of questions by whether they are still asked.
func (w *world) digest() uint64 {
	var s strings.Builder
	for i, m := range w.m {
		fmt.Fprint(&s, w.dead[i], w.lives[i], m.healthScore, m.superseded, m.self.Revision, len(m.broadcasts.entries), int(m.nextProbeAt-w.now[i]), len(m.unverified), m.probe.target != nil, '|')
		for _, x := range m.View().Members {
			r := m.peers[x.ID]
			fmt.Fprint(&s, x.ID, x.Revision, x.State)
			if r != nil {
				fmt.Fprint(&s, r.replay.verified, r.replay.incarnation, int(max(0, r.suspicionDeadline-w.now[i])))
			}
		}
	}
	for _, p := range w.air {
		asked := false
		for i, m := range w.m {
			asked = asked || testAddr(i) == p.To && slices.ContainsFunc(m.pending, func(q pendingRequest) bool { return q.nonce == p.Packet.Nonce })
		}
		fmt.Fprint(&s, p.To, p.Packet.Kind, p.Packet.From.ID, p.Packet.From.Revision, asked)
		for _, x := range p.Packet.Updates {
			fmt.Fprint(&s, x.ID, x.Revision, x.State)
		}
	}
	return xxhash.Sum64String(s.String())
}

// heal lets all go on without a fault and tells whether the views end alike.
func (w *world) heal() bool {
	t := slices.Max(w.now)
	start := t
	for end := t + 60_000; t < end; {
		next, who := end, -1
		for i := range w.m {
			if at := max(t, w.wake[i]); !w.dead[i] && at < next {
				next, who = at, i
			}
		}
		t = next
		if who < 0 {
			break
		}
		for i := range w.now {
			w.now[i] = max(w.now[i], t)
		}
		w.step(who, nil)
		for n := 0; len(w.air) > 0 && n < 50; n++ {
			w.arrive(0, false)
		}
		if t > start+8000 && w.alike() { // what is wrongly suspected has failed by then
			return true
		}
	}
	return w.alike()
}

func (w *world) alike() bool {
	live := 0
	for _, d := range w.dead {
		if !d {
			live++
		}
	}
	for i, m := range w.m {
		if !w.dead[i] && (m.PresentCount() != live || m.Checksums() != w.m[slices.Index(w.dead, false)].Checksums()) {
			return false
		}
	}
	return true
}

// search goes through states from a settled fleet on, the shallow ones first, and returns
// how many there were and the first path that breaks a rule.
func search(n, states, every int, b testRule) (seen, healed, depth int, path []byte, why string) {
	type node struct {
		w    *world
		path []byte
	}
	first := newWorld(n, 0)
	first.heal()
	first.air, first.broken = nil, b
	for _, m := range first.m {
		m.disabledRule = b
	}
	known := map[uint64]bool{}
	queue := []node{{first, nil}}
	for len(queue) > 0 && seen < states {
		w, path := queue[0].w, queue[0].path
		queue = queue[1:]
		if w.wrong != "" {
			return seen, healed, len(path), path, w.wrong
		}
		d := w.digest()
		if known[d] {
			continue
		}
		known[d] = true
		seen++
		depth = len(path)
		if seen%every == 0 {
			healed++
			if x := w.copy(); !x.heal() || x.wrong != "" {
				return seen, healed, depth, path, fmt.Sprintf("%s; at the end %v", x.wrong, x.views())
			}
		}
		if len(queue) > min(4*states, 100_000) {
			continue // enough to go on with
		}
		for _, move := range w.moves() {
			x := w.copy()
			x.do(move)
			queue = append(queue, node{x, append(slices.Clone(path), move)})
		}
	}
	return seen, healed, depth, nil, ""
}

func (w *world) views() (l []string) {
	for i, m := range w.m {
		for _, x := range m.View().Members {
			l = append(l, fmt.Sprintf("r%d dead %v: %s %v %x", i, w.dead[i], x.Name, x.State, x.Revision))
		}
	}
	return l
}

// No two views stay different once messages flow, and an older word never beats a newer
// one. GARNETLINE_STATES goes through more states than CI does.
func TestStateSearch(t *testing.T) {
	states := 6000
	if s, err := strconv.Atoi(os.Getenv("GARNETLINE_STATES")); err == nil {
		states = s
	}
	for _, n := range []int{2, 3} {
		seen, healed, depth, path, why := search(n, states, 7, 0)
		t.Logf("%d routers: %d states up to %d steps, %d healed", n, seen, depth, healed)
		if why != "" {
			t.Errorf("%d routers, steps %v: %s", n, path, why)
		}
	}
}

// Each rule that is switched off is found out.
func TestStateSearchFindsDisabledRules(t *testing.T) {
	for b, n := range map[testRule]int{ruleOrdering: 2, ruleRefutation: 2} {
		if seen, _, _, path, why := search(n, 20_000, 2, b); why == "" {
			t.Errorf("rule %d is off, and %d states show nothing", b, seen)
		} else {
			t.Logf("rule %d off: found in state %d by %v: %s", b, seen, path, why)
		}
	}
}
