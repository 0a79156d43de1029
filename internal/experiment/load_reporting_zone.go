package experiment

import (
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// viewKind is which routers of the zone a router sees.
type viewKind int

const (
	wholeZone viewKind = iota
	registrySideOnly
	otherSideOnly
	viewCount
)

// zoneView is the ranks of all routers, in the order of the run's routers, as those compute
// them that have the same view.
type zoneView struct {
	first membership.ID // the router with the first rank
	ranks []int         // -1: not in view
}

// onRegistrySide tells whether a router is on the registry's side of the partition: six in
// ten are.
func onRegistrySide(index, routers int) bool { return index*10 < routers*6 }

// newZoneViews returns the views of all routers while there is no partition, and of those on
// either side while there is.
func newZoneViews(routers []*loadRouter) [viewCount]zoneView {
	var members [viewCount][]membership.ID
	for _, router := range routers {
		members[wholeZone] = append(members[wholeZone], router.id)
		if router.registrySide {
			members[registrySideOnly] = append(members[registrySideOnly], router.id)
		} else {
			members[otherSideOnly] = append(members[otherSideOnly], router.id)
		}
	}
	var views [viewCount]zoneView
	for kind, candidates := range members {
		views[kind].first = lease.TopRanked(leaseName, candidates, 1)[0]
		for _, router := range routers {
			views[kind].ranks = append(views[kind].ranks, lease.Rank(leaseName, router.id, candidates))
		}
	}
	return views
}

// partitioned tells whether the zone is partitioned now.
func (r *loadReportingRun) partitioned() bool {
	return r.now >= loadPartitionStart && r.now <= loadPartitionEnd
}

// viewOf returns which routers one sees: it learns late of the partition and of its end.
func (r *loadReportingRun) viewOf(router *loadRouter) viewKind {
	switch {
	case r.now < loadPartitionStart+partitionDetectionTime, r.now > loadPartitionEnd+healDetectionTime:
		return wholeZone
	case router.registrySide:
		return registrySideOnly
	default:
		return otherSideOnly
	}
}

// holderStepInterval is how often a router steps its side of the lease, in ms.
const holderStepInterval = 100

// holdsLease tells whether a router holds the lease now, and has it request or renew it.
func (r *loadReportingRun) holdsLease(index int, router *loadRouter) bool {
	if int(r.now)%holderStepInterval == 0 {
		router.holder.SetRank(r.now, leaseName, r.views[r.viewOf(router)].ranks[index])
		requests, _, _ := router.holder.Step(r.now)
		for _, request := range requests {
			if router.registrySide || !r.partitioned() {
				router.holder.HandleResponse(r.now, r.registry.handleRequest(r.now, router.id, request))
			}
		}
	}
	_, valid := router.holder.Valid(r.now, leaseName)
	return valid
}

// loadReportingRegistry is a lease registry in one process, which responds at once.
type loadReportingRegistry struct {
	state     *leaseregistry.State
	lastIndex uint64 // of the commands that were applied
	expiry    *lease.ExpiryTracker
}

func newLoadReportingRegistry(settings lease.Settings) *loadReportingRegistry {
	state := leaseregistry.New()
	return &loadReportingRegistry{state: state, expiry: lease.NewExpiryTracker(settings, 0, state)}
}

// handleRequest grants or renews the lease if the router holds it, or if it is available.
func (g *loadReportingRegistry) handleRequest(now float64, router membership.ID, request lease.Request) lease.Response {
	current := g.state.Leases[leaseName]
	isHolder := current != nil && current.Holder == router
	granted := isHolder || g.expiry.Available(now, current) && g.grant(router, current)
	if granted {
		g.expiry.Extend(now, leaseName)
	}
	response := lease.Response{RequestID: request.ID, Lease: leaseName, Granted: granted}
	if current = g.state.Leases[leaseName]; current != nil {
		response.FencingToken = current.FencingToken
		response.Holder = current.Holder
		response.Remaining = g.expiry.Remaining(now, leaseName)
	}
	return response
}

// grant tells whether the registry has a router hold the lease now.
func (g *loadReportingRegistry) grant(router membership.ID, current *leaseregistry.Lease) bool {
	command := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: leaseName, Holder: router, Incarnation: 1}
	if current != nil {
		command.ExpectedToken = current.FencingToken
	}
	g.lastIndex++
	return g.state.Apply(g.lastIndex, command) == nil
}
