package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxUnverified      = 64   // packets of routers that have not proven themselves yet
	maxPendingRequests = 1024 // that wait for an answer
	maxSyncPackets     = 16   // packets of one answer to Ask
	packetBudget       = 1150 // bytes of words and items in one packet
	// stallPeriods is how many periods late a step must be for its router to take itself for
	// one that was stopped.
	stallPeriods = 2
	// recentPeriods is for how many periods one that was heard of is asked at once when another
	// suspects it.
	recentPeriods = 8
)

// Machine is one router's knowledge of the others. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	self     Update
	seeds    []netip.AddrPort
	rng      *rand.Rand
	store    ItemStore
	output   *Output
	now      float64
	wakeAt   float64
	sequence uint64

	peers        map[ID]*peer
	idsByName    map[string]ID // who of that name is there
	present      []*peer       // those that are there, in the order of probing
	probeIndex   int
	suspects     []*peer
	departed     []*peer // failed or left, and not forgotten
	checksums    [BucketCount]uint32
	selfChecksum uint32 // this router's part of its sum

	healthScore int
	probe       activeProbe
	pending     []pendingRequest
	relays      []relayedProbe
	unverified  []unverifiedPacket
	broadcasts  broadcastQueue

	nextProbeAt, nextGossipAt, nextSyncAt, nextReconnectAt float64
	syncInterval                                           float64

	lastReceivedAt    float64 // the latest packet of anybody
	left, superseded  bool
	Replays           int64 // packets that were dropped as old
	Rejected          int64 // routers for which there was no room
	reportedConflicts map[string]bool
	disabledRule      testRule // tests alone
}

// testRule is one that a test switches off, to see that it finds that out.
type testRule uint8

const (
	ruleOrdering   testRule = 1 + iota // an older word never beats a newer one
	ruleRefutation                     // a router that is told as gone says that it is not
)

// peer is what is known of another router.
type peer struct {
	Update
	stateSince     float64
	lastReceivedAt float64 // the latest packet of its own; 0: never
	replay         replayWindow
	direct         bool // the latest probe was answered without help
	lastHelper     ID   // the helper through whom it answered latest

	accusers                       []ID // who suspects it, the first accuser first
	suspectedAt, suspicionDeadline float64
	checks                         int // of the suspicion, so far
}

// nextCheckAt is when one that is suspect is asked once more, after so many checks.
//
// Symptom guarded against: of 30 routers at 5% loss one in a thousand suspicions ended in
// a failure, at a router that gossip had passed by with the refutation and that did not
// meet the accused in the meantime.
func (r *peer) nextCheckAt() float64 {
	switch r.checks {
	case 0:
		return r.suspectedAt + (r.suspicionDeadline-r.suspectedAt)/2
	case 1:
		return r.suspectedAt + (r.suspicionDeadline-r.suspectedAt)*3/4
	}
	return math.Inf(1)
}

// replayWindow takes each packet of one life once, and none that is much older than the
// newest. It is open once that life has answered a question of this router: a recorded
// packet can not.
type replayWindow struct {
	incarnation uint64
	verified    bool
	highest     uint64
	seen        uint64 // the 64 counts up to high, as bits
}

func (w *replayWindow) accept(n uint64) bool {
	switch {
	case n > w.highest:
		if d := n - w.highest; d < 64 {
			w.seen = w.seen<<d | 1
		} else {
			w.seen = 1
		}
		w.highest = n
		return true
	case w.highest-n >= 64 || w.seen>>(w.highest-n)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.highest - n)
	return true
}

// pendingRequest is one that a later packet may answer.
type pendingRequest struct {
	nonce     uint64
	target    ID // 0: whoever answers
	expiresAt float64
	sync      bool
}

