package recoveryprobe

import (
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// maxPeerReports bounds the routers whose reports the lease holder remembers.
const maxPeerReports = 4096

// Machine is one router's part. It is not safe for concurrent use. Times are milliseconds of
// the clock that its caller reads.
type Machine struct {
	settings      Settings
	self          membership.ID
	ejectedAt     map[routing.ServerID]float64 // by this router
	lastSentAt    float64                      // -Inf: a message is due at once
	nextPeerIndex int                          // round robin while the holder is unknown

	// What the lease holder sent.
	fence            lease.Fence
	holder           membership.ID
	holderLastSeenAt float64 // -Inf: never
	holderResults    map[routing.ServerID]probeResult

	// Of the lease holder alone.
	peerReports  map[membership.ID]ejectionReport
	results      map[routing.ServerID]probeResult
	lastProbedAt map[routing.ServerID]float64
}

// probeResult is what the lease holder knows of an ejected server.
type probeResult struct {
	recovered bool
	at        float64 // when that was found
}

// ejectionReport is what another router has ejected.
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

// Step advances the Machine to now.
func (m *Machine) Step(now float64, input Input) Output {
	out := Output{EjectionExtensions: map[routing.ServerID]float64{}, Messages: map[membership.ID]Message{}}
	m.recordEjections(now, input.Ejected)
	if input.FencingToken != 0 {
		m.coordinate(now, input, &out)
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

// recordEjections notes what this router ejected or returned to since the step before.
func (m *Machine) recordEjections(now float64, ejected []routing.ServerID) {
	for server := range m.ejectedAt {
		if !slices.Contains(ejected, server) {
			delete(m.ejectedAt, server)
			m.sendAtOnce()
			m.results[server] = probeResult{recovered: true, at: now} // by this router's own probe
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

// holderSeen reports whether the lease holder's latest message is still valid.
func (m *Machine) holderSeen(now float64) bool {
	return now-m.holderLastSeenAt <= m.settings.HolderTimeout
}

// scheduleReports tells the lease holder, or those who may be it, what this router has ejected.
func (m *Machine) scheduleReports(now float64, input Input, out *Output) {
	holderKnown := m.holder != 0 && m.holderSeen(now)
	if len(m.ejectedAt) == 0 {
		nothingLeft := math.IsInf(m.lastSentAt, -1)
		if nothingLeft && holderKnown {
			out.Messages[m.holder] = Message{}
		}
		if nothingLeft {
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
	// Symptom guarded against: the holder was none of the candidates, no router told it of a
	// server, and all probed by themselves. So one peer after another is told too.
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

// extendEjections keeps this router away from what the lease holder probes, or has found
// recovered a moment ago.
func (m *Machine) extendEjections(now float64, zonePeers []membership.ID, out *Output) {
	for server, ejectedAt := range m.ejectedAt {
		result, known := m.holderResults[server]
		switch {
		case !known:
		case !result.recovered:
			out.EjectionExtensions[server] = m.holderLastSeenAt + m.settings.HolderTimeout - now
		case ejectedAt > result.at:
			// It failed this router after the holder found it recovered: this router's own matter.
		default:
			if returnAt := m.returnTime(result.at, zonePeers); returnAt > now {
				out.EjectionExtensions[server] = returnAt - now
			}
		}
	}
}

// returnTime is when this router may return to a server that recovered: the routers do so one
// after another, each at its place, whichever of them have the server ejected.
func (m *Machine) returnTime(recoveredAt float64, zonePeers []membership.ID) float64 {
	routers := append(slices.Clone(zonePeers), m.self)
	place := lease.Rank(returnOrderKey, m.self, routers)
	return recoveredAt + 1000*float64(place)/m.settings.ReturnRate
}

// HandleMessage takes another router's message. It reports whether the message was accepted:
// not under an older fencing token than the latest, nor from more routers than there is room
// for.
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

// handleReport takes what another router has ejected.
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
