package experiment

import (
	"fmt"

	"garnetline/internal/fleet/lease"
)

// The network of a run of LeaseHandovers. Times are in ms.
const (
	handoverLoss        = 0.03 // share of the messages that is lost
	handoverMinDelay    = 0.5
	handoverMeanJitter  = 2 // on top
	handoverLateOneIn   = 50
	handoverMaxLateness = 200 // on top, of those that are late

	handoverDuplicateOneIn = 30
	handoverDuplicateDelay = 20 // after the first copy
)

// handoverMessage is a packet on its way. Exactly one of request, response and write is set.
type handoverMessage struct {
	arrivesAt float64
	router    int // index of the router that sent it or, of a response, that receives it
	request   *lease.Request
	response  *lease.Response
	write     *fencedWrite
}

// fencedWrite is what a router sends to a server under the lease.
type fencedWrite struct {
	token uint64
	dueAt float64 // true time at which it is written, unless the router is paused then
}

// send puts a message on its way, unless it is lost.
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

// partitioned tells whether a partition stops a message. Writes do not pass the registry.
func (r *handoverRun) partitioned(message handoverMessage) bool {
	return message.write == nil && r.now < r.routers[message.router].partitionedUntil
}

// deliver has the registry, a router or the receiver of writes handle a message.
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

// receiveWrite is the receiver of writes, which rejects those of an earlier holder.
func (r *handoverRun) receiveWrite(token uint64) {
	highest := r.receiver[leaseName]
	if r.options.Without == FencingTokens && token < highest {
		r.outcome.Violation = fmt.Sprintf("at %.0f ms an act of token %d came after one of %d", r.now, token, highest)
	}
	if !r.receiver.Admit(leaseName, token) {
		r.outcome.Rejected++
	}
}
