package routing

import (
	"slices"
	"time"
)

// Guard holds what must be checked again when an attempt is written to its connection, because the
// attempt may have been queued after the Router decided on it. A Guard is immutable: any goroutine may
// use it.
type Guard struct {
	Ready          map[ServerID]bool // servers that are listed and neither draining nor removed
	Purges         []PurgeRecord     // purges that may have left older copies
	PurgeRetention time.Duration     // time after which a purge has left no older copy
	PurgeGrace     time.Duration     // time after which a purge must be obeyed
	PurgesSeen     bool              // purges occur in this deployment
	LastEventAt    time.Duration     // time of the latest event of the watch stream; 0: no event yet
}

// Excludes reports whether a server must get no new attempts, neither as target nor as source. Without
// this check, an attempt that waits in a queue while its server is listed as draining would be sent
// after the drain grace. A nil Guard excludes no server.
func (g *Guard) Excludes(id ServerID) bool { return g == nil || !g.Ready[id] }

// MaxAge returns the maximum age at now of a copy that may serve an attempt, where age is the maximum
// at the time of the decision. 0 stands for any age. Without this check, an attempt that was decided
// on just before a purge and is written after it would be answered from the old copy.
func (g *Guard) MaxAge(now, age time.Duration, object ObjectID, group int) time.Duration {
	exceedsGrace := age == 0 || age > g.PurgeGrace
	if exceedsGrace && g.watchStale(now) {
		age = g.PurgeGrace
	}
	for _, purge := range g.Purges {
		if !g.binds(purge, now) || !purge.covers(object, group) {
			continue
		}
		sincePurge := max(now-purge.At, time.Microsecond)
		if age == 0 || sincePurge < age {
			age = sincePurge
		}
	}
	return age
}

// MayBeStale reports whether purged copies of an object may still exist. A negative group means that
// the object's group is not known; then a purge of any group counts. A nil Guard reports false.
func (g *Guard) MayBeStale(now time.Duration, object ObjectID, group int) bool {
	if g == nil {
		return false
	}
	if g.watchStale(now) {
		return true
	}
	return slices.ContainsFunc(g.Purges, func(purge PurgeRecord) bool {
		ofAnyGroup := purge.Object == 0 && group < 0
		matches := ofAnyGroup || purge.covers(object, group)
		return matches && g.binds(purge, now)
	})
}

// binds reports whether copies from before a purge may still exist.
func (g *Guard) binds(purge PurgeRecord, now time.Duration) bool {
	return purge.At+g.PurgeRetention > now
}

// watchStale reports whether purges may exist that have not arrived, because the watch stream is cut
// off: such purges must be obeyed too. While this lasts, only copies younger than the purge grace are
// served, which costs hits.
func (g *Guard) watchStale(now time.Duration) bool {
	if !g.PurgesSeen || g.LastEventAt == 0 {
		return false
	}
	return now > g.LastEventAt+watchStaleAfter
}

// maxCopyAge returns the maximum age of a copy that may serve a request: the copy must be fresh and
// newer than the latest purge of its object or group. 0 means any age.
func (r *Router) maxCopyAge(request *request) time.Duration {
	return r.purgeLog.MaxAge(r.now, request.class.FreshnessLifetime, request.Object, request.PurgeGroup)
}

// PurgeRecord is a purge and the time at which it was made.
type PurgeRecord struct {
	Object ObjectID      // purged object; 0: the whole group
	Group  int           // purged group, if Object is 0
	At     time.Duration // time of the purge, by the clock of Handle
}

// covers reports whether a purge applies to an object that belongs to group.
func (p PurgeRecord) covers(object ObjectID, group int) bool {
	if p.Object != 0 {
		return p.Object == object
	}
	return p.Group == group
}

// handlePurge records a purge and drops earlier purges that have left no older copy.
func (r *Router) handlePurge(event Purge) {
	retention := r.settings.PurgeRetention
	r.purgeLog.PurgeRetention = retention
	r.purgeLog.Purges = slices.DeleteFunc(r.purgeLog.Purges, func(purge PurgeRecord) bool {
		return purge.At+retention < r.now
	})
	purge := PurgeRecord{Object: event.Object, Group: event.Group, At: r.now - event.Age}
	r.purgeLog.Purges = append(r.purgeLog.Purges, purge)
}
