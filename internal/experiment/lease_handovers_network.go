package experiment

import (
	"fmt"

	"garnetline/internal/fleet/lease"
)

// Parameters of the network in a run of LeaseHandovers. Times are in ms. A constant whose name ends in
// OneIn stands for a probability: 1 divided by the constant.
const (
	handoverLoss        = 0.03 // share of the messages that are lost
	handoverMinDelay    = 0.5
	handoverMeanJitter  = 2 // mean of the random time that is added to the delay
	handoverLateOneIn   = 50
	handoverMaxLateness = 200 // maximum of the random time that is added to the delay of late messages

	handoverDuplicateOneIn = 30
	handoverDuplicateDelay = 20 // time between the arrivals of the two copies
)

// handoverMessage is a packet in flight. Exactly one of request, response and write is set.
type handoverMessage struct {
	arrivesAt float64
	router    int // index of the sender; index of the receiver for a response
	request   *lease.Request
	response  *lease.Response
	write     *fencedWrite
}

// fencedWrite is a write that a router sends to a server under the lease.
type fencedWrite struct {
	token uint64  // fencing token
	dueAt float64 // true time at which the write is due; a paused router sends the write later
}

// send schedules the arrival of a message, unless the message is lost or a partition stops it.
func (r *handoverRun) send(message handoverMessage) {
	lost := r.rng.Float64() < handoverLoss
	if lost || r.partitioned(message) {
		return
	}
	message.arrivesAt = r.now + handoverMinDelay + r.rng.ExpFloat64()*handoverMeanJitter
	if r.rng.IntN(handoverLateOneIn) == 0 {
		message.arrivesAt += handoverMaxLateness * r.rng.Float64()
	}
	r.inFlight = append(r.inFlight, message)
	if r.rng.IntN(handoverDuplicateOneIn) == 0 {
		message.arrivesAt += handoverDuplicateDelay
		r.inFlight = append(r.inFlight, message)
	}
}

// partitioned reports whether a partition stops a message. A partition separates a router from
// the registry only; writes go directly to a server.
func (r *handoverRun) partitioned(message handoverMessage) bool {
	return message.write == nil && r.now < r.routers[message.router].partitionedUntil
}

// deliver passes a message to the registry, a router or the receiver of writes.
func (r *handoverRun) deliver(message handoverMessage) {
	switch {
	case message.write != nil:
		r.receiveWrite(message.write.token)
	case message.request != nil:
		r.handleRequest(r.routers[message.router], *message.request)
	default:
		r.receiveResponse(r.routers[message.router], *message.response)
	}
}

// receiveWrite handles a write at the server that receives it. The server rejects a write if its
// fencing token is lower than the highest token that the server has seen.
func (r *handoverRun) receiveWrite(token uint64) {
	highest := r.receiver[leaseName]
	if r.options.Without == FencingTokens && token < highest {
		r.outcome.Violation = fmt.Sprintf("at %.0f ms a write with fencing token %d arrived after one with token %d", r.now, token, highest)
	}
	if !r.receiver.Admit(leaseName, token) {
		r.outcome.Rejected++
	}
}
