package recoveryprobe

import (
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// ejectionDelay is how long, in ms, this router has to eject a server that it is to probe. A
// server that is not ejected by then had answered a request just before: it has recovered.
const ejectionDelay = 150.0

// coordinate is the lease holder's part of a step.
func (m *Machine) coordinate(now float64, input Input, out *Output) {
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
// servers that any other has ejected, with the latest moment at which one did.
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

// probe has this router probe a server that others have ejected, unless it has recovered since.
func (m *Machine) probe(now float64, server routing.ServerID, lastEjectedAt float64, out *Output) {
	result, known := m.results[server]
	if known && result.recovered && lastEjectedAt <= result.at {
		return
	}
	if _, ejectedHere := m.ejectedAt[server]; ejectedHere { // probed when its ejection time is over
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

// scheduleResults tells each router what is known of the servers that it has ejected.
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