// New returns a machine that knows itself alone. self is alive, with the incarnation of
// its life; seeds are addresses at which others may be. shelf may be nil.
func New(set Settings, self Update, seeds []netip.AddrPort, rng *rand.Rand, shelf ItemStore, now float64) *Machine {
	m := &Machine{settings: set, self: self, seeds: slices.Clone(seeds), rng: rng, store: shelf, now: now, wakeAt: now,
		peers: map[ID]*peer{}, idsByName: map[string]ID{self.Name: self.ID}, reportedConflicts: map[string]bool{},
		nextProbeAt: now + rng.Float64()*set.ProbeInterval, nextGossipAt: math.Inf(1), nextReconnectAt: now, syncInterval: min(set.ReconnectInterval, set.SyncInterval), nextSyncAt: now + min(set.ReconnectInterval, set.SyncInterval)*(0.5+rng.Float64())}
	m.updateSelfChecksum()
	return m
}

// Step brings the machine to now and has it take a packet, which may be nil.
func (m *Machine) Step(now float64, p *Packet) Output {
	var out Output
	m.output = &out
	late := now - m.wakeAt
	m.now = max(m.now, now)
	if late > stallPeriods*m.settings.ProbeInterval+m.settings.ProbeTimeout {
		m.handleStall(late)
	}
	if p != nil && !m.left {
		m.handlePacket(p)
	}
	if !m.left {
		m.runTimers()
	}
	m.output = nil
	out.WakeAt = m.nextWakeAt()
	m.wakeAt = max(out.WakeAt, m.now)
	return out
}

// handleStall forgives the others the time in which this router did nothing.
//
// Symptom guarded against: a router stopped for 30 s woke, found every probe unanswered
// and every suspicion run out, and told the fleet that all of it had failed.
func (m *Machine) handleStall(late float64) {
	m.probe.target = nil
	for _, r := range m.suspects {
		r.suspectedAt += late
		r.suspicionDeadline += late
	}
	m.raiseHealthScore(1)
	m.nextProbeAt, m.nextSyncAt, m.syncInterval = m.now+m.settings.ProbeInterval, m.now, min(m.settings.ReconnectInterval, m.settings.SyncInterval)
	m.output.addEvent("woken", m.self, "late by a stall of its own")
}

func (m *Machine) runTimers() {
	if m.superseded { // its successor judges; it only asks whether that one is still there
		if m.nextReconnectAt <= m.now {
			m.nextReconnectAt = m.now + m.settings.ReconnectInterval
			if r := m.randomPeer(nil); r != nil {
				m.requestSync(r.Addr, r.ID)
			}
		}
		return
	}
	for i := 0; i < len(m.suspects); i++ {
		if r := m.suspects[i]; r.suspicionDeadline <= m.now {
			w := r.Update
			w.State, w.ReportedBy = Failed, m.self.ID
			m.applyUpdate(w, "nobody refuted in time")
			i--
		} else if r.nextCheckAt() <= m.now {
			r.checks++
			m.recheckSuspect(r)
		}
	}
	m.runProbe()
	m.runRelays()
	if m.nextReconnectAt <= m.now {
		m.nextReconnectAt = m.now + m.settings.ReconnectInterval*(0.75+m.rng.Float64()/2)
		m.reconnect()
	}
	if m.nextSyncAt <= m.now {
		// Soon again while views differ, and ever more rarely where they do not.
		m.nextSyncAt = m.now + m.syncInterval*(0.75+m.rng.Float64()/2)
		m.syncInterval = min(m.settings.SyncInterval, 1.5*m.syncInterval)
		if r := m.randomPeer(nil); r != nil {
			m.requestSync(r.Addr, r.ID)
		}
	}
	if m.nextGossipAt <= m.now {
		m.nextGossipAt = math.Inf(1)
		m.sendGossip()
	}
	m.pending = slices.DeleteFunc(m.pending, func(q pendingRequest) bool { return q.expiresAt <= m.now })
}

