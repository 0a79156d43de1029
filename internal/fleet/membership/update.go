package membership

import "slices"

// recentProbeIntervals is the number of probe intervals for which a received packet counts as
// recent. If a router's latest packet is recent, a report that the router failed is not accepted
// immediately: the router is probed first.
const recentProbeIntervals = 8

// maxReportedConflicts is the maximum number of conflicts (two routers with the same name or ID)
// that are reported.
const maxReportedConflicts = 256

// applyUpdate applies an update about a router if it is newer than the known update, or counts it
// if it confirms a suspicion. The argument cause becomes Event.Cause if the update changes the view.
func (m *Machine) applyUpdate(update Update, cause string) {
	if update.ID == m.self.ID {
		m.applySelfUpdate(update)
		return
	}
	if !update.Addr.IsValid() {
		return
	}
	known := m.peers[update.ID]
	if known == nil {
		m.addPeer(update, cause)
		return
	}
	if update.State == Failed && known.State == Alive && m.receivedRecently(known) {
		// No suspicion preceded this report, and the reported router's latest packet is recent.
		// Probably a partition has healed, and the routers on its other side had declared the
		// reported router failed. That router is probed before the report is accepted.
		update.State = Suspect
	}
	if update.State == Suspect && known.State == Suspect && update.Revision == known.Revision {
		m.confirmSuspicion(known, update)
		return
	}
	if !newer(&update, &known.Update) && m.disabledRule != ruleOrdering {
		return
	}
	m.replaceUpdate(known, update, cause)
	if known.State == Suspect && update.ReportedBy != m.self.ID && m.receivedRecently(known) {
		// The suspect's latest packet is recent, so this router notifies the suspect. The
		// suspect's refutation is then broadcast. If this router is the only link between the
		// suspect and the routers that suspect it, no other router can notify the suspect.
		m.send(known.Addr, known, &Packet{Kind: Ping, Nonce: m.newRequest(known.ID, false), Target: known.ID})
	}
	m.broadcastChange(known.Update)
}

// receivedRecently reports whether the router's latest packet arrived within the last
// recentProbeIntervals probe intervals.
func (m *Machine) receivedRecently(r *peer) bool {
	return r.lastReceivedAt > 0 && m.now-r.lastReceivedAt <= recentProbeIntervals*m.settings.ProbeInterval
}

// addPeer adds a router that was not known. It ignores an update with the state Failed or Left,
// since this router has forgotten the described router or never knew it.
func (m *Machine) addPeer(update Update, cause string) {
	if !update.State.Present() {
		return
	}
	if len(m.peers) >= m.settings.MaxMembers {
		m.Rejected++
		if m.Rejected == 1 {
			m.output.addEvent(EventFull, update, "member limit reached")
		}
		return
	}
	added := &peer{Update: update, stateSince: m.now}
	m.peers[update.ID] = added
	m.addPresent(added)
	m.toggleChecksum(added)
	m.startSuspicion(added)
	m.output.addEvent(EventJoined, update, cause)
	m.broadcastChange(added.Update)
}

// broadcastChange broadcasts an update that has changed the view.
func (m *Machine) broadcastChange(update Update) {
	m.output.ViewChanged = true
	m.broadcasts.addUpdate(update)
	m.scheduleGossip()
}

// replaceUpdate replaces the known update of a router with a newer one.
func (m *Machine) replaceUpdate(known *peer, update Update, cause string) {
	old := known.Update
	m.stopSuspicion(known)
	m.toggleChecksum(known)
	if old.Revision != update.Revision || old.State != update.State {
		known.stateSince = m.now
	}
	known.Update = update
	switch {
	case !old.State.Present() && update.State.Present():
		m.departed = removePeer(m.departed, known)
		m.addPresent(known)
	case old.State.Present() && !update.State.Present():
		m.present = removePeer(m.present, known)
		m.departed = append(m.departed, known)
		if m.idsByName[old.Name] == known.ID {
			delete(m.idsByName, old.Name)
		}
	}
	m.toggleChecksum(known)
	m.startSuspicion(known)
	switch {
	case update.State != old.State && update.State != Alive:
		m.output.addEvent(update.State.String(), update, cause)
	case update.Incarnation() != old.Incarnation():
		m.output.addEvent(EventJoined, update, "new incarnation: "+cause)
	case update.State != old.State:
		m.output.addEvent(EventBack, update, cause)
	}
}

func removePeer(list []*peer, removed *peer) []*peer {
	return slices.DeleteFunc(list, func(r *peer) bool { return r == removed })
}

// addPresent inserts a router at a random position in the order of probing.
func (m *Machine) addPresent(added *peer) {
	m.present = append(m.present, added)
	i := m.rng.IntN(len(m.present))
	last := len(m.present) - 1
	m.present[i], m.present[last] = m.present[last], m.present[i]
	if other, ok := m.idsByName[added.Name]; ok && other != added.ID {
		m.reportConflict(added.Update, "two routers have this name")
	} else {
		m.idsByName[added.Name] = added.ID
	}
}

// reportConflict reports that two routers have the same name or the same ID, once for each
// cause and ID.
func (m *Machine) reportConflict(update Update, cause string) {
	key := cause + update.ID.String()
	if !m.reportedConflicts[key] && len(m.reportedConflicts) < maxReportedConflicts {
		m.reportedConflicts[key] = true
		m.output.addEvent(EventConflict, update, cause)
	}
}

// applySelfUpdate applies an update about this router's own ID. It refutes a report that this
// router is suspect, failed or left, and detects other processes with the same ID.
func (m *Machine) applySelfUpdate(update Update) {
	incarnation := m.self.Incarnation()
	switch {
	case update.Incarnation() < incarnation:
	case update.Incarnation() > incarnation && update.State.Present():
		// The later process is this router's successor in an upgrade, or was started by
		// mistake with a copy of the state directory. In both cases the ID belongs to the
		// later process, and this process is superseded.
		if !m.superseded {
			m.superseded = true
			m.output.addEvent(EventSuperseded, update, "a later process has this router's identity")
		}
	case update.Incarnation() > incarnation:
		m.self.Revision = FirstRevision(update.Incarnation() + 1)
		m.announceSelf("the later process with this router's identity failed or left")
	case update.State != Alive && update.Revision >= m.self.Revision && m.disabledRule != ruleRefutation:
		m.self.Revision = update.Revision + 1
		m.raiseHealthScore(1)
		m.announceSelf("another router reported this router as " + update.State.String())
	case update.State == Alive && (update.Addr != m.self.Addr || update.Revision > m.self.Revision):
		m.reportConflict(update, "another process has this router's identity and incarnation")
	}
}

// announceSelf broadcasts this router's new revision and reports the refutation.
func (m *Machine) announceSelf(cause string) {
	m.superseded = false
	m.updateSelfChecksum()
	m.output.addEvent(EventRefuted, m.self, cause)
	m.broadcastChange(m.self)
}
