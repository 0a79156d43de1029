package membership

import "math"

// peer holds what this router knows about another one.
type peer struct {
	Update
	stateSince     float64 // ms
	lastReceivedAt float64 // when its latest packet arrived, ms; 0: never
	replay         replayWindow
	direct         bool // it answered the latest probe directly, not through another router
	lastHelper     ID   // router that relayed its latest indirect answer

	suspectedBy       []ID    // routers that suspect it, in the order of their reports
	suspectedAt       float64 // ms
	suspicionDeadline float64 // ms
	rechecks          int     // probes sent by recheckSuspect during this suspicion
}

// nextRecheckAt returns when a suspect is probed again before it is declared failed, in ms.
// Without these probes, a router that gossip does not reach with the refutation, and that
// receives no packet from the suspect in the meantime, declares a live router failed: with 30
// routers and 5% packet loss, this happened in one of a thousand suspicions.
func (r *peer) nextRecheckAt() float64 {
	duration := r.suspicionDeadline - r.suspectedAt
	switch r.rechecks {
	case 0:
		return r.suspectedAt + duration/2
	case 1:
		return r.suspectedAt + duration*3/4
	}
	return math.Inf(1)
}

// replayWindowLen is the number of sequence numbers, up to the highest one received, for which
// a packet is still accepted.
const replayWindowLen = 64

// replayWindow accepts each packet of one incarnation of a sender once, and rejects packets
// that are much older than the newest. The sender is verified once that incarnation has
// answered a request of this router, since a replayed packet does not contain the nonce of a
// new request.
type replayWindow struct {
	incarnation uint64
	verified    bool
	highest     uint64 // sequence number
	seen        uint64 // bit n is set if sequence number highest-n was accepted
}

// verifiedFor reports whether this incarnation of the sender has been verified.
func (w *replayWindow) verifiedFor(incarnation uint64) bool {
	return w.verified && w.incarnation == incarnation
}

// accept records a sequence number. It returns false if a packet with that number was
// accepted before, or if the number is below the window.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence > w.highest {
		if advance := sequence - w.highest; advance < replayWindowLen {
			w.seen = w.seen<<advance | 1
		} else {
			w.seen = 1
		}
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= replayWindowLen || w.seen>>age&1 == 1 {
		return false
	}
	w.seen |= 1 << age
	return true
}
