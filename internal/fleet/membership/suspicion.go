package membership

import (
	"math"
	"slices"
)

// startSuspicion starts the suspicion of a router that is suspect.
func (m *Machine) startSuspicion(r *peer) {
	if r.State != Suspect {
		return
	}
	r.accusers = append(r.accusers[:0], r.ReportedBy)
	r.suspectedAt = m.now
	r.checks = 0
	r.suspicionDeadline = m.now + m.suspicionTimeout(0)
	m.suspects = append(m.suspects, r)
}

// stopSuspicion ends the suspicion of a router that was suspect.
func (m *Machine) stopSuspicion(r *peer) {
	if r.State == Suspect {
		m.suspects = removePeer(m.suspects, r)
	}
}

// confirmSuspicion counts one more router that suspects, which shortens the suspicion.
func (m *Machine) confirmSuspicion(r *peer, update Update) {
	if len(r.accusers) > m.settings.SuspicionConfirmations || slices.Contains(r.accusers, update.ReportedBy) {
		return
	}
	r.accusers = append(r.accusers, update.ReportedBy)
	r.suspicionDeadline = r.suspectedAt + m.suspicionTimeout(len(r.accusers)-1)
	m.broadcasts.addUpdate(update)
	m.scheduleGossip()
}

// suspicionTimeout returns for how long a router may be suspect after so many
// confirmations, in ms.
func (m *Machine) suspicionTimeout(confirmations int) float64 {
	routers := len(m.present) + 1
	scale := math.Log10(max(10, float64(routers)))
	shortest := max(m.settings.MinSuspicionTimeout, m.settings.SuspicionMult*scale*m.settings.ProbeInterval)
	// The accused and the first accuser do not confirm.
	expected := min(m.settings.SuspicionConfirmations, routers-2)
	if expected < 1 {
		return shortest
	}
	longest := m.settings.MaxSuspicionMult * shortest
	shortened := (longest - shortest) * math.Log(float64(confirmations+1)) / math.Log(float64(expected+1))
	return max(shortest, longest-shortened)
}

// runSuspicions declares failed who has not refuted in time, and checks on the others.
func (m *Machine) runSuspicions() {
	for i := 0; i < len(m.suspects); i++ {
		suspect := m.suspects[i]
		switch {
		case suspect.suspicionDeadline <= m.now:
			update := suspect.Update
			update.State = Failed
			update.ReportedBy = m.self.ID
			m.applyUpdate(update, "suspicion not refuted in time") // takes it out of suspects
			i--
		case suspect.nextCheckAt() <= m.now:
			suspect.checks++
			m.recheckSuspect(suspect)
		}
	}
}

// recheckSuspect probes a suspect, directly and through another router, before it is
// declared failed. Both packets carry the suspicion.
func (m *Machine) recheckSuspect(suspect *peer) {
	m.send(suspect.Addr, suspect, &Packet{Kind: Ping, Nonce: m.newRequest(suspect.ID, false), Target: suspect.ID})
	if helper := m.chooseHelper([]*peer{suspect}); helper != nil {
		m.send(helper.Addr, helper, &Packet{
			Kind:       IndirectPing,
			Nonce:      m.newRequest(suspect.ID, false),
			Target:     suspect.ID,
			TargetAddr: suspect.Addr,
			Updates:    []Update{suspect.Update},
		})
	}
}
