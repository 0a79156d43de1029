package experiment

import (
	"fmt"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

// What a router does while it holds the lease is drawn in each step.
const (
	writeOneIn       = 8
	maxPendingWrites = 4
	maxWriteDelay    = 2 // ms from the decision to write until the write

	// One of so many numbers is drawn for what happens to a holder; most mean nothing.
	holderDraws   = 100
	transferDraws = 2 // the first two mean a transfer
	pauseDraw     = 2
	partitionDraw = 3

	holderFaultOneIn = 8    // of the pauses and partitions drawn
	maxHolderFault   = 2500 // ms
)

// handoverRouter is a router of a run of LeaseHandovers.
type handoverRouter struct {
	*lease.Holder
	index            int
	id               membership.ID
	clockRate        float64
	pausedUntil      float64          // true time
	partitionedUntil float64          // true time; from the registry, not from the receiver of writes
	queuedResponses  []lease.Response // received while paused
	pendingWrites    []fencedWrite    // decided, and not written yet
	wakeAt           float64          // by its clock
}

func newHandoverRouter(settings lease.Settings, index int, ids []membership.ID, clockRate float64) *handoverRouter {
	return &handoverRouter{
		Holder:    lease.NewHolder(settings, ids[index], firstRequestID(index)),
		index:     index,
		id:        ids[index],
		clockRate: clockRate,
	}
}

// localTime is what a router's clock shows.
func (r *handoverRun) localTime(router *handoverRouter) float64 { return r.now * router.clockRate }

// valid tells whether a router may act under the lease, as far as it can see by itself, and
// under which fencing token.
func (r *handoverRun) valid(router *handoverRouter) (token uint64, ok bool) {
	if r.options.Without == HolderExpiry {
		if _, token := router.Expiry(leaseName); token != 0 {
			return token, true
		}
	}
	return router.Valid(r.localTime(router), leaseName)
}

// receiveResponse hands a response to its router, or queues it while the router is paused.
func (r *handoverRun) receiveResponse(router *handoverRouter, response lease.Response) {
	if r.now < router.pausedUntil {
		router.queuedResponses = append(router.queuedResponses, response)
		return
	}
	r.handleResponse(router, response)
	router.wakeAt = 0
}

func (r *handoverRun) handleResponse(router *handoverRouter, response lease.Response) {
	if r.options.Without == LeaseFromRequest { // as if the request had been sent when the response came
		router.Backdate(leaseName, response.RequestID, r.localTime(router))
	}
	for _, change := range router.HandleResponse(r.localTime(router), response) {
		if change.FencingToken != 0 && change.FencingToken != r.latestToken {
			r.recordHandover(change.FencingToken)
		}
	}
}

// recordHandover records that a router holds the lease under a token that none had before.
func (r *handoverRun) recordHandover(token uint64) {
	if r.lastHeldAt > 0 {
		r.outcome.Gaps = append(r.outcome.Gaps, max(0, r.now-r.lastHeldAt))
	}
	r.latestToken = token
}

// runRouter has a router do what is due: its writes, the responses it received while paused,
// its requests, and what a holder does.
func (r *handoverRun) runRouter(router *handoverRouter) {
	// What was decided before a pause is written first, as a process does that resumes.
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

// writePending writes what is due, unless the check just before a write finds that the lease
// is not valid any more.
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

// write sends a write. No other router may be able to act at this moment: a successor must
// not have begun.
func (r *handoverRun) write(router *handoverRouter, write fencedWrite) {
	r.outcome.Writes++
	for _, other := range r.routers {
		token, ok := r.valid(other)
		if ok && other != router && r.now >= other.pausedUntil {
			r.outcome.Violation = fmt.Sprintf("at %.0f ms router %d wrote under token %d while %d holds %d", r.now, router.id, write.token, other.id, token)
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

// actAsHolder decides writes and, while the router can reach the registry, draws a transfer
// or a fault. A partitioned holder writes until its lease expires.
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
	r.outcome.FaultsAndMoves++
	target := r.routers[r.rng.IntN(len(r.routers))].id
	router.Release(r.localTime(router), leaseName, target, nil)
	router.wakeAt = 0
}

// injectFault draws whether a fault begins now, and sets until when it lasts.
func (r *handoverRun) injectFault(until *float64) {
	if r.rng.IntN(holderFaultOneIn) != 0 {
		return
	}
	r.outcome.FaultsAndMoves++
	*until = r.now + maxHolderFault*r.rng.Float64()
}
