package membership

import "math"

// peer holds this router's knowledge about another router.
type peer struct {
	Update
	stateSince     float64 // ms
	lastReceivedAt float64 // when the peer's latest packet arrived, ms; 0: never
	replay         replayWindow
	direct         bool // the peer answered the latest probe directly, not through another router
	lastHelper     ID   // router that relayed the peer's latest indirect answer

	suspectedBy       []ID    // routers that suspect the peer, in the order of their reports
	suspectedAt       float64 // ms
	suspicionDeadline float64 // ms
	rechecks          int     // probes sent by recheckSuspect during this suspicion
}

// nextRecheckAt returns the time at which a suspect is probed again, in ms. A suspect is probed
// again twice before it is declared failed. Without these probes, a router could miss both the
// gossip of the refutation and all packets of the suspect, and would declare a live router
// failed. With 30 routers and 5% packet loss, this happened in one of a thousand suspicions.
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

// replayWindowLen is the number of sequence numbers in the replay window, which ends at the
// highest number received. A packet with a lower number than those in the window is rejected.
const replayWindowLen = 64

// replayWindow accepts each packet of one incarnation of a sender once, and rejects packets
// that are much older than the newest. The sender is verified as soon as that incarnation has
// answered a request of this router. A replayed packet cannot verify the sender,
// because it does not contain the nonce of a new request.
type replayWindow struct {
	incarnation uint64
	verified    bool
	highest     uint64 // sequence number
	seen        uint64 // bit n is set if sequence number highest-n was accepted
}

// verifiedFor reports whether the given incarnation of the sender has been verified.
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
