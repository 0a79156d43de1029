package experiment

import (
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// handoverIncarnation is the incarnation of every router: no router restarts in a run.
const handoverIncarnation = 1

// leaderTime returns the time in ms that the clock of the registry's leader shows.
func (r *handoverRun) leaderTime() float64 { return r.now * r.leaderClockRate }

// handleRequest handles a router's request at the registry and sends a response.
func (r *handoverRun) handleRequest(router *handoverRouter, request lease.Request) {
	granted := false
	if request.Release {
		r.applyRelease(router.id, request)
	} else {
		granted = r.grantOrRenew(router.id, request)
	}
	response := lease.Response{RequestID: request.ID, Lease: leaseName, Granted: granted}
	if current := r.registry.Leases[leaseName]; current != nil {
		response.FencingToken = current.FencingToken
		response.Holder = current.Holder
		response.Losses = min(1, current.Losses[router.id])
		response.Remaining = r.expiry.Remaining(r.leaderTime(), leaseName)
	}
	if granted {
		r.expiry.Extend(r.leaderTime(), leaseName)
	}
	r.send(handoverMessage{router: router.index, response: &response})
}

// applyRelease releases the lease. If request.TransferTo names a router, applyRelease instead
// transfers the lease to that router and notifies that router. A request with an outdated fencing
// token changes nothing.
func (r *handoverRun) applyRelease(holder membership.ID, request lease.Request) {
	current := r.registry.Leases[leaseName]
	if current == nil || current.Holder != holder || current.FencingToken != request.FencingToken {
		return
	}
	r.lastIndex++
	err := r.registry.Apply(r.lastIndex, releaseCommand(holder, request))
	if err == nil && request.TransferTo != 0 {
		notice := lease.Response{Lease: leaseName, Holder: request.TransferTo, FencingToken: r.lastIndex}
		r.send(handoverMessage{router: int(request.TransferTo) - 1, response: &notice})
	}
}

// releaseCommand returns the command that releases the lease or, if the request names a router,
// transfers the lease to that router.
func releaseCommand(holder membership.ID, request lease.Request) *leaseregistry.Command {
	if request.TransferTo == 0 {
		return &leaseregistry.Command{Op: leaseregistry.OpRelease, Lease: leaseName, Holder: holder, ExpectedToken: request.FencingToken}
	}
	return &leaseregistry.Command{Op: leaseregistry.OpTransfer, Lease: leaseName, Holder: request.TransferTo, ExpectedToken: request.FencingToken}
}

// grantOrRenew grants the lease to a router, or renews the router's lease, if the request and the
// state of the lease allow it. It returns true in both cases, and false if it did neither.
func (r *handoverRun) grantOrRenew(router membership.ID, request lease.Request) bool {
	current := r.registry.Leases[leaseName]
	isHolder := current != nil && current.Holder == router
	if isHolder && current.Incarnation != 0 && (request.FencingToken == current.FencingToken || request.FencingToken == 0) {
		return true
	}
	transferred := isHolder && current.Incarnation == 0
	if request.FencingToken != 0 || !transferred && !r.expiry.Available(r.leaderTime(), current) {
		return false
	}
	r.lastIndex++
	command := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: leaseName, Holder: router, Incarnation: handoverIncarnation}
	if current != nil {
		command.ExpectedToken = current.FencingToken
		command.HolderLost = current.Holder != 0 && !isHolder
	}
	if r.registry.Apply(r.lastIndex, command) != nil {
		return false
	}
	r.outcome.Handovers++
	if !command.HolderLost {
		r.outcome.PlannedHandovers++
	}
	return true
}

// changeLeader replaces the leader of the registry by a leader whose clock runs at another rate.
func (r *handoverRun) changeLeader() {
	r.outcome.FaultsAndTransfers++
	r.leaderClockRate = r.clockRate(r.rng.Float64())
	known := r.registry
	if r.options.Without == NewLeaderRestartsLeases {
		known = leaseregistry.New() // as if no lease were held
	}
	r.expiry = lease.NewExpiryTracker(r.settings, r.leaderTime(), known)
}
