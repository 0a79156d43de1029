package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// stallPeriods is by how many probe intervals a step must be late for this router to
// conclude that it was stopped.
const stallPeriods = 2

// leaveNotices is to how many routers one that leaves says so, at the most.
const leaveNotices = 8

// Machine is what one router knows of the others. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	self     Update
	seeds    []netip.AddrPort
	rng      *rand.Rand
	store    ItemStore
	output   *Output // of the call that runs
	now      float64
	wakeAt   float64
	sequence uint64 // of the latest packet sent

	peers        map[ID]*peer
	idsByName    map[string]ID // of those that are present
	present      []*peer       // in the order of probing
	probeIndex   int           // into present
	suspects     []*peer
	departed     []*peer // failed or left, and not forgotten
	checksums    [BucketCount]uint32
	selfChecksum uint32 // this router's part of its bucket

	healthScore int
	probe       activeProbe
	pending     []pendingRequest
	relays      []relayedProbe
	unverified  []unverifiedPacket
	broadcasts  broadcastQueue

	nextProbeAt     float64
	nextGossipAt    float64
	nextSyncAt      float64
	nextReconnectAt float64
	syncInterval    float64

	lastReceivedAt    float64 // the latest packet of anybody
	left              bool
	superseded        bool  // a later process has this router's ID
	Replays           int64 // packets dropped as old or repeated
	Rejected          int64 // routers beyond the member limit
	reportedConflicts map[string]bool
	disabledRule      testRule // set by tests alone
}

// testRule is a rule of the protocol that a test disables, to see that it notices.
type testRule uint8

const (
	ruleOrdering   testRule = 1 + iota // an older update never replaces a newer one
	ruleRefutation                     // a router that is held for gone says that it is not
)

// New returns a machine that knows itself alone. self is alive, with the first revision of
// its incarnation; seeds are addresses at which others may be. store may be nil.
func New(settings Settings, self Update, seeds []netip.AddrPort, rng *rand.Rand, store ItemStore, now float64) *Machine {
	machine := &Machine{
		settings:          settings,
		self:              self,
		seeds:             slices.Clone(seeds),
		rng:               rng,
		store:             store,
		now:               now,
		wakeAt:            now,
		peers:             map[ID]*peer{},
		idsByName:         map[string]ID{self.Name: self.ID},
		reportedConflicts: map[string]bool{},
		nextGossipAt:      math.Inf(1),
		nextReconnectAt:   now,
	}
	machine.nextProbeAt = now + rng.Float64()*settings.ProbeInterval
	machine.syncInterval = machine.shortestSyncInterval()
	machine.nextSyncAt = now + machine.syncInterval*(0.5+rng.Float64())
	machine.updateSelfChecksum()
	return machine
}

// Step brings the machine to now, in ms, and handles a packet, which may be nil.
func (m *Machine) Step(now float64, packet *Packet) Output {
	var out Output
	m.output = &out
	late := now - m.wakeAt
	m.now = max(m.now, now)
	if late > stallPeriods*m.settings.ProbeInterval+m.settings.ProbeTimeout {
		m.handleStall(late)
	}
	if packet != nil && !m.left {
		m.handlePacket(packet)
	}
	if !m.left {
		m.runTimers()
	}
	m.output = nil
	out.WakeAt = m.nextWakeAt()
	m.wakeAt = max(out.WakeAt, m.now)
	return out
}

// SendPayload sends a payload to another state machine of a router. It may get lost, and is
// not sent to a router that is not present.
func (m *Machine) SendPayload(now float64, to ID, payload []byte) (out Output) {
	m.output = &out
	m.now = max(m.now, now)
	if r := m.peers[to]; r != nil && r.State.Present() && len(payload) <= MaxPayloadLen && !m.left {
		m.send(r.Addr, nil, &Packet{Kind: Data, Payload: payload})
	}
	m.output = nil
	return out
}

