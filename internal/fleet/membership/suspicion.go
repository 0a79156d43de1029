package membership

import (
	"math"
	"slices"
)

// startSuspicion starts the suspicion timer of a router, if its state is Suspect.
func (m *Machine) startSuspicion(r *peer) {
	if r.State != Suspect {
		return
	}
	r.suspectedBy = append(r.suspectedBy[:0], r.ReportedBy)
	r.suspectedAt = m.now
	r.rechecks = 0
	r.suspicionDeadline = m.now + m.suspicionTimeout(0)
	m.suspects = append(m.suspects, r)
}

// stopSuspicion stops the suspicion timer of a router, if its state is Suspect.
func (m *Machine) stopSuspicion(r *peer) {
	if r.State == Suspect {
		m.suspects = removePeer(m.suspects, r)
	}
}

// confirmSuspicion records that another router reports the same suspicion. Each confirmation
// shortens the suspicion timeout.
func (m *Machine) confirmSuspicion(r *peer, update Update) {
	if len(r.suspectedBy) > m.settings.SuspicionConfirmations || slices.Contains(r.suspectedBy, update.ReportedBy) {
		return
	}
	r.suspectedBy = append(r.suspectedBy, update.ReportedBy)
	r.suspicionDeadline = r.suspectedAt + m.suspicionTimeout(len(r.suspectedBy)-1)
	m.broadcasts.addUpdate(update)
	m.scheduleGossip()
}

// suspicionTimeout returns how long a router with the given number of confirmations stays
// suspect before it is declared failed, in ms.
func (m *Machine) suspicionTimeout(confirmations int) float64 {
	routers := len(m.present) + 1
	scale := math.Log10(max(10, float64(routers)))
	shortest := max(m.settings.MinSuspicionTimeout, m.settings.SuspicionMult*scale*m.settings.ProbeInterval)
	// The suspect itself and the first router that reported the suspicion cannot confirm it.
	expected := min(m.settings.SuspicionConfirmations, routers-2)
	if expected < 1 {
		return shortest
	}
	longest := m.settings.MaxSuspicionMult * shortest
	shortened := (longest - shortest) * math.Log(float64(confirmations+1)) / math.Log(float64(expected+1))
	return max(shortest, longest-shortened)
}

// runSuspicions declares a suspect failed if the suspect has not refuted the suspicion in time.
// It probes the other suspects again when their next recheck is due.
func (m *Machine) runSuspicions() {
	for i := 0; i < len(m.suspects); i++ {
		suspect := m.suspects[i]
		switch {
		case suspect.suspicionDeadline <= m.now:
			update := suspect.Update
			update.State = Failed
			update.ReportedBy = m.self.ID
			m.applyUpdate(update, "suspicion not refuted in time") // removes the suspect from m.suspects
			i--
		case suspect.nextRecheckAt() <= m.now:
			suspect.rechecks++
			m.recheckSuspect(suspect)
		}
	}
}

// recheckSuspect probes a suspect again, directly and through another router, before it is
// declared failed. Both packets carry the suspicion, so that the suspect can refute it.
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
