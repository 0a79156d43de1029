package experiment

import (
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// viewKind identifies the set of routers of the zone that a router sees.
type viewKind int

const (
	wholeZone viewKind = iota
	registrySideOnly
	otherSideOnly
	viewCount // the number of kinds
)

// zoneView holds the ranks of the routers that are in one view of the zone. A rank is the place of
// a router in an order that a hash determines. Routers with the same view compute the same ranks.
// The index of a rank in ranks is the index of the router in the run.
type zoneView struct {
	first membership.ID // the router with the first rank
	ranks []int         // -1: the router is not in the view
}

// onRegistrySide reports whether the router with the given index is on the registry's side of the
// partition. Six in ten routers are on that side.
func onRegistrySide(index, routers int) bool { return index*10 < routers*6 }

// newZoneViews returns the view of the whole zone, and the views on the two sides of the
// partition.
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

// partitioned reports whether the zone is partitioned now.
func (r *loadReportingRun) partitioned() bool {
	return r.now >= loadPartitionStart && r.now <= loadPartitionEnd
}

// viewOf returns the view of a router. The view changes when routers detect the partition or its end,
// which they do with a delay.
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

// holderStepInterval is the time in ms between two steps of a router's lease.Holder.
const holderStepInterval = 100

// holdsLease makes a router request or renew the lease when a step is due. It reports whether the
// router holds the lease now.
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

// loadReportingRegistry is a lease registry in one process, which responds without delay.
type loadReportingRegistry struct {
	state     *leaseregistry.State
	lastIndex uint64 // log index of the last command that was applied
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

// grant grants the lease to a router, and reports whether the registry accepted the command.
func (g *loadReportingRegistry) grant(router membership.ID, current *leaseregistry.Lease) bool {
	command := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: leaseName, Holder: router, Incarnation: 1}
	if current != nil {
		command.ExpectedToken = current.FencingToken
	}
	g.lastIndex++
	return g.state.Apply(g.lastIndex, command) == nil
}
