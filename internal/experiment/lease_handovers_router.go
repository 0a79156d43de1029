package experiment

import (
	"fmt"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

// Random draws in each step decide what the holder of the lease does and which faults affect it.
const (
	writeOneIn       = 8 // the holder decides to write with probability 1/writeOneIn
	maxPendingWrites = 4
	maxWriteDelay    = 2 // ms from the decision to write until the write is sent

	// A random number from 0 to holderDraws-1 selects a transfer of the lease, a pause of the
	// holder, a partition of the holder, or nothing.
	holderDraws   = 100
	transferDraws = 2 // numbers below transferDraws select a transfer
	pauseDraw     = 2 // this number selects a pause
	partitionDraw = 3 // this number selects a partition

	holderFaultOneIn = 8    // a selected pause or partition takes place with probability 1/holderFaultOneIn
	maxHolderFault   = 2500 // ms; maximum duration of a pause or partition
)

// handoverRouter is a router of a run of LeaseHandovers.
type handoverRouter struct {
	*lease.Holder
	index            int
	id               membership.ID
	clockRate        float64
	pausedUntil      float64          // true time, ms
	partitionedUntil float64          // true time, ms; until then the router cannot reach the registry, but its writes arrive
	queuedResponses  []lease.Response // received while paused
	pendingWrites    []fencedWrite    // writes that the router decided to send and has not sent yet
	wakeAt           float64          // ms, by the router's clock
}

func newHandoverRouter(settings lease.Settings, index int, ids []membership.ID, clockRate float64) *handoverRouter {
	return &handoverRouter{
		Holder:    lease.NewHolder(settings, ids[index], firstRequestID(index)),
		index:     index,
		id:        ids[index],
		clockRate: clockRate,
	}
}

// localTime returns the time in ms that a router's clock shows.
func (r *handoverRun) localTime(router *handoverRouter) float64 { return r.now * router.clockRate }

// valid reports whether a router may act under the lease, judged by the router's own clock and
// state, and returns the fencing token of the lease.
func (r *handoverRun) valid(router *handoverRouter) (token uint64, ok bool) {
	if r.options.Without == HolderExpiry {
		if _, token := router.Expiry(leaseName); token != 0 {
			return token, true
		}
	}
	return router.Valid(r.localTime(router), leaseName)
}

// receiveResponse passes a response to its router, or queues it while the router is paused.
func (r *handoverRun) receiveResponse(router *handoverRouter, response lease.Response) {
	if r.now < router.pausedUntil {
		router.queuedResponses = append(router.queuedResponses, response)
		return
	}
	r.handleResponse(router, response)
	router.wakeAt = 0
}

func (r *handoverRun) handleResponse(router *handoverRouter, response lease.Response) {
	if r.options.Without == LeaseFromRequest { // as if the request had been sent when the response arrived
		router.Backdate(leaseName, response.RequestID, r.localTime(router))
	}
	for _, change := range router.HandleResponse(r.localTime(router), response) {
		if change.FencingToken != 0 && change.FencingToken != r.latestToken {
			r.recordHandover(change.FencingToken)
		}
	}
}

// recordHandover records that a router holds the lease under a new fencing token. It also records for
// how long no router held the lease before.
func (r *handoverRun) recordHandover(token uint64) {
	if r.lastHeldAt > 0 {
		r.outcome.Gaps = append(r.outcome.Gaps, max(0, r.now-r.lastHeldAt))
	}
	r.latestToken = token
}

// runRouter runs the actions of a router that are due. The router sends its pending writes, handles
// the responses that it received during a pause, and sends its requests. If it holds the lease, it
// then acts as the holder.
func (r *handoverRun) runRouter(router *handoverRouter) {
	// A process that resumes first completes what it was doing when the pause began. Therefore the
	// writes that the router decided to send before the pause come first.
	r.writePending(router)
	for _, response := range router.queuedResponses {
		r.handleResponse(router, response)
	}
	router.queuedResponses = nil
	if router.wakeAt <= r.localTime(router) {
		r.sendRequests(router)
	}
	if token, ok := r.valid(router); ok {
		r.actAsHolder(router, token)
	}
}

// writePending sends the writes that are due. The router checks the lease just before each write, and
// drops the write if the lease is no longer valid.
func (r *handoverRun) writePending(router *handoverRouter) {
	for len(router.pendingWrites) > 0 && router.pendingWrites[0].dueAt <= r.now {
		write := router.pendingWrites[0]
		router.pendingWrites = router.pendingWrites[1:]
		token, ok := r.valid(router)
		if r.options.Without != CheckAtWrite && (!ok || token != write.token) {
			r.outcome.StoppedAtWrite++
			continue
		}
		r.write(router, write)
	}
}

// write sends a write, and records a violation if another router that is not paused may also
// act under the lease at this moment.
func (r *handoverRun) write(router *handoverRouter, write fencedWrite) {
	r.outcome.Writes++
	for _, other := range r.routers {
		token, ok := r.valid(other)
		if ok && other != router && r.now >= other.pausedUntil {
			r.outcome.Violation = fmt.Sprintf("at %.0f ms router %d wrote under fencing token %d while router %d held token %d", r.now, router.id, write.token, other.id, token)
		}
	}
	r.send(handoverMessage{router: router.index, write: &write})
}

func (r *handoverRun) sendRequests(router *handoverRouter) {
	requests, _, wakeAt := router.Step(r.localTime(router))
	router.wakeAt = wakeAt
	for _, request := range requests {
		r.send(handoverMessage{router: router.index, request: &request})
	}
}

// actAsHolder decides at random whether the holder writes. If the holder can reach the registry, a
// random draw also decides whether the holder transfers the lease, a fault begins, or neither
// happens. A holder that is partitioned from the registry writes until its lease expires.
func (r *handoverRun) actAsHolder(router *handoverRouter, token uint64) {
	r.lastHeldAt = r.now
	if len(router.pendingWrites) < maxPendingWrites && r.rng.IntN(writeOneIn) == 0 {
		router.pendingWrites = append(router.pendingWrites, fencedWrite{token: token, dueAt: r.now + maxWriteDelay*r.rng.Float64()})
	}
	if r.now < router.partitionedUntil {
		return
	}
	switch draw := r.rng.IntN(holderDraws); {
	case draw < transferDraws:
		r.transferToRandomRouter(router)
	case draw == pauseDraw:
		r.injectFault(&router.pausedUntil)
	case draw == partitionDraw:
		r.injectFault(&router.partitionedUntil)
	}
}

func (r *handoverRun) transferToRandomRouter(router *handoverRouter) {
	r.outcome.FaultsAndTransfers++
	target := r.routers[r.rng.IntN(len(r.routers))].id
	router.Release(r.localTime(router), leaseName, target, nil)
	router.wakeAt = 0
}

// injectFault decides at random whether a fault begins now. If a fault begins, injectFault sets
// *faultEnd to the time at which the fault ends, in ms of true time.
func (r *handoverRun) injectFault(faultEnd *float64) {
	if r.rng.IntN(holderFaultOneIn) != 0 {
		return
	}
	r.outcome.FaultsAndTransfers++
	*faultEnd = r.now + maxHolderFault*r.rng.Float64()
}
