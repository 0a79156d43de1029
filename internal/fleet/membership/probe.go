package membership

import "slices"

// pickAttempts is the maximum number of random choices in a search for a suitable router among
// the present routers.
const pickAttempts = 8

// activeProbe is this router's own probe that waits for an answer.
type activeProbe struct {
	target        *peer // nil if no probe is active or the probe has been answered
	nonce         uint64
	helpAt        float64 // when other routers are asked to probe the target too, ms
	helpRequested bool
	nackCount     int
	helperCount   int
}

// runProbe requests indirect probes of the active probe's target if these are due, and starts the
// next probe if that is due. A router that is slow itself probes less often and waits longer.
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

// nextProbeTarget returns the next router in the order of probing, or nil if no other router is
// present. The order is shuffled after each round.
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

// forgetDeparted removes the routers that failed or left at least Settings.ForgetAfter ago.
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

// requestIndirectProbes asks other routers to probe the target of the active probe, which has not
// answered. It also probes the target directly once more.
func (m *Machine) requestIndirectProbes() {
	probe := &m.probe
	target := probe.target
	m.send(target.Addr, target, &Packet{Kind: Ping, Nonce: probe.nonce, Target: target.ID})
	excluded := []*peer{target}
	for i := range m.settings.IndirectProbes {
		helper := m.peers[target.lastHelper] // router that relayed the target's latest indirect answer
		if i > 0 || helper == nil || !helper.State.Present() {
			helper = m.chooseHelper(excluded)
		}
		if helper == nil {
			return
		}
		excluded = append(excluded, helper)
		probe.helperCount++
		request := &Packet{Kind: IndirectPing, Nonce: probe.nonce, Target: target.ID, TargetAddr: target.Addr}
		if target.State != Alive { // the helper forwards this update to the target, which may be reachable only through the helper
			request.Updates = append(request.Updates, target.Update)
		}
		m.send(helper.Addr, helper, request)
	}
}

// chooseHelper returns a random router to send an IndirectPing to, or nil if it finds none. It
// prefers a helper that this router reaches directly. An unreachable helper cannot relay a probe,
// and its missing answer says nothing about the target.
func (m *Machine) chooseHelper(excluded []*peer) *peer {
	for range pickAttempts {
		if helper := m.randomPeer(excluded); helper != nil && helper.direct {
			return helper
		}
	}
	return m.randomPeer(excluded)
}

// failProbe ends the active probe. If the target has not answered, the target becomes suspect. A
// helper is a router that was asked to probe the target, and sends a Nack if the target does not
// answer it. Each helper whose Nack has not arrived raises this router's health score: a Nack
// shows that packets reach this router in time, so without it this router itself may be slow.
func (m *Machine) failProbe() {
	probe := &m.probe
	target := probe.target
	probe.target = nil
	if target == nil || !target.State.Present() {
		return
	}
	target.direct = false
	// A target that has never been verified may not exist, so its missing answer is no
	// evidence that this router is slow.
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

// handleProbeReply handles an Ack or Nack to this router's own probe, or to a probe that it
// made for another router.
func (m *Machine) handleProbeReply(sender *peer, reply *Packet) {
	probe := &m.probe
	if probe.target == nil || reply.Nonce != probe.nonce {
		m.handleRelayReply(sender, reply)
		return
	}
	switch {
	case reply.Kind == Nack:
		probe.nackCount++
	case reply.Target == probe.target.ID: // an answer of the target, direct or relayed by a helper
		probe.target.direct = sender == probe.target
		if !probe.target.direct {
			probe.target.lastHelper = sender.ID
		}
		probe.target = nil
		m.lowerHealthScore(1)
	}
}

// randomPeer returns a random router that is present and not excluded, or nil if it finds none
// in pickAttempts choices.
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
