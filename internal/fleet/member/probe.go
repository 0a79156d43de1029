package member

import (
	"net/netip"
	"slices"
)

// probe is the one that is out.
type probe struct {
	of     *record // nil: none, or it was answered
	nonce  uint64
	help   float64 // when others are asked to probe too
	helped bool
	nacks  int
	asked  int
}

// relay is a probe made for another router.
type relay struct {
	back   netip.AddrPort
	id     ID // who asked
	nonce  uint64
	mine   uint64
	of     ID
	nack   float64 // when it is told that there is no answer yet, then when it is over
	nacked bool
}

const maxRelays = 64

// probing goes on with the probe that is out and begins the next one when its time has
// come. A router that is itself slow probes slower and waits longer.
func (m *Machine) probing() {
	slow := float64(1 + m.health)
	if p := &m.probe; p.of != nil && !p.helped && p.help <= m.now {
		p.helped = true
		m.help()
	}
	if m.nextProbe > m.now {
		return
	}
	m.nextProbe = m.now + m.set.Period*slow
	m.unanswered()
	r := m.turn()
	if r == nil {
		return
	}
	m.probe = probe{of: r, nonce: m.question(r.ID, false), help: m.now + min(m.set.Timeout*slow, m.set.Period*slow/2)}
	m.send(r.Addr, r, &Packet{Kind: Ping, Nonce: m.probe.nonce, Target: r.ID})
}

// turn is the next one of the round, which is shuffled when it is through.
func (m *Machine) turn() *record {
	if m.place >= len(m.round) {
		m.place = 0
		m.rng.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
		m.forget()
	}
	if len(m.round) == 0 {
		return nil
	}
	m.place++
	return m.round[m.place-1]
}

// forget drops those that have been gone for long.
func (m *Machine) forget() {
	m.gone = slices.DeleteFunc(m.gone, func(r *record) bool {
		old := m.now-r.since >= m.set.Forget
		if old {
			delete(m.by, r.ID)
			m.out.Moved = true
		}
		return old
	})
}

// help asks others to probe the one that has not answered, and asks it once more.
func (m *Machine) help() {
	p := &m.probe
	m.send(p.of.Addr, p.of, &Packet{Kind: Ping, Nonce: p.nonce, Target: p.of.ID})
	asked := []*record{p.of}
	for i := range m.set.Indirect {
		r := m.by[p.of.via] // who got through the last time will again
		if i > 0 || r == nil || !r.State.There() {
			r = m.helper(asked)
		}
		if r == nil {
			return
		}
		asked = append(asked, r)
		p.asked++
		ask := &Packet{Kind: PingFor, Nonce: p.nonce, Target: p.of.ID, At: p.of.Addr}
		if p.of.State != Alive { // it is told by the helper, if only that one reaches it
			ask.Words = append(ask.Words, p.of.Word)
		}
		m.send(r.Addr, r, ask)
	}
}

// checking asks one that is suspect, by itself and by a helper, before it is failed. Both
// packets carry the suspicion.
func (m *Machine) checking(r *record) {
	m.send(r.Addr, r, &Packet{Kind: Ping, Nonce: m.question(r.ID, false), Target: r.ID})
	if h := m.helper([]*record{r}); h != nil {
		m.send(h.Addr, h, &Packet{Kind: PingFor, Nonce: m.question(r.ID, false), Target: r.ID, At: r.Addr, Words: []Word{r.Word}})
	}
}

// helper draws one who is to probe for this router: best one that it reaches itself, for
// one that is cut off from it too helps nobody, and its silence says nothing.
func (m *Machine) helper(but []*record) *record {
	for range 8 {
		if r := m.anyone(but); r != nil && r.direct {
			return r
		}
	}
	return m.anyone(but)
}

// unanswered judges a probe whose period is over. Helpers that said nothing at all make
// this router doubt itself.
func (m *Machine) unanswered() {
	p := &m.probe
	r := p.of
	if r == nil || r.State != Alive && r.State != Suspect {
		p.of = nil
		return
	}
	p.of = nil
	r.direct = false
	if r.proof.open { // one that was only ever told of says nothing about this router
		if p.asked > 0 {
			m.worse(p.asked - p.nacks)
		} else {
			m.worse(1)
		}
	}
	w := r.Word
	w.State, w.By = Suspect, m.self.ID
	m.apply(w, "no answer to a probe")
}

// answered takes an Ack or Nack of a probe, its own or one made for another.
func (m *Machine) answered(r *record, p *Packet) {
	if out := &m.probe; out.of != nil && p.Nonce == out.nonce {
		switch {
		case p.Kind == Nack:
			out.nacks++
		case p.Target == out.of.ID: // by itself, or by one who probed for us
			if out.of.direct = r == out.of; !out.of.direct {
				out.of.via = r.ID
			}
			out.of = nil
			m.better(1)
		}
		return
	}
	for i, x := range m.relays {
		if p.Nonce == x.mine && p.Kind == Ack && r.ID == x.of {
			m.relays = slices.Delete(m.relays, i, i+1)
			m.send(x.back, m.by[x.id], &Packet{Kind: Ack, Nonce: x.nonce, Target: x.of})
			return
		}
	}
}

// relay probes for another.
func (m *Machine) relay(r *record, p *Packet) {
	if !p.At.IsValid() || len(m.relays) == maxRelays || p.Target == m.self.ID {
		return
	}
	n := m.question(p.Target, false)
	m.relays = append(m.relays, relay{back: r.Addr, id: r.ID, nonce: p.Nonce, mine: n, of: p.Target, nack: m.now + m.set.Timeout/2})
	m.send(p.At, m.by[p.Target], &Packet{Kind: Ping, Nonce: n, Target: p.Target})
}

// relaying tells those who asked for a probe that it has no answer yet, once, and gives
// up a while later: a late answer is still passed on.
func (m *Machine) relaying() {
	m.relays = slices.DeleteFunc(m.relays, func(x relay) bool { return x.nacked && x.nack <= m.now })
	for i := range m.relays {
		if x := &m.relays[i]; x.nack <= m.now {
			m.send(x.back, m.by[x.id], &Packet{Kind: Nack, Nonce: x.nonce, Target: x.of})
			x.nacked, x.nack = true, m.now+2*m.set.Period
		}
	}
}

// reach tries one that failed, or an address of the file at which nobody is known: a cut
// that heals is found in this way, and so is the fleet at the start.
func (m *Machine) reach() {
	var to []netip.AddrPort
	for _, r := range m.gone {
		if r.State == Failed {
			to = append(to, r.Addr)
		}
	}
	for _, s := range m.seeds {
		if s != m.self.Addr && !slices.ContainsFunc(m.round, func(r *record) bool { return r.Addr == s }) {
			to = append(to, s)
		}
	}
	if len(to) > 0 {
		m.ask(to[m.rng.IntN(len(to))], 0)
	}
}

// anyone draws one that is there and is none of those.
func (m *Machine) anyone(but []*record) *record {
	for range 8 {
		if len(m.round) == 0 {
			return nil
		}
		if r := m.round[m.rng.IntN(len(m.round))]; !slices.Contains(but, r) {
			return r
		}
	}
	return nil
}
