package recoveryprobe

import (
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// ejectionDelay is the time, in ms, within which this router's routing module ejects a server
// that this router must probe. The routing module keeps the server ejected until a request to it
// has succeeded. If the server is not ejected after this time, such a request has just succeeded,
// so the server has recovered.
const ejectionDelay = 150.0

// stepAsHolder does the part of a step that only the lease holder does.
func (m *Machine) stepAsHolder(now float64, input Input, out *Output) {
	m.holderLastSeenAt = math.Inf(-1)
	clear(m.holderResults)
	lastEjectedAt := m.collectReports(now, input.ZonePeers)
	maps.DeleteFunc(m.results, func(_ routing.ServerID, result probeResult) bool {
		return now-result.at > m.settings.ResultTTL
	})
	for _, server := range slices.Sorted(maps.Keys(lastEjectedAt)) {
		m.probe(now, server, lastEjectedAt[server], out)
	}
	maps.DeleteFunc(m.lastProbedAt, func(server routing.ServerID, probedAt float64) bool {
		_, ejected := lastEjectedAt[server]
		return !ejected && now-probedAt > m.settings.ResultTTL
	})
	m.scheduleResults(now, input.FencingToken, out)
}

// collectReports drops the reports of routers that are gone or unresponsive. It returns the
// servers that other routers have ejected, with the time of each server's latest ejection.
func (m *Machine) collectReports(now float64, zonePeers []membership.ID) map[routing.ServerID]float64 {
	reportTimeout := 3*m.settings.ReportInterval + m.settings.HolderTimeout
	lastEjectedAt := map[routing.ServerID]float64{}
	for peer, report := range m.peerReports {
		if now-report.receivedAt > reportTimeout || !slices.Contains(zonePeers, peer) {
			delete(m.peerReports, peer)
			continue
		}
		for server, ejectedAt := range report.ejectedAt {
			lastEjectedAt[server] = max(lastEjectedAt[server], ejectedAt)
		}
	}
	return lastEjectedAt
}

// probe makes this router probe a server that other routers have ejected, unless the server has
// recovered since its latest ejection.
func (m *Machine) probe(now float64, server routing.ServerID, lastEjectedAt float64, out *Output) {
	result, known := m.results[server]
	if known && result.recovered && lastEjectedAt <= result.at {
		return
	}
	if _, ejectedHere := m.ejectedAt[server]; ejectedHere { // the routing module probes the server when its ejection time ends
		m.results[server] = probeResult{at: now}
		return
	}
	probedAt, probed := m.lastProbedAt[server]
	switch {
	case !probed || now-probedAt >= m.settings.ProbeInterval:
		m.lastProbedAt[server] = now
		m.results[server] = probeResult{at: now}
		out.Probes = append(out.Probes, server)
	case known && !result.recovered && now-probedAt >= ejectionDelay:
		m.results[server] = probeResult{recovered: true, at: now}
	}
}

// scheduleResults adds a message for each router that has reported ejected servers. The message has
// the probe results of these servers.
func (m *Machine) scheduleResults(now float64, fencingToken uint64, out *Output) {
	if now-m.lastSentAt < m.settings.ReportInterval/2 {
		return
	}
	m.lastSentAt = now
	for peer, report := range m.peerReports {
		message := Message{FencingToken: fencingToken}
		for _, server := range slices.Sorted(maps.Keys(report.ejectedAt)) {
			result := m.results[server]
			message.Servers = append(message.Servers, ServerStatus{Server: server, Recovered: result.recovered, Age: now - result.at})
		}
		out.Messages[peer] = message
	}
}
