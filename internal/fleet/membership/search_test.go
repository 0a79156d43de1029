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

// The search explores the states that a few routers, each with its own clock, can reach through
// these moves: a timer fires, a packet is delivered, duplicated or lost, a process is killed or
// restarted. The same moves always lead to the same state. The search treats states with equal
// digests as one state.

const (
	maxInFlight = 5 // maximum number of packets in flight; the oldest packets beyond it are lost
	// healDuration is the time for which the routers run without faults before their views must
	// be equal, in ms.
	healDuration = 60_000
	// failureDuration is the time after which a wrongly suspected router would have been declared
	// failed, in ms. Equal views are accepted only after this time, because such a failure may
	// follow until then.
	failureDuration = 8000
)

// searchState is a state of the search.
type searchState struct {
	machines     []*Machine
	sources      []*rand.PCG // random number source of each machine
	now          []float64
	wakeAt       []float64
	dead         []bool
	incarnations []uint64
	inFlight     []OutgoingPacket
	known        map[[2]ID]Update // latest update that the first router knows about the second
	disabledRule protocolRule
	violation    string // latest violation; empty: none
}

// clone returns an independent copy of the state.
func (s *searchState) clone() *searchState {
	clone := &searchState{
		sources:      make([]*rand.PCG, len(s.machines)),
		now:          slices.Clone(s.now),
		wakeAt:       slices.Clone(s.wakeAt),
		dead:         slices.Clone(s.dead),
		incarnations: slices.Clone(s.incarnations),
		inFlight:     slices.Clone(s.inFlight),
		known:        maps.Clone(s.known),
		disabledRule: s.disabledRule,
		violation:    s.violation,
	}
	for i, m := range s.machines {
		source := *s.sources[i]
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
		clonedPeer.suspectedBy = slices.Clone(r.suspectedBy)
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

func newSearchState(routers int, disabledRule protocolRule) *searchState {
	state := &searchState{
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
		state.start(i)
	}
	return state
}

// start starts a new process of the i-th router with the next incarnation.
func (s *searchState) start(i int) {
	settings := DefaultSettings()
	settings.GossipFanout = 1
	settings.IndirectProbes = 1
	settings.GossipInterval = 50
	s.incarnations[i]++
	self := Update{ID: ID(i + 1), Revision: FirstRevision(s.incarnations[i]), Name: "r" + strconv.Itoa(i), Addr: testAddr(i)}
	s.sources[i] = rand.NewPCG(uint64(i), s.incarnations[i])
	s.machines[i] = New(settings, self, []netip.AddrPort{testAddr(0)}, rand.New(s.sources[i]), nil, s.now[i])
	s.machines[i].disabledRule = s.disabledRule
	s.dead[i] = false
	s.wakeAt[i] = s.now[i]
	for pair := range s.known {
		if pair[0] == self.ID {
			delete(s.known, pair) // a new incarnation knows no other router
		}
	}
}

// step steps a router and checks that the router does not replace an update with an older one.
func (s *searchState) step(i int, p *Packet) {
	out := s.machines[i].Step(s.now[i], p)
	s.wakeAt[i] = out.WakeAt
	s.inFlight = append(s.inFlight, out.Packets...)
	s.inFlight = s.inFlight[max(0, len(s.inFlight)-maxInFlight):]
	for _, member := range s.machines[i].View().Members {
		pair := [2]ID{ID(i + 1), member.ID}
		if old, known := s.known[pair]; known && newer(&old, &member.Update) {
			s.violation = fmt.Sprintf("r%d replaced state %v at revision %x with older state %v at revision %x for %s", i, old.State, old.Revision, member.State, member.Revision, member.Name)
		}
		s.known[pair] = member.Update
	}
}

// deliver delivers the i-th packet in flight. If the argument keep is true, the packet stays in
// flight and can be delivered again.
func (s *searchState) deliver(i int, keep bool) {
	out := s.inFlight[i]
	if !keep {
		s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
	}
	for router := range s.machines {
		if testAddr(router) == out.To && !s.dead[router] {
			p := *out.Packet
			s.step(router, &p)
		}
	}
}

// Kinds of moves. A move is encoded as its kind plus the index of a router or of a packet in
// flight, which is below 10.
const (
	moveTimer = iota * 10
	moveDeliver
	moveDuplicate
	moveRestart
	moveKill
)

// moves returns the moves that are possible in this state.
func (s *searchState) moves() (moves []byte) {
	routers := byte(len(s.machines))
	for i := range routers {
		if !s.dead[i] {
			moves = append(moves, moveTimer+i)
		}
	}
	for i := range s.inFlight {
		moves = append(moves, moveDeliver+byte(i), moveDuplicate+byte(i))
	}
	for i := range routers {
		if s.incarnations[i] < 2 {
			moves = append(moves, moveRestart+i)
		}
	}
	if !slices.Contains(s.dead, true) {
		moves = append(moves, moveKill+routers-1)
	}
	return moves
}

func (s *searchState) apply(move byte) {
	i := int(move % 10)
	switch kind := move - move%10; kind {
	case moveTimer:
		s.now[i] = max(s.now[i], s.wakeAt[i])
		s.step(i, nil)
	case moveDeliver, moveDuplicate:
		if i < len(s.inFlight) {
			s.deliver(i, kind == moveDuplicate)
		}
	case moveRestart:
		s.start(i)
	case moveKill:
		s.dead[i] = true
	}
}

// digest returns a hash of the state. The search treats states with equal hashes as one state. The
// hash covers times relative to each router's clock. It does not cover the nonce of a packet, but
// whether the request with that nonce is still pending.
func (s *searchState) digest() uint64 {
	var text strings.Builder
	for i, m := range s.machines {
		fmt.Fprint(&text, s.dead[i], s.incarnations[i], m.healthScore, m.superseded, m.self.Revision, len(m.broadcasts.entries),
			int(m.nextProbeAt-s.now[i]), len(m.unverified), m.probe.target != nil, '|')
		for _, member := range m.View().Members {
			fmt.Fprint(&text, member.ID, member.Revision, member.State)
			if r := m.peers[member.ID]; r != nil {
				fmt.Fprint(&text, r.replay.verified, r.replay.incarnation, int(max(0, r.suspicionDeadline-s.now[i])))
			}
		}
	}
	for _, out := range s.inFlight {
		p := out.Packet
		fmt.Fprint(&text, out.To, p.Kind, p.From.ID, p.From.Revision, s.isAwaited(out))
		for _, update := range p.Updates {
			fmt.Fprint(&text, update.ID, update.Revision, update.State)
		}
	}
	return xxhash.Sum64String(text.String())
}

// isAwaited reports whether the receiver of a packet has a pending request with the packet's nonce.
func (s *searchState) isAwaited(out OutgoingPacket) bool {
	for i, m := range s.machines {
		matches := func(request pendingRequest) bool { return request.nonce == out.Packet.Nonce }
		if testAddr(i) == out.To && slices.ContainsFunc(m.pending, matches) {
			return true
		}
	}
	return false
}

// heal runs all routers without faults and reports whether their views become equal.
func (s *searchState) heal() bool {
	now := slices.Max(s.now)
	start := now
	for end := now + healDuration; now < end; {
		router := -1
		next := end
		for i := range s.machines {
			if at := max(now, s.wakeAt[i]); !s.dead[i] && at < next {
				next = at
				router = i
			}
		}
		now = next
		if router < 0 {
			break
		}
		for i := range s.now {
			s.now[i] = max(s.now[i], now)
		}
		s.step(router, nil)
		for n := 0; len(s.inFlight) > 0 && n < 50; n++ {
			s.deliver(0, false)
		}
		if now > start+failureDuration && s.equalViews() {
			return true
		}
	}
	return s.equalViews()
}

func (s *searchState) equalViews() bool {
	live := 0
	for _, dead := range s.dead {
		if !dead {
			live++
		}
	}
	firstLive := s.machines[slices.Index(s.dead, false)]
	for i, m := range s.machines {
		if !s.dead[i] && (m.PresentCount() != live || m.Checksums() != firstLive.Checksums()) {
			return false
		}
	}
	return true
}

func (s *searchState) views() (lines []string) {
	for i, m := range s.machines {
		for _, member := range m.View().Members {
			lines = append(lines, fmt.Sprintf("r%d (dead: %v) sees %s as %v at revision %x", i, s.dead[i], member.Name, member.State, member.Revision))
		}
	}
	return lines
}

// searchResult is the result of a search.
type searchResult struct {
	states    int    // number of states visited
	healed    int    // number of visited states that were healed
	depth     int    // number of moves to the last state
	path      []byte // moves to the violation
	violation string // empty: none
}

// searchNode is a state with the moves that led to it.
type searchNode struct {
	state *searchState
	path  []byte
}

// search explores states breadth-first, starting from routers with equal views, until it finds a
// violation or has visited maxStates states. It heals each healEvery-th state and checks that the
// views then become equal again.
func search(routers, maxStates, healEvery int, disabledRule protocolRule) (result searchResult) {
	first := newSearchState(routers, 0)
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
		if node.state.violation != "" {
			result.depth = len(node.path)
			result.path = node.path
			result.violation = node.state.violation
			return result
		}
		digest := node.state.digest()
		if visited[digest] {
			continue
		}
		visited[digest] = true
		result.states++
		result.depth = len(node.path)
		if result.states%healEvery == 0 {
			result.healed++
			if violation := node.state.checkHeals(); violation != "" {
				result.path = node.path
				result.violation = violation
				return result
			}
		}
		if len(queue) <= min(4*maxStates, 100_000) { // the search would end before it reaches the end of a longer queue
			queue = append(queue, node.successors()...)
		}
	}
	return result
}

// checkHeals heals a copy of the state. It returns an empty string if the views became equal
// without a violation, and a description of the violation otherwise.
func (s *searchState) checkHeals() string {
	clone := s.clone()
	if clone.heal() && clone.violation == "" {
		return ""
	}
	return fmt.Sprintf("violation while healing (if any): %s; final views: %v", clone.violation, clone.views())
}

func (n searchNode) successors() (nodes []searchNode) {
	for _, move := range n.state.moves() {
		next := n.state.clone()
		next.apply(move)
		nodes = append(nodes, searchNode{next, append(slices.Clone(n.path), move)})
	}
	return nodes
}

// All views become equal after packets arrive without faults. An older update never replaces a
// newer update. The environment variable GARNETLINE_STATES sets the number of states to visit.
func TestStateSearch(t *testing.T) {
	states := 6000
	if s, err := strconv.Atoi(os.Getenv("GARNETLINE_STATES")); err == nil {
		states = s
	}
	for _, routers := range []int{2, 3} {
		result := search(routers, states, 7, 0)
		t.Logf("%d routers: visited %d states with up to %d moves, healed %d", routers, result.states, result.depth, result.healed)
		if result.violation != "" {
			t.Errorf("%d routers, moves %v: %s", routers, result.path, result.violation)
		}
	}
}

// For each rule of the protocol that a test can disable, the search finds a violation while the
// rule is disabled.
func TestStateSearchFindsDisabledRules(t *testing.T) {
	for rule, routers := range map[protocolRule]int{ruleOrdering: 2, ruleRefutation: 2} {
		result := search(routers, 20_000, 2, rule)
		if result.violation == "" {
			t.Errorf("rule %d disabled: got no violation in %d states, want a violation", rule, result.states)
		} else {
			t.Logf("rule %d disabled: violation in state %d after moves %v: %s", rule, result.states, result.path, result.violation)
		}
	}
}
