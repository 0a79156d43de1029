package membership

import (
	"net/netip"
	"slices"
)

const (
	maxRelays = 64
	// relayLifetime is how many probe intervals a relayed probe waits for a late answer
	// after its Nack.
	relayLifetime = 2
)

// relayedProbe is a probe made for another router.
type relayedProbe struct {
	replyAddr    netip.AddrPort
	requester    ID
	requestNonce uint64
	probeNonce   uint64
	target       ID
	deadline     float64 // of the Nack, then of the relayed probe
	nackSent     bool
}

// startRelay probes a router for another one.
func (m *Machine) startRelay(requester *peer, request *Packet) {
	if !request.TargetAddr.IsValid() || len(m.relays) == maxRelays || request.Target == m.self.ID {
		return
	}
	nonce := m.newRequest(request.Target, false)
	m.relays = append(m.relays, relayedProbe{
		replyAddr:    requester.Addr,
		requester:    requester.ID,
		requestNonce: request.Nonce,
		probeNonce:   nonce,
		target:       request.Target,
		deadline:     m.now + m.settings.ProbeTimeout/2,
	})
	m.send(request.TargetAddr, m.peers[request.Target], &Packet{Kind: Ping, Nonce: nonce, Target: request.Target})
}

// handleRelayReply passes on the answer to a probe that was made for another router.
func (m *Machine) handleRelayReply(sender *peer, reply *Packet) {
	for i, relay := range m.relays {
		if reply.Nonce != relay.probeNonce || reply.Kind != Ack || sender.ID != relay.target {
			continue
		}
		m.relays = slices.Delete(m.relays, i, i+1)
		m.send(relay.replyAddr, m.peers[relay.requester], &Packet{Kind: Ack, Nonce: relay.requestNonce, Target: relay.target})
		return
	}
}

// runRelays sends each requester one Nack where its probe has no answer in time, and drops
// the probe a while later: a late answer is still passed on.
func (m *Machine) runRelays() {
	m.relays = slices.DeleteFunc(m.relays, func(relay relayedProbe) bool {
		return relay.nackSent && relay.deadline <= m.now
	})
	for i := range m.relays {
		relay := &m.relays[i]
		if relay.deadline > m.now {
			continue
		}
		m.send(relay.replyAddr, m.peers[relay.requester], &Packet{Kind: Nack, Nonce: relay.requestNonce, Target: relay.target})
		relay.nackSent = true
		relay.deadline = m.now + relayLifetime*m.settings.ProbeInterval
	}
}