// nextWakeAt is when something is to be done.
func (m *Machine) nextWakeAt() float64 {
	if m.left {
		return math.Inf(1)
	}
	if m.superseded {
		return m.nextReconnectAt
	}
	t := min(m.nextProbeAt, m.nextReconnectAt, m.nextSyncAt, m.nextGossipAt)
	if m.probe.target != nil && !m.probe.helpRequested {
		t = min(t, m.probe.helpAt)
	}
	for _, r := range m.suspects {
		t = min(t, r.suspicionDeadline, r.nextCheckAt())
	}
	for _, r := range m.relays {
		t = min(t, r.deadline)
	}
	return t
}

// handlePacket takes a packet whose seal held.
func (m *Machine) handlePacket(p *Packet) {
	life := p.From.Incarnation()
	if p.From.ID == m.self.ID {
		m.applySelfUpdate(p.From)
		return
	}
	r := m.peers[p.From.ID]
	if r != nil && life < r.Incarnation() {
		m.Replays++ // the process before, or its recorded packets
		if p.Kind == SyncRequest || p.Kind == Ping {
			// If it still lives it is to know: that it has a successor, or that this one is gone.
			m.send(p.From.Addr, nil, &Packet{Kind: Gossip, Updates: []Update{r.Update}})
		}
		return
	}
	proven := r != nil && r.replay.verified && r.replay.incarnation == life
	if proven && !r.replay.accept(p.Sequence) {
		m.Replays++
		return
	}
	q, answer := m.matchRequest(p)
	if !proven && answer {
		m.applyUpdate(p.From, "answered")
		if r = m.peers[p.From.ID]; r == nil {
			return // no room
		}
		r.replay = replayWindow{incarnation: life, verified: true, highest: p.Sequence, seen: 1}
		r.direct = true
		proven = true
	}
	if !proven {
		m.challenge(p)
		return
	}
	m.handleVerified(r, p, q, answer)
	for i, h := range m.unverified {
		if h.packet.From.ID == r.ID {
			m.unverified = slices.Delete(m.unverified, i, i+1)
			if h.packet.From.Incarnation() == life && r.replay.accept(h.packet.Sequence) {
				m.handleVerified(r, h.packet, pendingRequest{}, false)
			}
			break
		}
	}
}

// unverifiedPacket is a packet that waits for its sender to prove itself.
type unverifiedPacket struct {
	packet    *Packet
	expiresAt float64
}

// challenge asks one that has not proven to be there now for an answer, and keeps what
// it brought until then.
func (m *Machine) challenge(p *Packet) {
	if p.Kind == Ping && (p.Target == m.self.ID || p.Target == 0) {
		m.send(p.From.Addr, nil, &Packet{Kind: Ack, Nonce: p.Nonce, Target: m.self.ID})
		p.Kind = Gossip // it is answered
	}
	if p.Kind == Ack || p.Kind == Nack || p.Kind == SyncResponse {
		return // answers nothing of ours
	}
	m.unverified = slices.DeleteFunc(m.unverified, func(h unverifiedPacket) bool { return h.expiresAt <= m.now || h.packet.From.ID == p.From.ID })
	if len(m.unverified) == maxUnverified { // the oldest has had its chance
		m.unverified = m.unverified[1:]
	}
	m.unverified = append(m.unverified, unverifiedPacket{p, m.now + 4*m.settings.ProbeInterval})
	m.send(p.From.Addr, nil, &Packet{Kind: Ping, Nonce: m.newRequest(p.From.ID, false), Target: p.From.ID})
}

