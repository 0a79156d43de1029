package routing

import (
	"cmp"
	"math"
	"slices"
)

// The ordinary path: a request goes to the home cache of its object, found by
// rendezvous hashing over the zone's caches, and a miss is filled from the home
// parent, found over all parents. A request for a popular object joins a fill that
// is under way. The rest is for when that path breaks.

// rankServers returns the servers of a role that can take q in the rendezvous order
// of key, best first, valid until it is called again. A cold or slow server draws
// keys as it can carry them. If all parents look sick, their looks tell nothing.
func (r *Router) rankServers(role role, key uint64, q *request) []*server {
	allSick := role == parent && !slices.ContainsFunc(r.readyByRole[role], r.available)
	out := r.ranking[:0]
	for _, s := range r.readyByRole[role] {
		room := r.weight(s) * r.capacityFraction(s, r.now) * r.keyFraction(s)
		s.score = -math.Log(uniform(key^mix64(uint64(s.ID)))) / room
		if (allSick || r.available(s)) && !slices.Contains(q.excluded, s) && q.inKeyScope(s) &&
			r.withinSlowStartBudget(s, *q.meanTransferTime) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
	})
	r.ranking = out
	return out
}

// keyFraction is the part of its keys that a far slower s keeps. Symptom guarded against: a cache that
// did a tenth of its work was waited for as a crowded home, and a third of all was refused.
func (r *Router) keyFraction(s *server) float64 {
	lag := s.slowdown.value(r.now, slowdownTimeConstant)
	least := lag
	for _, x := range r.readyByRole[s.role] {
		least = min(least, x.slowdown.value(r.now, slowdownTimeConstant))
	}
	part := min(1, toleratedSlowdown*least/lag)
	return max(part*part, minKeyFraction)
}

// selectRoute picks where the next attempt goes, a crowded home's to the next cache with
// ample room, and who fills a miss. room: it need not wait.
func (r *Router) selectRoute(q *request) (to, source *server, room bool) {
	source, open := r.selectSource(q)
	if q.class.Write && (r.settings.AllowBypass || source == nil) {
		return source, source, open
	}
	full, home := false, (*server)(nil)
	look := !q.cacheMissed && !q.class.Write &&
		(r.linkLimiter.active || r.originLimiter.active || source != nil && source.limiter.active)
	for _, s := range r.rankServers(cache, q.chunkKey(), q) {
		switch {
		case q.cacheMissed && (!open || !r.linkLimiter.admits(r.now)) ||
			q.sourceMissed && !r.originLimiter.admits(r.now):
			return s, source, false
		case !q.class.Write && r.zoneSaturated():
			return s, source, false
		case !q.class.Write && home == nil && r.saturated(s, 1):
			home = s
		case home != nil && (r.zoneFraction*overcommitFactor*home.Weight < minInflight ||
			r.saturated(s, failoverHeadroom)):
		case !s.limiter.admits(r.now):
			if full = true; q.popularity < popularThreshold {
				return s, source, false
			}
		case source == nil || look:
			return s, s, true
		default:
			return s, source, true
		}
	}
	if home != nil {
		return home, source, false
	}
	// No cache can take it: straight to the source, which must be let ask the origin.
	if to = source; source == nil || full || !r.settings.AllowBypass {
		return to, source, false
	}
	if len(r.readyByRole[origin]) > 0 {
		source = r.readyByRole[origin][0]
	}
	return to, source, open && r.linkLimiter.admits(r.now) && r.originLimiter.admits(r.now)
}

// selectSource returns the home parent of an object, or its stand-in where that is lost or cold; the origin
// for a write, and where no or too few parents are left. open: it may be sent one more. Symptom guarded
// against: with one of two parents silent the other's link was full, and answers came late.
func (r *Router) selectSource(q *request) (source *server, open bool) {
	l := r.rankServers(parent, mix64(uint64(q.Object)), q)
	few := float64(len(l)) < minAvailableParents*float64(len(r.readyByRole[parent])) &&
		!r.settings.OriginStopsOnOverload && len(r.readyByRole[origin]) > 0
	lost := func(s *server) bool { return s.unresponsive && !r.available(s) && s.score < l[0].score }
	if len(l) == 0 || q.class.Write || few && slices.ContainsFunc(r.readyByRole[parent], lost) {
		l = r.readyByRole[origin]
	}
	if len(l) == 0 || !q.inKeyScope(l[0]) {
		return nil, false
	}
	return l[0], l[0].limiter.admits(r.now)
}

// sendAttempt sends one attempt.
func (r *Router) sendAttempt(q *request, to, source *server) {
	a := &attempt{request: q, index: len(q.attempts), target: to, source: source, sentAt: r.now}
	q.attempts = append(q.attempts, a)
	a.cacheOnly = source == to && to.role == cache
	a.fill = !q.class.Write && source.role != cache && (q.cacheMissed || to.role != cache)
	a.fromOrigin = q.sourceMissed || a.fill && source.role == origin
	r.track(a, 1)
	r.recordSentWork(to, *q.meanTransferTime)
	if source != to {
		r.recordSentWork(source, *q.meanTransferTime)
	}
	g := SendAttempt{ID: q.ID, Server: to.ID, FillSource: source.ID, Deadline: q.deadline}
	g.MaxAge = r.maxCopyAge(q)
	g.JoinFill = r.settings.CanJoinFill && q.popularity >= popularThreshold // a write is never hot
	g.OnlyIfCached = a.fill && !a.fromOrigin && r.originLimiter.active
	a.onlyIfCached = g.OnlyIfCached
	if !q.class.Write && to.role == cache {
		g.Revalidate = g.JoinFill && q.class.FreshnessLifetime > 0
		if g.CopyRank = 1; q.popularity >= popularThreshold {
			g.CopyRank = 2
		}
	}
	r.emit(g)
	r.emit(SetTimer{r.checkInterval(q), uint64(q.ID)<<timerKindBits | timerCheckAttempt})
}
