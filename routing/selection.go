package routing

import (
	"cmp"
	"slices"
)

// By default, a request goes to the home cache of its chunk. Rendezvous hashing selects the home cache
// among the caches of the zone, and the home parent of an object among all parents. The home parent fills a
// miss. A request for a popular object joins a fill in progress. The rest of this file handles the cases in
// which a request cannot take this default path.

// route is the path of an attempt.
type route struct {
	target   *server // server that the attempt is sent to; nil: no server is left
	source   *server // server that fills a miss; equal to target, or nil: no fill
	admitted bool    // the attempt may be sent without waiting
}

// selectRoute selects the target of a request's next attempt and the server that fills a miss.
func (r *Router) selectRoute(request *request) route {
	source, sourceAdmits := r.selectSource(request)
	bypassAllowed := r.settings.AllowBypass
	if request.class.Write && (bypassAllowed || source == nil) {
		return route{target: source, source: source, admitted: sourceAdmits}
	}
	caches := r.rankServers(cache, request.chunkKey(), request)
	if len(caches) > 0 && r.mustQueue(request, sourceAdmits) {
		return route{target: caches[0], source: source}
	}
	cacheRoute, anyLimited := r.selectCache(request, caches, source)
	switch {
	case cacheRoute.target != nil:
		return cacheRoute
	case source == nil || anyLimited || !bypassAllowed:
		return route{target: source, source: source}
	default:
		return r.bypassCaches(source, sourceAdmits)
	}
}

// selectCache selects a cache for a request. The list caches holds the caches that can take the request,
// best first. If the home cache is saturated, with as many attempts of this router in flight as allowed,
// selectCache selects the next cache at which far fewer are in flight than allowed. If there is no such
// cache, the request waits for the home cache. If no cache is left, the route has no target. anyLimited
// reports whether a limiter excluded a cache.
func (r *Router) selectCache(
	request *request, caches []*server, source *server,
) (selected route, anyLimited bool) {
	var saturatedHome *server
	for _, candidate := range caches {
		if saturatedHome == nil && !request.class.Write && r.saturated(candidate, 1) {
			saturatedHome = candidate
			continue
		}
		if saturatedHome != nil && !r.canFailOver(saturatedHome, candidate) {
			continue
		}
		if candidate.limiter.admits(r.now) {
			filler := r.fillSource(request, candidate, source)
			return route{target: candidate, source: filler, admitted: true}, anyLimited
		}
		anyLimited = true
		if request.popularity < popularThreshold {
			return route{target: candidate, source: source}, anyLimited
		}
	}
	if saturatedHome != nil {
		return route{target: saturatedHome, source: source}, anyLimited
	}
	return route{}, anyLimited
}

// fillSource returns the server that fills a miss at a cache. If the attempt must cause no fill,
// fillSource returns the cache itself.
func (r *Router) fillSource(request *request, target, source *server) *server {
	if source == nil || r.requiresLookup(request, source) {
		return target
	}
	return source
}

// mustQueue reports whether a request must wait in the queue, whichever cache would be selected.
func (r *Router) mustQueue(request *request, sourceAdmits bool) bool {
	if request.cacheMissed {
		fillAdmitted := sourceAdmits && r.linkLimiter.admits(r.now)
		if !fillAdmitted {
			return true
		}
	}
	if request.sourceMissed && !r.originLimiter.admits(r.now) {
		return true
	}
	return !request.class.Write && r.zoneSaturated()
}

// requiresLookup reports whether the next attempt of a request must be a lookup, which asks a cache only
// for a copy that it has and causes no fill. This is the case while a limiter on the path of the fill is
// active.
func (r *Router) requiresLookup(request *request, source *server) bool {
	if request.cacheMissed || request.class.Write {
		return false
	}
	return r.linkLimiter.active || r.originLimiter.active || source.limiter.active
}

// bypassCaches returns a route directly to the source. A miss at the source is filled by the origin if an
// origin is listed as ready.
func (r *Router) bypassCaches(source *server, sourceAdmits bool) route {
	filler := source
	if len(r.readyByRole[origin]) > 0 {
		filler = r.readyByRole[origin][0]
	}
	pathAdmits := r.linkLimiter.admits(r.now) && r.originLimiter.admits(r.now)
	return route{target: source, source: filler, admitted: sourceAdmits && pathAdmits}
}

// selectSource returns the fill source of a request. The source is the home parent of the object. If the
// home parent is ejected, or warms up and can take no more work, the source is the next parent in
// rendezvous order. The source is the origin for a write, and if no parents or too few parents are left. If
// one of two parents is unresponsive and the origin did not take over its objects, the link of the other
// parent would be full and responses would be late. admits reports whether the limiter of the source admits
// one more transfer.
func (r *Router) selectSource(request *request) (source *server, admits bool) {
	sources := r.rankServers(parent, mix64(uint64(request.Object)), request)
	if len(sources) == 0 || request.class.Write || r.tooFewParentsLeft(sources) {
		sources = r.readyByRole[origin]
	}
	if len(sources) == 0 || !request.inKeyScope(sources[0]) {
		return nil, false
	}
	return sources[0], sources[0].limiter.admits(r.now)
}

