package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// stallProbeIntervals is a number of probe intervals. If a step is late by more than this number of
// probe intervals plus the probe timeout, this router concludes that its process was stopped.
const stallProbeIntervals = 2

// maxLeaveNotices is the maximum number of packets in which a router announces that it leaves.
const maxLeaveNotices = 8

// Machine holds one router's knowledge about the other routers. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	self     Update
	seeds    []netip.AddrPort
	rng      *rand.Rand
	store    ItemStore
	output   *Output // result of the call in progress
	now      float64
	wakeAt   float64
	sequence uint64 // number of the latest packet sent

	peers        map[ID]*peer
	idsByName    map[string]ID // IDs of this router and of the present routers
	present      []*peer       // alive or suspect, in the order of probing
	probeIndex   int           // index in present of the next router to probe
	suspects     []*peer
	departed     []*peer // failed or left, and not yet forgotten
	checksums    [BucketCount]uint32
	selfChecksum uint32 // this router's contribution to its bucket

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

	lastReceivedAt    float64 // when a packet of any router last arrived, ms
	left              bool
	superseded        bool  // a later process has this router's ID
	Replays           int64 // packets dropped because they were outdated or repeated
	Rejected          int64 // routers not added because of the member limit
	reportedConflicts map[string]bool
	disabledRule      protocolRule // 0: none; only tests set it
}

// protocolRule is a rule of the protocol that a test can disable, to verify that the test detects a
// violation of the rule.
type protocolRule uint8

const (
	ruleOrdering   protocolRule = 1 + iota // an older update never replaces a newer one
	ruleRefutation                         // a router that is reported as suspect, failed or left refutes the report
)

// New returns the machine of the router that the argument self describes. The machine knows no
// other router yet. The argument self must be alive and have the first revision of its
// incarnation. The argument seeds holds addresses at which other routers may be reachable. The
// argument store may be nil.
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

// Step advances the machine's clock to the given time, in ms. It handles the received packet,
// unless the packet is nil, and runs the timers that are due.
func (m *Machine) Step(now float64, packet *Packet) Output {
	var out Output
	m.output = &out
	lateness := now - m.wakeAt
	m.now = max(m.now, now)
	if lateness > stallProbeIntervals*m.settings.ProbeInterval+m.settings.ProbeTimeout {
		m.handleStall(lateness)
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

// SendPayload sends a payload to a state machine of the receiver other than Machine. The payload may
// be lost. It is not sent if the receiver is not present, or if the payload exceeds MaxPayloadLen.
func (m *Machine) SendPayload(now float64, receiver ID, payload []byte) (out Output) {
	m.output = &out
	m.now = max(m.now, now)
	if r := m.peers[receiver]; r != nil && r.State.Present() && len(payload) <= MaxPayloadLen && !m.left {
		m.send(r.Addr, nil, &Packet{Kind: Data, Payload: payload})
	}
	m.output = nil
	return out
}

// Leave announces to other routers that this router leaves. The machine sends no packets
// afterwards.
func (m *Machine) Leave(now float64) Output {
	var out Output
	m.output = &out
	m.now = max(m.now, now)
	if !m.left && !m.superseded {
		m.self.State = Left
		update := m.self
		update.ReportedBy = update.ID
		for range min(maxLeaveNotices, len(m.present)) {
			m.send(m.randomPeer(nil).Addr, nil, &Packet{Kind: Gossip, Updates: []Update{update}})
		}
	}
	m.left = true
	m.output = nil
	out.WakeAt = math.Inf(1)
	return out
}

// SetSeeds replaces the addresses at which other routers may be reachable.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) { m.seeds = slices.Clone(seeds) }

// InjectUpdate applies and broadcasts an update as if this router had received it. Tests use it
// to simulate a faulty router that holds the fleet's key.
func (m *Machine) InjectUpdate(update Update) {
	m.output = &Output{}
	m.applyUpdate(update, "injected by a test")
	m.output = nil
}

// handleStall is called after this router's process was stopped for a while. It cancels the
// active probe and extends all suspicions by the lateness, in ms, so that the time of the stop
// does not count. Otherwise, a router that resumes after 30 s would find every probe unanswered
// and every suspicion expired, and would report all other routers as failed.
func (m *Machine) handleStall(lateness float64) {
	m.probe.target = nil
	for _, suspect := range m.suspects {
		suspect.suspectedAt += lateness
		suspect.suspicionDeadline += lateness
	}
	m.raiseHealthScore(1)
	m.nextProbeAt = m.now + m.settings.ProbeInterval
	m.nextSyncAt = m.now
	m.syncInterval = m.shortestSyncInterval()
	m.output.addEvent(EventStalled, m.self, "this router was stalled")
}

// runTimers runs the timers that are due and drops expired requests.
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

// pollSuccessor is called after a later process has taken over this router's ID. It sends a
// SyncRequest to a random router, whose answer shows whether the later process is still present.
// While the later process is present, this process does no other work.
func (m *Machine) pollSuccessor() {
	if m.nextReconnectAt > m.now {
		return
	}
	m.nextReconnectAt = m.now + m.settings.ReconnectInterval
	if r := m.randomPeer(nil); r != nil {
		m.requestSync(r.Addr, r.ID)
	}
}

// nextWakeAt returns when the next timer is due, in ms.
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
		wakeAt = min(wakeAt, suspect.suspicionDeadline, suspect.nextRecheckAt())
	}
	for i := range m.relays {
		wakeAt = min(wakeAt, m.relays[i].deadline)
	}
	return wakeAt
}

// raiseHealthScore records evidence that this router itself is slow. With a higher score, this
// router probes less often and waits longer before it suspects other routers.
func (m *Machine) raiseHealthScore(amount int) {
	m.healthScore = min(m.settings.MaxHealthScore, m.healthScore+amount)
}

// lowerHealthScore records evidence that this router is healthy.
func (m *Machine) lowerHealthScore(amount int) { m.healthScore = max(0, m.healthScore-amount) }

// healthMultiplier returns the factor by which this router lengthens its probe timers while
// it is slow.
func (m *Machine) healthMultiplier() float64 { return float64(1 + m.healthScore) }
