package membership

import (
	"net/netip"
	"slices"
)

const (
	maxRelays = 64
	// relayLifetime is the number of probe intervals that a relayed probe waits for a late answer
	// after the Nack has been sent, which says that the target has not answered in time.
	relayLifetime = 2
)

// relayedProbe is a probe that this router makes at the request of another router.
type relayedProbe struct {
	replyAddr    netip.AddrPort
	requester    ID
	requestNonce uint64
	probeNonce   uint64
	target       ID
	deadline     float64 // ms; before the Nack is sent: time to send it; afterwards: time to drop the probe
	nackSent     bool
}

// startRelay probes the target of an IndirectPing for the router that sent the IndirectPing.
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

// handleRelayReply forwards the answer to a relayed probe to the router that requested the probe.
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

// runRelays sends one Nack to the requester of a relayed probe that is not answered in time. It
// drops the probe only after relayLifetime, so that a late answer is still forwarded.
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