// handleVerified takes a packet of one that has proven itself.
func (m *Machine) handleVerified(r *peer, p *Packet, q pendingRequest, answer bool) {
	r.lastReceivedAt, m.lastReceivedAt = m.now, m.now
	accused := r.State == Suspect
	m.applyUpdate(p.From, "its own word")
	if accused && r.State == Alive { // who accused it is told at once, not when chance has it
		for _, id := range r.accusers {
			if x := m.peers[id]; x != nil && x.State.Present() {
				m.send(x.Addr, x, &Packet{Kind: Gossip, Updates: []Update{r.Update}})
			}
		}
	}
	var right []Update
	for i := range p.Updates {
		w := &p.Updates[i]
		m.applyUpdate(*w, "told")
		// One who accuses by a word that is out of date has missed the refutation, and may
		// be about to fail a router that lives: it is put right at once.
		if x := m.peers[w.ID]; x != nil && w.State != Alive && x.State == Alive && newer(&x.Update, w) && len(right) < 8 {
			right = append(right, x.Update)
		}
	}
	if right != nil {
		m.send(r.Addr, r, &Packet{Kind: Gossip, Updates: right})
	}
	for _, it := range p.Items {
		if m.store != nil && m.store.Receive(m.now, r.ID, it) {
			m.Broadcast(it)
		}
	}
	switch p.Kind {
	case Ping:
		if p.Target == m.self.ID || p.Target == 0 {
			m.send(r.Addr, r, &Packet{Kind: Ack, Nonce: p.Nonce, Target: m.self.ID})
		}
	case Ack, Nack:
		m.handleProbeReply(r, p)
	case IndirectPing:
		m.startRelay(r, p)
	case Data:
		if len(p.Payload) > 0 {
			m.output.Payloads = append(m.output.Payloads, Payload{r.ID, r.Incarnation(), p.Payload})
		}
	case SyncRequest:
		m.sendDifferences(r, p, SyncResponse)
	case SyncResponse:
		if answer && q.sync && p.Checksums != nil {
			m.sendDifferences(r, p, Gossip)
		}
	}
}

// matchRequest finds the question that a packet answers. A question for the view is answered
// by several packets.
func (m *Machine) matchRequest(p *Packet) (pendingRequest, bool) {
	if p.Kind != Ack && p.Kind != Nack && p.Kind != SyncResponse {
		return pendingRequest{}, false
	}
	for _, q := range m.pending {
		if q.nonce == p.Nonce && (q.target == 0 || q.target == p.From.ID) {
			return q, true
		}
	}
	return pendingRequest{}, false
}

// newRequest returns the number of a new question.
func (m *Machine) newRequest(of ID, ask bool) uint64 {
	if len(m.pending) == maxPendingRequests {
		m.pending = m.pending[1:]
	}
	n := m.rng.Uint64() | 1
	m.pending = append(m.pending, pendingRequest{n, of, m.now + 4*m.settings.ProbeInterval*float64(1+m.healthScore), ask})
	return n
}

// applyUpdate books what is told of a router, if it is newer than what is known.
func (m *Machine) applyUpdate(w Update, cause string) {
	if w.ID == m.self.ID {
		m.applySelfUpdate(w)
		return
	}
	if !w.Addr.IsValid() {
		return
	}
	r := m.peers[w.ID]
	if r != nil && w.State == Failed && r.State == Alive && r.lastReceivedAt > 0 && m.now-r.lastReceivedAt <= recentPeriods*m.settings.ProbeInterval {
		// No suspicion came before it, and it was heard of a moment ago: a cut healed, whose
		// other side had failed it. It is asked before it is believed to be gone.
		w.State = Suspect
	}
	switch {
	case r == nil && !w.State.Present():
		return // forgotten, or never known
	case r == nil:
		if len(m.peers) >= m.settings.MaxMembers {
			if m.Rejected++; m.Rejected == 1 {
				m.output.addEvent("full", w, "no room for more routers")
			}
			return
		}
		r = &peer{Update: w, stateSince: m.now}
		m.peers[w.ID] = r
		m.addPresent(r)
		m.toggleChecksum(r)
		m.startSuspicion(r)
		m.output.addEvent("joined", w, cause)
	case w.State == Suspect && r.State == Suspect && w.Revision == r.Revision:
		m.confirmSuspicion(r, w)
		return
	case !newer(&w, &r.Update) && m.disabledRule != ruleOrdering:
		return
	default:
		m.replaceUpdate(r, w, cause)
		if r.State == Suspect && w.ReportedBy != m.self.ID && r.lastReceivedAt > 0 && m.now-r.lastReceivedAt <= recentPeriods*m.settings.ProbeInterval {
			// Heard of a moment ago: it is told at once, and what it says is passed on. Where
			// two sides see each other through one router, nobody else can.
			m.send(r.Addr, r, &Packet{Kind: Ping, Nonce: m.newRequest(r.ID, false), Target: r.ID})
		}
	}
	m.output.ViewChanged = true
	m.broadcasts.addUpdate(r.Update)
	m.scheduleGossip()
}