// Leave tells the others that this router leaves. Nothing is sent after it.
func (m *Machine) Leave(now float64) Output {
	var out Output
	m.output = &out
	m.now = max(m.now, now)
	if !m.left && !m.superseded {
		m.self.State = Left
		update := m.self
		update.ReportedBy = update.ID
		for range min(leaveNotices, len(m.present)) {
			m.send(m.randomPeer(nil).Addr, nil, &Packet{Kind: Gossip, Updates: []Update{update}})
		}
	}
	m.left = true
	m.output = nil
	out.WakeAt = math.Inf(1)
	return out
}

// SetSeeds replaces the addresses at which others may be.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) { m.seeds = slices.Clone(seeds) }

// InjectUpdate broadcasts an update about another router as if this one believed it. It is
// for tests of what a router that has the key can do wrongly.
func (m *Machine) InjectUpdate(update Update) {
	m.output = &Output{}
	m.applyUpdate(update, "injected by a test")
	m.output = nil
}

// handleStall makes up for the time in which this router did nothing.
//
// Symptom guarded against: a router stopped for 30 s woke, found every probe unanswered
// and every suspicion expired, and told the fleet that all of it had failed.
func (m *Machine) handleStall(late float64) {
	m.probe.target = nil
	for _, suspect := range m.suspects {
		suspect.suspectedAt += late
		suspect.suspicionDeadline += late
	}
	m.raiseHealthScore(1)
	m.nextProbeAt = m.now + m.settings.ProbeInterval
	m.nextSyncAt = m.now
	m.syncInterval = m.shortestSyncInterval()
	m.output.addEvent(EventStalled, m.self, "this router was stalled")
}

// runTimers does what is due.
func (m *Machine) runTimers() {
	if m.superseded {
		m.pollSuccessor()
		return
	}
	m.runSuspicions()
	m.runProbe()
	m.runRelays()
	if m.nextReconnectAt <= m.now {
		m.nextReconnectAt = m.now + m.settings.ReconnectInterval*(0.75+m.rng.Float64()/2)
		m.reconnect()
	}
	if m.nextSyncAt <= m.now {
		m.runSync()
	}
	if m.nextGossipAt <= m.now {
		m.nextGossipAt = math.Inf(1)
		m.sendGossip()
	}
	m.pending = slices.DeleteFunc(m.pending, func(request pendingRequest) bool { return request.expiresAt <= m.now })
}

// pollSuccessor asks whether the later process of this router's ID is still there. That
// one does all else.
func (m *Machine) pollSuccessor() {
	if m.nextReconnectAt > m.now {
		return
	}
	m.nextReconnectAt = m.now + m.settings.ReconnectInterval
	if r := m.randomPeer(nil); r != nil {
		m.requestSync(r.Addr, r.ID)
	}
}

// nextWakeAt returns when the next timer is due.
func (m *Machine) nextWakeAt() float64 {
	if m.left {
		return math.Inf(1)
	}
	if m.superseded {
		return m.nextReconnectAt
	}
	wakeAt := min(m.nextProbeAt, m.nextReconnectAt, m.nextSyncAt, m.nextGossipAt)
	if m.probe.target != nil && !m.probe.helpRequested {
		wakeAt = min(wakeAt, m.probe.helpAt)
	}
	for _, suspect := range m.suspects {
		wakeAt = min(wakeAt, suspect.suspicionDeadline, suspect.nextCheckAt())
	}
	for i := range m.relays {
		wakeAt = min(wakeAt, m.relays[i].deadline)
	}
	return wakeAt
}

// raiseHealthScore notes evidence that this router is itself slow: it then probes more
// slowly and waits longer before it suspects others.
func (m *Machine) raiseHealthScore(by int) {
	m.healthScore = min(m.settings.MaxHealthScore, m.healthScore+by)
}

// lowerHealthScore notes evidence that this router is well.
func (m *Machine) lowerHealthScore(by int) { m.healthScore = max(0, m.healthScore-by) }

// healthMultiplier is the factor by which this router's own slowness stretches its timers.
func (m *Machine) healthMultiplier() float64 { return float64(1 + m.healthScore) }