// tooFewParentsLeft reports whether the origin should replace an unresponsive parent. This is so if three
// conditions hold. An unresponsive parent precedes, in rendezvous order, all parents in ranked. The parents
// in ranked are too few to take over the objects of the unresponsive parent. The origin can take over these
// objects.
func (r *Router) tooFewParentsLeft(ranked []*server) bool {
	parents := r.readyByRole[parent]
	if r.settings.OriginStopsOnOverload || len(r.readyByRole[origin]) == 0 {
		return false
	}
	enoughLeft := float64(len(ranked)) >= minAvailableParents*float64(len(parents))
	if enoughLeft {
		return false
	}
	return slices.ContainsFunc(parents, func(parent *server) bool {
		lost := parent.unresponsive && !r.available(parent)
		return lost && parent.score < ranked[0].score
	})
}

// rankServers returns the servers of a role (cache, parent or origin) that can take a request, in the
// rendezvous order of the given key, best first. The result is valid until the next call. The number of
// keys of a warming or slow server is reduced to match its capacity. If no parent is available, ejections
// of parents are ignored.
func (r *Router) rankServers(role role, key uint64, request *request) []*server {
	ignoreEjections := role == parent && !slices.ContainsFunc(r.readyByRole[role], r.available)
	ranked := r.ranking[:0]
	for _, server := range r.readyByRole[role] {
		capacity := r.weight(server) * r.capacityFraction(server, r.now) * r.keyFraction(server)
		server.score = rendezvousScore(key, server.ID, capacity)
		usable := ignoreEjections || r.available(server)
		if !usable || slices.Contains(request.excluded, server) || !request.inKeyScope(server) {
			continue
		}
		if r.withinSlowStartBudget(server, *request.meanTransferTime) {
			ranked = append(ranked, server)
		}
	}
	slices.SortFunc(ranked, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
	})
	r.ranking = ranked
	return ranked
}

// weight returns the capacity of a server relative to its peers.
func (r *Router) weight(server *server) float64 {
	if r.settings.WeightIsCapacity {
		return max(server.Weight, minWeight)
	}
	return 1
}

// keyFraction returns the fraction of its keys that a server keeps. The fraction is below 1 for a server
// that is far slower than its fastest peer. Without this reduction, requests would queue for a cache that
// works at a tenth of its usual pace, and a third of all requests would be rejected.
func (r *Router) keyFraction(server *server) float64 {
	slowdown := r.slowdownOf(server)
	least := slowdown
	for _, peer := range r.readyByRole[server.role] {
		least = min(least, r.slowdownOf(peer))
	}
	fraction := min(1, toleratedSlowdown*least/slowdown)
	return max(fraction*fraction, minKeyFraction)
}

// recordSlowdown records how slow one response of a server was.
func (r *Router) recordSlowdown(server *server, slowdown float64) {
	server.slowdown.observe(r.now, slowdownTimeConstant, slowdownGain, min(slowdown, slowdownCap))
}

// slowdownOf returns the smoothed slowdown of a server at the time of the present event.
func (r *Router) slowdownOf(server *server) float64 {
	return server.slowdown.value(r.now, slowdownTimeConstant)
}

// sendAttempt sends an attempt and sets the timer of its first check.
func (r *Router) sendAttempt(request *request, route route) {
	sent := r.startAttempt(request, route)
	popular := request.popularity >= popularThreshold // never true for a write
	sent.onlyIfCached = sent.fill && !sent.fromOrigin && r.originLimiter.active
	action := SendAttempt{
		ID:           request.ID,
		Server:       sent.target.ID,
		FillSource:   sent.source.ID,
		Deadline:     request.deadline,
		MaxAge:       r.maxCopyAge(request),
		JoinFill:     r.settings.CanJoinFill && popular,
		OnlyIfCached: sent.onlyIfCached,
	}
	if !request.class.Write && sent.target.role == cache {
		action.Revalidate = action.JoinFill && request.class.FreshnessLifetime > 0
		action.CopyRank = ordinaryCopyRank
		if popular {
			action.CopyRank = popularCopyRank
		}
	}
	r.emit(action)
	r.setTimer(request, r.checkInterval(request), timerCheckAttempt)
}

// startAttempt creates an attempt and adds it to the counts of its servers and limiters, and to the work
// that slow starts limit.
func (r *Router) startAttempt(request *request, route route) *attempt {
	target, source := route.target, route.source
	toCache := target.role == cache
	knownMiss := request.cacheMissed || !toCache
	started := &attempt{
		request:   request,
		index:     len(request.attempts),
		target:    target,
		source:    source,
		sentAt:    r.now,
		cacheOnly: toCache && source == target,
		fill:      !request.class.Write && source.role != cache && knownMiss,
	}
	started.fromOrigin = request.sourceMissed || started.fill && source.role == origin
	request.attempts = append(request.attempts, started)
	r.track(started, 1)
	r.recordSentWork(target, *request.meanTransferTime)
	if source != target {
		r.recordSentWork(source, *request.meanTransferTime)
	}
	return started
}
