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
// started again. A state is reached again by the same steps; those with one digest are one.

const (
	maxInFlight = 5 // packets on their way; the oldest is lost beyond it
	// healTime is for how long the routers run without a fault before views must be equal.
	healTime = 60_000
	// failTime is after how long who is wrongly suspected has been declared failed.
	failTime = 8000
)

// world is a state of the search.
type world struct {
	machines     []*Machine
	sources      []*rand.PCG // of their random numbers
	now          []float64
	wakeAt       []float64
	dead         []bool
	incarnations []uint64
	inFlight     []OutgoingPacket
	known        map[[2]ID]Update // latest that each router knows of each
	disabledRule testRule
	violation    string
}

// clone returns a world of its own in the same state.
func (w *world) clone() *world {
	clone := &world{
		sources:      make([]*rand.PCG, len(w.machines)),
		now:          slices.Clone(w.now),
		wakeAt:       slices.Clone(w.wakeAt),
		dead:         slices.Clone(w.dead),
		incarnations: slices.Clone(w.incarnations),
		inFlight:     slices.Clone(w.inFlight),
		known:        maps.Clone(w.known),
		disabledRule: w.disabledRule,
		violation:    w.violation,
	}
	for i, m := range w.machines {
		source := *w.sources[i]
		clone.sources[i] = &source
		clone.machines = append(clone.machines, m.clone(rand.New(&source)))
	}
	return clone
}

func (m *Machine) clone(rng *rand.Rand) *Machine {
	clone := *m
	clone.rng = rng
	clone.peers = make(map[ID]*peer, len(m.peers))
	clone.idsByName = maps.Clone(m.idsByName)
	clone.reportedConflicts = maps.Clone(m.reportedConflicts)
	for id, r := range m.peers {
		clonedPeer := *r
		clonedPeer.accusers = slices.Clone(r.accusers)
		clone.peers[id] = &clonedPeer
	}
	for _, list := range []*[]*peer{&clone.present, &clone.suspects, &clone.departed} {
		*list = slices.Clone(*list)
		for i, r := range *list {
			(*list)[i] = clone.peers[r.ID]
		}
	}
	if m.probe.target != nil {
		clone.probe.target = clone.peers[m.probe.target.ID]
	}
	clone.pending = slices.Clone(m.pending)
	clone.relays = slices.Clone(m.relays)
	clone.unverified = slices.Clone(m.unverified)
	clone.broadcasts.entries = slices.Clone(m.broadcasts.entries)
	return &clone
}

// testAddr returns the address of the i-th router.
func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

func newWorld(routers int, disabledRule testRule) *world {
	w := &world{
		machines:     make([]*Machine, routers),
		sources:      make([]*rand.PCG, routers),
		now:          make([]float64, routers),
		wakeAt:       make([]float64, routers),
		dead:         make([]bool, routers),
		incarnations: make([]uint64, routers),
		known:        map[[2]ID]Update{},
		disabledRule: disabledRule,
	}
	for i := range routers {
		w.start(i)
	}
	return w
}

// start starts the next process of a router.
func (w *world) start(i int) {
	settings := DefaultSettings()
	settings.GossipFanout = 1
	settings.IndirectProbes = 1
	settings.GossipInterval = 50
	w.incarnations[i]++
	self := Update{ID: ID(i + 1), Revision: FirstRevision(w.incarnations[i]), Name: "r" + strconv.Itoa(i), Addr: testAddr(i)}
	w.sources[i] = rand.NewPCG(uint64(i), w.incarnations[i])
	w.machines[i] = New(settings, self, []netip.AddrPort{testAddr(0)}, rand.New(w.sources[i]), nil, w.now[i])
	w.machines[i].disabledRule = w.disabledRule
	w.dead[i] = false
	w.wakeAt[i] = w.now[i]
	for pair := range w.known {
		if pair[0] == self.ID {
			delete(w.known, pair) // a new incarnation knows nothing
		}
	}
}