// replaceUpdate goes over to a newer word.
func (m *Machine) replaceUpdate(r *peer, w Update, cause string) {
	old := r.Update
	m.stopSuspicion(r)
	m.toggleChecksum(r)
	if old.Revision != w.Revision || old.State != w.State {
		r.stateSince = m.now
	}
	r.Update = w
	switch {
	case !old.State.Present() && w.State.Present():
		m.departed = slices.DeleteFunc(m.departed, func(x *peer) bool { return x == r })
		m.addPresent(r)
	case old.State.Present() && !w.State.Present():
		m.present = slices.DeleteFunc(m.present, func(x *peer) bool { return x == r })
		m.departed = append(m.departed, r)
		if m.idsByName[old.Name] == r.ID {
			delete(m.idsByName, old.Name)
		}
	}
	m.toggleChecksum(r)
	m.startSuspicion(r)
	switch {
	case w.State != old.State && w.State != Alive:
		m.output.addEvent(w.State.String(), w, cause)
	case w.Incarnation() != old.Incarnation():
		m.output.addEvent("joined", w, "a new life: "+cause)
	case w.State != old.State:
		m.output.addEvent("back", w, cause)
	}
}

// startSuspicion begins a suspicion, leave ends one.
func (m *Machine) startSuspicion(r *peer) {
	if r.State == Suspect {
		r.accusers = append(r.accusers[:0], r.ReportedBy)
		r.suspectedAt, r.checks = m.now, 0
		r.suspicionDeadline = m.now + m.suspicionTimeout(0)
		m.suspects = append(m.suspects, r)
	}
}

func (m *Machine) stopSuspicion(r *peer) {
	if r.State == Suspect {
		m.suspects = slices.DeleteFunc(m.suspects, func(x *peer) bool { return x == r })
	}
}

// addPresent puts one that is there into the round, at a place drawn by chance.
func (m *Machine) addPresent(r *peer) {
	m.present = append(m.present, r)
	i := m.rng.IntN(len(m.present))
	last := len(m.present) - 1
	m.present[i], m.present[last] = m.present[last], m.present[i]
	if other, ok := m.idsByName[r.Name]; ok && other != r.ID {
		m.reportConflict(r.Update, "two routers have this name")
	} else {
		m.idsByName[r.Name] = r.ID
	}
}

// reportConflict tells loudly, once for each router, that two have one name or one seat.
func (m *Machine) reportConflict(w Update, cause string) {
	key := cause + w.ID.String()
	if !m.reportedConflicts[key] && len(m.reportedConflicts) < 256 {
		m.reportedConflicts[key] = true
		m.output.addEvent("conflict", w, cause)
	}
}

// confirmSuspicion counts one more router that suspects, which shortens the suspicion.
func (m *Machine) confirmSuspicion(r *peer, w Update) {
	if len(r.accusers) > m.settings.SuspicionConfirmations || slices.Contains(r.accusers, w.ReportedBy) {
		return
	}
	r.accusers = append(r.accusers, w.ReportedBy)
	r.suspicionDeadline = r.suspectedAt + m.suspicionTimeout(len(r.accusers)-1)
	m.broadcasts.addUpdate(w)
	m.scheduleGossip()
}

