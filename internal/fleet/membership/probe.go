package membership

import (
	"net/netip"
	"slices"
)

// activeProbe is the one that is out.
type activeProbe struct {
	target        *peer // nil: none, or it was answered
	nonce         uint64
	helpAt        float64 // when others are asked to probe too
	helpRequested bool
	nackCount     int
	helperCount   int
}

// relayedProbe is a probe made for another router.
type relayedProbe struct {
	replyAddr    netip.AddrPort
	requester    ID // who asked
	requestNonce uint64
	probeNonce   uint64
	target       ID
	deadline     float64 // when it is told that there is no answer yet, then when it is over
	nackSent     bool
}

const maxRelays = 64

// runProbe goes on with the probe that is out and begins the next one when its time has
// come. A router that is itself slow probes slower and waits longer.
func (m *Machine) runProbe() {
	slow := float64(1 + m.healthScore)
	if p := &m.probe; p.target != nil && !p.helpRequested && p.helpAt <= m.now {
		p.helpRequested = true
		m.requestIndirectProbes()
	}
	if m.nextProbeAt > m.now {
		return
	}
	m.nextProbeAt = m.now + m.settings.ProbeInterval*slow
	m.failProbe()
	r := m.nextProbeTarget()
	if r == nil {
		return
	}
	m.probe = activeProbe{target: r, nonce: m.newRequest(r.ID, false), helpAt: m.now + min(m.settings.ProbeTimeout*slow, m.settings.ProbeInterval*slow/2)}
	m.send(r.Addr, r, &Packet{Kind: Ping, Nonce: m.probe.nonce, Target: r.ID})
}

// nextProbeTarget is the next one of the round, which is shuffled when it is through.
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

// forgetDeparted drops those that have been gone for long.
func (m *Machine) forgetDeparted() {
	m.departed = slices.DeleteFunc(m.departed, func(r *peer) bool {
		old := m.now-r.stateSince >= m.settings.ForgetAfter
		if old {
			delete(m.peers, r.ID)
			m.output.ViewChanged = true
		}
		return old
	})
}

// requestIndirectProbes asks others to probe the one that has not answered, and asks it once more.
func (m *Machine) requestIndirectProbes() {
	p := &m.probe
	m.send(p.target.Addr, p.target, &Packet{Kind: Ping, Nonce: p.nonce, Target: p.target.ID})
	asked := []*peer{p.target}
	for i := range m.settings.IndirectProbes {
		r := m.peers[p.target.lastHelper] // who got through the last time will again
		if i > 0 || r == nil || !r.State.Present() {
			r = m.chooseHelper(asked)
		}
		if r == nil {
			return
		}
		asked = append(asked, r)
		p.helperCount++
		ask := &Packet{Kind: IndirectPing, Nonce: p.nonce, Target: p.target.ID, TargetAddr: p.target.Addr}
		if p.target.State != Alive { // it is told by the helper, if only that one reaches it
			ask.Updates = append(ask.Updates, p.target.Update)
		}
		m.send(r.Addr, r, ask)
	}
}

// recheckSuspect asks one that is suspect, by itself and by a helper, before it is failed. Both
// packets carry the suspicion.
func (m *Machine) recheckSuspect(r *peer) {
	m.send(r.Addr, r, &Packet{Kind: Ping, Nonce: m.newRequest(r.ID, false), Target: r.ID})
	if h := m.chooseHelper([]*peer{r}); h != nil {
		m.send(h.Addr, h, &Packet{Kind: IndirectPing, Nonce: m.newRequest(r.ID, false), Target: r.ID, TargetAddr: r.Addr, Updates: []Update{r.Update}})
	}
}

// chooseHelper draws one who is to probe for this router: best one that it reaches itself, for
// one that is cut off from it too helps nobody, and its silence says nothing.
func (m *Machine) chooseHelper(but []*peer) *peer {
	for range 8 {
		if r := m.randomPeer(but); r != nil && r.direct {
			return r
		}
	}
	return m.randomPeer(but)
}