// step steps a router and checks that it never goes back in what it knows of another.
func (w *world) step(i int, p *Packet) {
	out := w.machines[i].Step(w.now[i], p)
	w.wakeAt[i] = out.WakeAt
	w.inFlight = append(w.inFlight, out.Packets...)
	w.inFlight = w.inFlight[max(0, len(w.inFlight)-maxInFlight):]
	for _, member := range w.machines[i].View().Members {
		pair := [2]ID{ID(i + 1), member.ID}
		if old, known := w.known[pair]; known && newer(&old, &member.Update) {
			w.violation = fmt.Sprintf("r%d went back from %v of %x to %v of %x for %s", i, old.State, old.Revision, member.State, member.Revision, member.Name)
		}
		w.known[pair] = member.Update
	}
}

// arrive has the i-th packet in flight arrive; keep has it arrive again later.
func (w *world) arrive(i int, keep bool) {
	out := w.inFlight[i]
	if !keep {
		w.inFlight = slices.Delete(slices.Clone(w.inFlight), i, i+1)
	}
	for router := range w.machines {
		if testAddr(router) == out.To && !w.dead[router] {
			p := *out.Packet
			w.step(router, &p)
		}
	}
}

// A move is its kind times ten and the number of a router or a packet in flight.
const (
	moveTimer = iota * 10
	moveArrive
	moveArriveCopy
	moveRestart
	moveKill
)

// moves returns what can happen next.
func (w *world) moves() (moves []byte) {
	routers := byte(len(w.machines))
	for i := range routers {
		if !w.dead[i] {
			moves = append(moves, moveTimer+i)
		}
	}
	for i := range w.inFlight {
		moves = append(moves, moveArrive+byte(i), moveArriveCopy+byte(i))
	}
	for i := range routers {
		if w.incarnations[i] < 2 {
			moves = append(moves, moveRestart+i)
		}
	}
	if !slices.Contains(w.dead, true) {
		moves = append(moves, moveKill+routers-1)
	}
	return moves
}

func (w *world) apply(move byte) {
	i := int(move % 10)
	switch kind := move - move%10; kind {
	case moveTimer:
		w.now[i] = max(w.now[i], w.wakeAt[i])
		w.step(i, nil)
	case moveArrive, moveArriveCopy:
		if i < len(w.inFlight) {
			w.arrive(i, kind == moveArriveCopy)
		}
	case moveRestart:
		w.start(i)
	case moveKill:
		w.dead[i] = true
	}
}

// digest is what two states that count as one have in common: times relative to each
// router's now, nonces by whether their request still waits.
func (w *world) digest() uint64 {
	var text strings.Builder
	for i, m := range w.machines {
		fmt.Fprint(&text, w.dead[i], w.incarnations[i], m.healthScore, m.superseded, m.self.Revision, len(m.broadcasts.entries),
			int(m.nextProbeAt-w.now[i]), len(m.unverified), m.probe.target != nil, '|')
		for _, member := range m.View().Members {
			fmt.Fprint(&text, member.ID, member.Revision, member.State)
			if r := m.peers[member.ID]; r != nil {
				fmt.Fprint(&text, r.replay.verified, r.replay.incarnation, int(max(0, r.suspicionDeadline-w.now[i])))
			}
		}
	}
	for _, out := range w.inFlight {
		p := out.Packet
		fmt.Fprint(&text, out.To, p.Kind, p.From.ID, p.From.Revision, w.awaited(out))
		for _, update := range p.Updates {
			fmt.Fprint(&text, update.ID, update.Revision, update.State)
		}
	}
	return xxhash.Sum64String(text.String())
}

// awaited reports whether the receiver of a packet waits for its nonce.
func (w *world) awaited(out OutgoingPacket) bool {
	for i, m := range w.machines {
		waits := func(request pendingRequest) bool { return request.nonce == out.Packet.Nonce }
		if testAddr(i) == out.To && slices.ContainsFunc(m.pending, waits) {
			return true
		}
	}
	return false
}

// heal lets all run without a fault and reports whether the views end equal.
func (w *world) heal() bool {
	now := slices.Max(w.now)
	start := now
	for end := now + healTime; now < end; {
		router := -1
		next := end
		for i := range w.machines {
			if at := max(now, w.wakeAt[i]); !w.dead[i] && at < next {
				next = at
				router = i
			}
		}
		now = next
		if router < 0 {
			break
		}
		for i := range w.now {
			w.now[i] = max(w.now[i], now)
		}
		w.step(router, nil)
		for n := 0; len(w.inFlight) > 0 && n < 50; n++ {
			w.arrive(0, false)
		}
		if now > start+failTime && w.equalViews() {
			return true
		}
	}
	return w.equalViews()
}