// suspicionTimeout is how long one may be suspect after so many confirmations.
func (m *Machine) suspicionTimeout(confirmed int) float64 {
	n := len(m.present) + 1
	short := max(m.settings.MinSuspicionTimeout, m.settings.SuspicionMult*math.Log10(max(10, float64(n)))*m.settings.ProbeInterval)
	k := min(m.settings.SuspicionConfirmations, n-2) // the accused and the first accuser do not confirm
	if k < 1 {
		return short
	}
	long := m.settings.MaxSuspicionMult * short
	return max(short, long-(long-short)*math.Log(float64(confirmed+1))/math.Log(float64(k+1)))
}

// applySelfUpdate takes what is told of this router's own seat.
func (m *Machine) applySelfUpdate(w Update) {
	mine := m.self.Incarnation()
	switch {
	case w.Incarnation() < mine:
	case w.Incarnation() > mine && w.State.Present():
		// The successor in an upgrade, or one that was started by mistake with a copy of
		// this router's state folder. Either way there is one member, and it is that one.
		if !m.superseded {
			m.superseded = true
			m.output.addEvent("superseded", w, "a later process has this router's seat")
		}
	case w.Incarnation() > mine:
		m.self.Revision = FirstRevision(w.Incarnation() + 1)
		m.announceSelf("the later process of its seat is gone")
	case w.State != Alive && w.Revision >= m.self.Revision && m.disabledRule != ruleRefutation:
		m.self.Revision = w.Revision + 1
		m.raiseHealthScore(1)
		m.announceSelf("told as " + w.State.String())
	case w.State == Alive && (w.Addr != m.self.Addr || w.Revision > m.self.Revision):
		m.reportConflict(w, "another process has this router's seat and life")
	}
}

// announceSelf spreads this router's new incarnation.
func (m *Machine) announceSelf(cause string) {
	m.superseded = false
	m.updateSelfChecksum()
	m.output.addEvent("refuted", m.self, cause)
	m.output.ViewChanged = true
	m.broadcasts.addUpdate(m.self)
	m.scheduleGossip()
}

// SendPayload has something carried to another machine of a router, which may get lost. Nothing
// is sent to one that is not there.
func (m *Machine) SendPayload(now float64, to ID, load []byte) (out Output) {
	m.output, m.now = &out, max(m.now, now)
	if r := m.peers[to]; r != nil && r.State.Present() && len(load) <= MaxPayloadLen && !m.left {
		m.send(r.Addr, nil, &Packet{Kind: Data, Payload: load})
	}
	m.output = nil
	return out
}

// Leave tells the others that this router goes. Nothing is sent after it.
func (m *Machine) Leave(now float64) Output {
	var out Output
	m.output, m.now = &out, max(m.now, now)
	if !m.left && !m.superseded {
		m.self.State = Left
		w := m.self
		w.ReportedBy = w.ID
		for range min(8, len(m.present)) {
			r := m.randomPeer(nil)
			p := &Packet{Kind: Gossip, Updates: []Update{w}}
			m.send(r.Addr, nil, p)
		}
	}
	m.left, m.output = true, nil
	out.WakeAt = math.Inf(1)
	return out
}

func (m *Machine) raiseHealthScore(by int) {
	m.healthScore = min(m.settings.MaxHealthScore, m.healthScore+by)
}
func (m *Machine) lowerHealthScore(by int) { m.healthScore = max(0, m.healthScore-by) }

// toggleChecksum adds a router to, or takes it out of, the sums by which views are compared.
func (m *Machine) toggleChecksum(r *peer) {
	if r.State.Present() {
		m.checksums[r.ID%BucketCount] ^= peerChecksum(r.ID, r.Revision)
	}
}

func (m *Machine) updateSelfChecksum() {
	b := m.self.ID % BucketCount
	m.checksums[b] ^= m.selfChecksum
	m.selfChecksum = peerChecksum(m.self.ID, m.self.Revision)
	m.checksums[b] ^= m.selfChecksum
}

func peerChecksum(id ID, inc uint64) uint32 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(uint64(id)>>(8*i)), byte(inc>>(8*i))
	}
	return uint32(xxhash.Sum64(b[:]))
}
