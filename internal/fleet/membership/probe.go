package membership

import "slices"

// pickAttempts is how often a random choice among the routers present is repeated where it
// hits one that is excluded.
const pickAttempts = 8

// activeProbe is the probe that waits for its answer.
type activeProbe struct {
	target        *peer // nil: there is none, or it was answered
	nonce         uint64
	helpAt        float64 // when others are asked to probe too
	helpRequested bool
	nackCount     int
	helperCount   int
}

// runProbe continues the active probe and begins the next one when that is due. A router
// that is itself slow probes more slowly and waits longer.
func (m *Machine) runProbe() {
	slowness := m.healthMultiplier()
	if probe := &m.probe; probe.target != nil && !probe.helpRequested && probe.helpAt <= m.now {
		probe.helpRequested = true
		m.requestIndirectProbes()
	}
	if m.nextProbeAt > m.now {
		return
	}
	m.nextProbeAt = m.now + m.settings.ProbeInterval*slowness
	m.failProbe()
	target := m.nextProbeTarget()
	if target == nil {
		return
	}
	m.probe = activeProbe{
		target: target,
		nonce:  m.newRequest(target.ID, false),
		helpAt: m.now + min(m.settings.ProbeTimeout*slowness, m.settings.ProbeInterval*slowness/2),
	}
	m.send(target.Addr, target, &Packet{Kind: Ping, Nonce: m.probe.nonce, Target: target.ID})
}

// nextProbeTarget returns the next router in the order of probing, which is shuffled at its
// end.
func (m *Machine) nextProbeTarget() *peer {
	if m.probeIndex >= len(m.present) {
		m.probeIndex = 0
		m.rng.Shuffle(len(m.present), func(i, j int) { m.present[i], m.present[j] = m.present[j], m.present[i] })
		m.forgetDeparted()
	}
	if len(m.present) == 0 {
		return nil
	}
	m.probeIndex++
	return m.present[m.probeIndex-1]
}

// forgetDeparted forgets the routers that have been gone for long.
func (m *Machine) forgetDeparted() {
	m.departed = slices.DeleteFunc(m.departed, func(r *peer) bool {
		expired := m.now-r.stateSince >= m.settings.ForgetAfter
		if expired {
			delete(m.peers, r.ID)
			m.output.ViewChanged = true
		}
		return expired
	})
}

// requestIndirectProbes asks others to probe the router that has not answered, and probes
// it once more.
func (m *Machine) requestIndirectProbes() {
	probe := &m.probe
	target := probe.target
	m.send(target.Addr, target, &Packet{Kind: Ping, Nonce: probe.nonce, Target: target.ID})
	excluded := []*peer{target}
	for i := range m.settings.IndirectProbes {
		helper := m.peers[target.lastHelper] // whose probe was answered the last time
		if i > 0 || helper == nil || !helper.State.Present() {
			helper = m.chooseHelper(excluded)
		}
		if helper == nil {
			return
		}
		excluded = append(excluded, helper)
		probe.helperCount++
		request := &Packet{Kind: IndirectPing, Nonce: probe.nonce, Target: target.ID, TargetAddr: target.Addr}
		if target.State != Alive { // the helper tells it, if only that one reaches it
			request.Updates = append(request.Updates, target.Update)
		}
		m.send(helper.Addr, helper, request)
	}
}

// chooseHelper returns a random router that is to probe for this one: preferably one that
// this router reaches itself, since one that is cut off from it too helps nobody, and its
// silence says nothing.
func (m *Machine) chooseHelper(excluded []*peer) *peer {
	for range pickAttempts {
		if helper := m.randomPeer(excluded); helper != nil && helper.direct {
			return helper
		}
	}
	return m.randomPeer(excluded)
}

// failProbe suspects the target of a probe whose interval is over. Helpers that did not
// answer at all raise this router's health score.
func (m *Machine) failProbe() {
	probe := &m.probe
	target := probe.target
	probe.target = nil
	if target == nil || !target.State.Present() {
		return
	}
	target.direct = false
	// One that was never verified says nothing about this router.
	if target.replay.verified {
		if probe.helperCount > 0 {
			m.raiseHealthScore(probe.helperCount - probe.nackCount)
		} else {
			m.raiseHealthScore(1)
		}
	}
	update := target.Update
	update.State = Suspect
	update.ReportedBy = m.self.ID
	m.applyUpdate(update, "probe not answered")
}

// handleProbeReply handles an Ack or Nack of this router's own probe, or of one that it
// made for another.
func (m *Machine) handleProbeReply(sender *peer, reply *Packet) {
	probe := &m.probe
	if probe.target == nil || reply.Nonce != probe.nonce {
		m.handleRelayReply(sender, reply)
		return
	}
	switch {
	case reply.Kind == Nack:
		probe.nackCount++
	case reply.Target == probe.target.ID: // its own answer, or that of a helper
		probe.target.direct = sender == probe.target
		if !probe.target.direct {
			probe.target.lastHelper = sender.ID
		}
		probe.target = nil
		m.lowerHealthScore(1)
	}
}

// randomPeer returns a random router that is present and not excluded, or nil.
func (m *Machine) randomPeer(excluded []*peer) *peer {
	for range pickAttempts {
		if len(m.present) == 0 {
			return nil
		}
		if r := m.present[m.rng.IntN(len(m.present))]; !slices.Contains(excluded, r) {
			return r
		}
	}
	return nil
}
