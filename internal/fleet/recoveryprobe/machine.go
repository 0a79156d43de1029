package recoveryprobe

import (
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// maxPeerReports is the maximum number of routers whose reports the lease holder stores.
const maxPeerReports = 4096

// Machine is the state machine of one router, as the lease holder or as another router of the zone.
// It is not safe for concurrent use. Times are in milliseconds of the caller's clock.
type Machine struct {
	settings      Settings
	self          membership.ID
	ejectedAt     map[routing.ServerID]float64 // when this router ejected each server
	lastSentAt    float64                      // -Inf: the next message is due immediately
	nextPeerIndex int                          // position of the round robin over the peers while the lease holder is unknown

	// State received from the lease holder.
	fence            lease.Fence
	holder           membership.ID
	holderLastSeenAt float64 // -Inf: never
	holderResults    map[routing.ServerID]probeResult

	// State that only the lease holder uses.
	peerReports  map[membership.ID]ejectionReport
	results      map[routing.ServerID]probeResult
	lastProbedAt map[routing.ServerID]float64
}

// probeResult is the result of the latest probe of an ejected server.
type probeResult struct {
	recovered bool
	at        float64 // time of the result
}

// ejectionReport is another router's latest report of its ejected servers.
type ejectionReport struct {
	receivedAt float64
	ejectedAt  map[routing.ServerID]float64
}

// NewMachine returns a Machine that knows of no ejected server and no lease holder.
func NewMachine(settings Settings, self membership.ID) *Machine {
	return &Machine{
		settings:         settings,
		self:             self,
		ejectedAt:        map[routing.ServerID]float64{},
		lastSentAt:       math.Inf(-1),
		fence:            lease.Fence{},
		holderLastSeenAt: math.Inf(-1),
		holderResults:    map[routing.ServerID]probeResult{},
		peerReports:      map[membership.ID]ejectionReport{},
		results:          map[routing.ServerID]probeResult{},
		lastProbedAt:     map[routing.ServerID]float64{},
	}
}

// Step advances the Machine to the time now, in ms.
func (m *Machine) Step(now float64, input Input) Output {
	out := Output{EjectionExtensions: map[routing.ServerID]float64{}, Messages: map[membership.ID]Message{}}
	m.recordEjections(now, input.Ejected)
	if input.FencingToken != 0 {
		m.stepAsHolder(now, input, &out)
		return out
	}
	clear(m.peerReports)
	clear(m.results)
	m.scheduleReports(now, input, &out)
	if m.holderSeen(now) {
		m.extendEjections(now, input.ZonePeers, &out)
	}
	return out
}

// recordEjections records the servers that this router has ejected since the previous step, and the
// servers that it has returned to.
func (m *Machine) recordEjections(now float64, ejected []routing.ServerID) {
	for server := range m.ejectedAt {
		if !slices.Contains(ejected, server) {
			delete(m.ejectedAt, server)
			m.sendAtOnce()
			m.results[server] = probeResult{recovered: true, at: now} // this router's own probe succeeded
		}
	}
	for _, server := range ejected {
		if _, known := m.ejectedAt[server]; !known {
			m.ejectedAt[server] = now
			m.sendAtOnce()
		}
	}
}

func (m *Machine) sendAtOnce() { m.lastSentAt = math.Inf(-1) }

// holderSeen reports whether this router received a message from the lease holder within the last
// Settings.HolderTimeout.
func (m *Machine) holderSeen(now float64) bool {
	return now-m.holderLastSeenAt <= m.settings.HolderTimeout
}

// scheduleReports adds the reports of this router's ejected servers. The lease holder receives
// them. While the holder is unknown, the routers that may hold the lease receive them.
func (m *Machine) scheduleReports(now float64, input Input, out *Output) {
	holderKnown := m.holder != 0 && m.holderSeen(now)
	if len(m.ejectedAt) == 0 {
		emptyReportDue := math.IsInf(m.lastSentAt, -1)
		if emptyReportDue && holderKnown {
			out.Messages[m.holder] = Message{}
		}
		if emptyReportDue {
			m.lastSentAt = now
		}
		return
	}
	if now-m.lastSentAt < m.settings.ReportInterval {
		return
	}
	m.lastSentAt = now
	report := m.ejectionMessage(now)
	if holderKnown {
		out.Messages[m.holder] = report
		return
	}
	for _, candidate := range input.HolderCandidates {
		if candidate != m.self && candidate != 0 {
			out.Messages[candidate] = report
		}
	}
	// The lease holder may be none of the candidates, the routers that are expected to hold the
	// lease. Without a report, the holder would not learn of the ejected server, and all routers
	// would probe on their own. Therefore each report also goes to one more peer, which is chosen
	// in round-robin order.
	if peerCount := len(input.ZonePeers); peerCount > 0 {
		m.nextPeerIndex++
		out.Messages[input.ZonePeers[m.nextPeerIndex%peerCount]] = report
	}
}

func (m *Machine) ejectionMessage(now float64) Message {
	servers := slices.Sorted(maps.Keys(m.ejectedAt))
	servers = servers[:min(len(servers), MaxServers)]
	var message Message
	for _, server := range servers {
		message.Servers = append(message.Servers, ServerStatus{Server: server, Age: now - m.ejectedAt[server]})
	}
	return message
}

// extendEjections extends this router's ejections of two kinds of servers: servers that the lease
// holder is still probing, and recovered servers to which this router may not return yet.
func (m *Machine) extendEjections(now float64, zonePeers []membership.ID, out *Output) {
	for server, ejectedAt := range m.ejectedAt {
		result, known := m.holderResults[server]
		switch {
		case !known:
		case !result.recovered:
			out.EjectionExtensions[server] = m.holderLastSeenAt + m.settings.HolderTimeout - now
		case ejectedAt > result.at:
			// The server failed requests of this router after the holder found it recovered: this
			// router's own ejection time applies.
		default:
			if returnAt := m.returnTime(result.at, zonePeers); returnAt > now {
				out.EjectionExtensions[server] = returnAt - now
			}
		}
	}
}

// returnTime returns when this router may return to a server that recovered at recoveredAt. The
// routers of the zone return one after another in the order of their ranks. The position of a
// router does not depend on which other routers have the server ejected.
func (m *Machine) returnTime(recoveredAt float64, zonePeers []membership.ID) float64 {
	routers := append(slices.Clone(zonePeers), m.self)
	position := lease.Rank(returnOrderKey, m.self, routers)
	return recoveredAt + 1000*float64(position)/m.settings.ReturnRate
}

// HandleMessage handles another router's message, and reports whether it accepted the message. It
// rejects results whose fencing token is older than the latest token. It also rejects every report
// while maxPeerReports reports are stored.
func (m *Machine) HandleMessage(now float64, from membership.ID, message Message) bool {
	if message.FencingToken == 0 {
		return m.handleReport(now, from, message.Servers)
	}
	if !m.fence.Admit("", message.FencingToken) {
		return false
	}
	m.holder = from
	m.holderLastSeenAt = now
	clear(m.holderResults)
	for _, status := range message.Servers {
		m.holderResults[status.Server] = probeResult{recovered: status.Recovered, at: now - status.Age}
	}
	return true
}

// handleReport stores another router's report of its ejected servers. An empty report deletes the
// stored report of that router.
func (m *Machine) handleReport(now float64, from membership.ID, servers []ServerStatus) bool {
	if len(m.peerReports) >= maxPeerReports {
		return false
	}
	if len(servers) == 0 {
		delete(m.peerReports, from)
		return true
	}
	if _, known := m.peerReports[from]; !known {
		m.sendAtOnce()
	}
	report := ejectionReport{receivedAt: now, ejectedAt: map[routing.ServerID]float64{}}
	for _, status := range servers {
		report.ejectedAt[status.Server] = now - status.Age
	}
	m.peerReports[from] = report
	return true
}
