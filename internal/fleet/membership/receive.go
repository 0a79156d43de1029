package membership

import "slices"

const (
	maxUnverified      = 64   // stored packets of senders that have not been verified yet
	maxPendingRequests = 1024 // requests that wait for an answer
	maxCorrections     = 8    // updates in the packet that corrects a sender's outdated suspicions

	// lifetimeIntervals is the number of probe intervals after which an unanswered request is
	// dropped, and after which the stored packet of an unverified sender is dropped.
	lifetimeIntervals = 4
	// minRequestLifetime is the shortest such time in ms. The next request does not replace the one before, so
	// a peer that answers each request late is verified too.
	minRequestLifetime = 7000.0
)

// pendingRequest is a request that a later packet may answer.
type pendingRequest struct {
	nonce     uint64
	target    ID // 0: any router may answer
	expiresAt float64
	sync      bool // the request is a SyncRequest
}

// unverifiedPacket is a packet that is stored until its sender has been verified. A sender is
// verified when it has answered a request of this router.
type unverifiedPacket struct {
	packet    *Packet
	expiresAt float64
}

// handlePacket handles a decrypted and decoded packet.
func (m *Machine) handlePacket(packet *Packet) {
	if packet.From.ID == m.self.ID {
		m.applySelfUpdate(packet.From)
		return
	}
	incarnation := packet.From.Incarnation()
	sender := m.peers[packet.From.ID]
	if sender != nil && incarnation < sender.Incarnation() {
		m.rejectOldIncarnation(sender, packet)
		return
	}
	verified := sender != nil && sender.replay.verifiedFor(incarnation)
	if verified && !sender.replay.accept(packet.Sequence) {
		m.Replays++
		return
	}
	request, answered := m.matchRequest(packet)
	if !verified && !answered {
		m.challenge(packet)
		return
	}
	if !verified {
		m.applyUpdate(packet.From, "router answered a request")
		if sender = m.peers[packet.From.ID]; sender == nil {
			return // the member limit is reached
		}
		sender.replay = replayWindow{incarnation: incarnation, verified: true, highest: packet.Sequence, seen: 1}
		sender.direct = true
	}
	m.handleVerified(sender, packet, answered && request.sync)
	m.releaseUnverified(sender, incarnation)
}

// rejectOldIncarnation drops a packet from an earlier incarnation of the sender. The packet may be
// a replay. If the packet is a SyncRequest or a Ping, the answer is the known update about the
// sender. From this update, an earlier process that still runs learns that a later process has
// its ID, or that the later process failed or left.
func (m *Machine) rejectOldIncarnation(known *peer, packet *Packet) {
	m.Replays++
	if packet.Kind == SyncRequest || packet.Kind == Ping {
		m.send(packet.From.Addr, nil, &Packet{Kind: Gossip, Updates: []Update{known.Update}})
	}
}

// challenge sends a Ping to a sender that has not been verified, and stores the sender's packet
// until the sender answers.
func (m *Machine) challenge(packet *Packet) {
	if packet.Kind == Ping && m.isTarget(packet) {
		m.send(packet.From.Addr, nil, &Packet{Kind: Ack, Nonce: packet.Nonce, Target: m.self.ID})
		packet.Kind = Gossip // the Ping is answered; the packet's updates and items wait for the verification
	}
	if packet.Kind == Ack || packet.Kind == Nack || packet.Kind == SyncResponse {
		return // the packet answers no request of this router
	}
	m.unverified = slices.DeleteFunc(m.unverified, func(waiting unverifiedPacket) bool {
		return waiting.expiresAt <= m.now || waiting.packet.From.ID == packet.From.ID
	})
	if len(m.unverified) == maxUnverified { // drop the oldest packet: its sender had the most time to answer
		m.unverified = m.unverified[1:]
	}
	m.unverified = append(m.unverified, unverifiedPacket{packet, m.now + m.requestLifetime(1)})
	m.send(packet.From.Addr, nil, &Packet{Kind: Ping, Nonce: m.newRequest(packet.From.ID, false), Target: packet.From.ID})
}

// releaseUnverified handles the stored packet of a sender that has just been verified.
func (m *Machine) releaseUnverified(sender *peer, incarnation uint64) {
	i := slices.IndexFunc(m.unverified, func(waiting unverifiedPacket) bool { return waiting.packet.From.ID == sender.ID })
	if i < 0 {
		return
	}
	packet := m.unverified[i].packet
	m.unverified = slices.Delete(m.unverified, i, i+1)
	if packet.From.Incarnation() == incarnation && sender.replay.accept(packet.Sequence) {
		m.handleVerified(sender, packet, false)
	}
}