// failProbe judges a probe whose period is over. Helpers that said nothing at all make
// this router doubt itself.
func (m *Machine) failProbe() {
	p := &m.probe
	r := p.target
	if r == nil || r.State != Alive && r.State != Suspect {
		p.target = nil
		return
	}
	p.target = nil
	r.direct = false
	if r.replay.verified { // one that was only ever told of says nothing about this router
		if p.helperCount > 0 {
			m.raiseHealthScore(p.helperCount - p.nackCount)
		} else {
			m.raiseHealthScore(1)
		}
	}
	w := r.Update
	w.State, w.ReportedBy = Suspect, m.self.ID
	m.applyUpdate(w, "no answer to a probe")
}

// handleProbeReply takes an Ack or Nack of a probe, its own or one made for another.
func (m *Machine) handleProbeReply(r *peer, p *Packet) {
	if out := &m.probe; out.target != nil && p.Nonce == out.nonce {
		switch {
		case p.Kind == Nack:
			out.nackCount++
		case p.Target == out.target.ID: // by itself, or by one who probed for us
			if out.target.direct = r == out.target; !out.target.direct {
				out.target.lastHelper = r.ID
			}
			out.target = nil
			m.lowerHealthScore(1)
		}
		return
	}
	for i, x := range m.relays {
		if p.Nonce == x.probeNonce && p.Kind == Ack && r.ID == x.target {
			m.relays = slices.Delete(m.relays, i, i+1)
			m.send(x.replyAddr, m.peers[x.requester], &Packet{Kind: Ack, Nonce: x.requestNonce, Target: x.target})
			return
		}
	}
}

// startRelay probes for another.
func (m *Machine) startRelay(r *peer, p *Packet) {
	if !p.TargetAddr.IsValid() || len(m.relays) == maxRelays || p.Target == m.self.ID {
		return
	}
	n := m.newRequest(p.Target, false)
	m.relays = append(m.relays, relayedProbe{replyAddr: r.Addr, requester: r.ID, requestNonce: p.Nonce, probeNonce: n, target: p.Target, deadline: m.now + m.settings.ProbeTimeout/2})
	m.send(p.TargetAddr, m.peers[p.Target], &Packet{Kind: Ping, Nonce: n, Target: p.Target})
}

// runRelays tells those who asked for a probe that it has no answer yet, once, and gives
// up a while later: a late answer is still passed on.
func (m *Machine) runRelays() {
	m.relays = slices.DeleteFunc(m.relays, func(x relayedProbe) bool { return x.nackSent && x.deadline <= m.now })
	for i := range m.relays {
		if x := &m.relays[i]; x.deadline <= m.now {
			m.send(x.replyAddr, m.peers[x.requester], &Packet{Kind: Nack, Nonce: x.requestNonce, Target: x.target})
			x.nackSent, x.deadline = true, m.now+2*m.settings.ProbeInterval
		}
	}
}

// reconnect tries one that failed, or an address of the file at which nobody is known: a cut
// that heals is found in this way, and so is the fleet at the start.
func (m *Machine) reconnect() {
	var to []netip.AddrPort
	for _, r := range m.departed {
		if r.State == Failed {
			to = append(to, r.Addr)
		}
	}
	for _, s := range m.seeds {
		if s != m.self.Addr && !slices.ContainsFunc(m.present, func(r *peer) bool { return r.Addr == s }) {
			to = append(to, s)
		}
	}
	if len(to) > 0 {
		m.requestSync(to[m.rng.IntN(len(to))], 0)
	}
}

// randomPeer draws one that is there and is none of those.
func (m *Machine) randomPeer(but []*peer) *peer {
	for range 8 {
		if len(m.present) == 0 {
			return nil
		}
		if r := m.present[m.rng.IntN(len(m.present))]; !slices.Contains(but, r) {
			return r
		}
	}
	return nil
}