func (w *world) equalViews() bool {
	live := 0
	for _, dead := range w.dead {
		if !dead {
			live++
		}
	}
	firstLive := w.machines[slices.Index(w.dead, false)]
	for i, m := range w.machines {
		if !w.dead[i] && (m.PresentCount() != live || m.Checksums() != firstLive.Checksums()) {
			return false
		}
	}
	return true
}

func (w *world) views() (lines []string) {
	for i, m := range w.machines {
		for _, member := range m.View().Members {
			lines = append(lines, fmt.Sprintf("r%d dead %v: %s %v %x", i, w.dead[i], member.Name, member.State, member.Revision))
		}
	}
	return lines
}

// searchResult is what a search found.
type searchResult struct {
	states    int
	healed    int // of those
	depth     int // steps to the latest one
	path      []byte
	violation string // empty: none
}

// searchNode is a state with the moves that led to it.
type searchNode struct {
	world *world
	path  []byte
}

// search goes through states from a settled fleet on, the shallow ones first, up to the
// first path that breaks a rule. Every healEvery-th state is healed.
func search(routers, maxStates, healEvery int, disabledRule testRule) (result searchResult) {
	first := newWorld(routers, 0)
	first.heal()
	first.inFlight = nil
	first.disabledRule = disabledRule
	for _, m := range first.machines {
		m.disabledRule = disabledRule
	}
	visited := map[uint64]bool{}
	queue := []searchNode{{first, nil}}
	for len(queue) > 0 && result.states < maxStates {
		node := queue[0]
		queue = queue[1:]
		if node.world.violation != "" {
			result.depth = len(node.path)
			result.path = node.path
			result.violation = node.world.violation
			return result
		}
		digest := node.world.digest()
		if visited[digest] {
			continue
		}
		visited[digest] = true
		result.states++
		result.depth = len(node.path)
		if result.states%healEvery == 0 {
			result.healed++
			if violation := node.world.checkHeals(); violation != "" {
				result.path = node.path
				result.violation = violation
				return result
			}
		}
		if len(queue) <= min(4*maxStates, 100_000) { // else there are enough to go on with
			queue = append(queue, node.successors()...)
		}
	}
	return result
}

// checkHeals returns what is wrong after a copy of the world was healed, or nothing.
func (w *world) checkHeals() string {
	clone := w.clone()
	if clone.heal() && clone.violation == "" {
		return ""
	}
	return fmt.Sprintf("%s; at the end %v", clone.violation, clone.views())
}

func (n searchNode) successors() (nodes []searchNode) {
	for _, move := range n.world.moves() {
		next := n.world.clone()
		next.apply(move)
		nodes = append(nodes, searchNode{next, append(slices.Clone(n.path), move)})
	}
	return nodes
}

// No two views stay different once packets arrive, and an older update never replaces a
// newer one. GARNETLINE_STATES goes through more states than CI does.
func TestStateSearch(t *testing.T) {
	states := 6000
	if s, err := strconv.Atoi(os.Getenv("GARNETLINE_STATES")); err == nil {
		states = s
	}
	for _, routers := range []int{2, 3} {
		result := search(routers, states, 7, 0)
		t.Logf("%d routers: %d states up to %d steps, %d healed", routers, result.states, result.depth, result.healed)
		if result.violation != "" {
			t.Errorf("%d routers, steps %v: %s", routers, result.path, result.violation)
		}
	}
}

// Each rule that is disabled is noticed.
func TestStateSearchFindsDisabledRules(t *testing.T) {
	for rule, routers := range map[testRule]int{ruleOrdering: 2, ruleRefutation: 2} {
		result := search(routers, 20_000, 2, rule)
		if result.violation == "" {
			t.Errorf("rule %d is disabled, and %d states show nothing", rule, result.states)
		} else {
			t.Logf("rule %d disabled: found in state %d by %v: %s", rule, result.states, result.path, result.violation)
		}
	}
}