// isTarget returns true if a packet is addressed to this router, or if its Target is 0 and any
// router may receive it.
func (m *Machine) isTarget(packet *Packet) bool {
	return packet.Target == m.self.ID || packet.Target == 0
}

// handleVerified handles a packet of a verified sender, which has answered a request of this
// router. The argument answersSync tells whether the packet answers a SyncRequest of this router.
func (m *Machine) handleVerified(sender *peer, packet *Packet, answersSync bool) {
	sender.lastReceivedAt = m.now
	m.lastReceivedAt = m.now
	m.applySenderUpdate(sender, packet.From)
	m.applyUpdates(sender, packet.Updates)
	for _, item := range packet.Items {
		if m.store != nil && m.store.Receive(m.now, sender.ID, item) {
			m.Broadcast(item)
		}
	}
	switch packet.Kind {
	case Ping:
		if m.isTarget(packet) {
			m.send(sender.Addr, sender, &Packet{Kind: Ack, Nonce: packet.Nonce, Target: m.self.ID})
		}
	case Ack, Nack:
		m.handleProbeReply(sender, packet)
	case IndirectPing:
		m.startRelay(sender, packet)
	case Data:
		if len(packet.Payload) > 0 {
			m.output.Payloads = append(m.output.Payloads, Payload{sender.ID, sender.Incarnation(), packet.Payload})
		}
	case SyncRequest:
		m.sendDifferences(sender, packet, SyncResponse)
	case SyncResponse:
		if answersSync && packet.Checksums != nil {
			m.sendDifferences(sender, packet, Gossip)
		}
	}
}

// applySenderUpdate applies a sender's update about itself. If the update refutes a suspicion,
// this router notifies the routers that reported the suspicion, without waiting for gossip.
func (m *Machine) applySenderUpdate(sender *peer, update Update) {
	suspected := sender.State == Suspect
	m.applyUpdate(update, "update from the router itself")
	if !suspected || sender.State != Alive {
		return
	}
	for _, id := range sender.suspectedBy {
		if reporter := m.peers[id]; reporter != nil && reporter.State.Present() {
			m.send(reporter.Addr, reporter, &Packet{Kind: Gossip, Updates: []Update{sender.Update}})
		}
	}
}

// applyUpdates applies the updates in a sender's packet. A sender with an outdated suspicion has
// missed the refutation and may soon declare a live router failed. This router therefore sends
// the newer update to that sender immediately.
func (m *Machine) applyUpdates(sender *peer, updates []Update) {
	var corrections []Update
	for i := range updates {
		update := &updates[i]
		m.applyUpdate(*update, "update from another router")
		known := m.peers[update.ID]
		if known == nil || update.State == Alive || known.State != Alive {
			continue
		}
		if newer(&known.Update, update) && len(corrections) < maxCorrections {
			corrections = append(corrections, known.Update)
		}
	}
	if corrections != nil {
		m.send(sender.Addr, sender, &Packet{Kind: Gossip, Updates: corrections})
	}
}

// matchRequest returns the pending request that a packet answers. The request stays pending
// until it expires, since several packets may answer a SyncRequest.
func (m *Machine) matchRequest(packet *Packet) (request pendingRequest, ok bool) {
	if packet.Kind != Ack && packet.Kind != Nack && packet.Kind != SyncResponse {
		return pendingRequest{}, false
	}
	for _, request := range m.pending {
		if request.nonce == packet.Nonce && (request.target == 0 || request.target == packet.From.ID) {
			return request, true
		}
	}
	return pendingRequest{}, false
}

// requestLifetime returns the time in ms after which an unanswered request, or the stored packet of an unverified
// sender, is dropped. The multiplier prolongs the probe intervals in it.
func (m *Machine) requestLifetime(multiplier float64) float64 {
	return max(minRequestLifetime, lifetimeIntervals*m.settings.ProbeInterval*multiplier)
}

// newRequest adds a pending request to the given target and returns the request's nonce. It drops
// the oldest request if maxPendingRequests requests are pending.
func (m *Machine) newRequest(target ID, sync bool) (nonce uint64) {
	if len(m.pending) == maxPendingRequests {
		m.pending = m.pending[1:]
	}
	nonce = m.rng.Uint64() | 1
	expiresAt := m.now + m.requestLifetime(m.healthMultiplier()) // longer while this router is slow
	m.pending = append(m.pending, pendingRequest{nonce, target, expiresAt, sync})
	return nonce
}
