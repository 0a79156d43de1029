package routing

import (
	"slices"
	"time"
)

// Guard is checked once more when an attempt is written to its connection, since the attempt may
// have been queued after it was decided on. A Guard is immutable: any goroutine may use it.
type Guard struct {
	Ready          map[ServerID]bool // listed, and neither draining nor removed
	Purges         []PurgeRecord     // from which older copies may be left
	PurgeRetention time.Duration     // after it a purge has left no older copy
	PurgeGrace     time.Duration     // after it a purge binds
	PurgesSeen     bool              // purges happen here
	LastEventAt    time.Duration     // latest event of the watch stream; 0: there is none
}

// Excludes reports whether nothing new may go to a server, as target or as source.
//
// Symptom guarded against: an attempt that waited in a queue while its server was listed as
// draining goes out past the grace.
func (g *Guard) Excludes(id ServerID) bool { return g == nil || !g.Ready[id] }

// MaxAge returns the oldest copy that will do at now for an attempt that was decided on with the
// bound age, 0 for any.
//
// Symptom guarded against: an attempt decided on just before a purge is written after it, and is
// answered from the old copy.
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

// MayBeStale reports whether old copies of an object may still exist. With group -1 the object's
// group is not known, and a purge of any group counts.
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

// watchStale reports whether there may be purges that have not arrived.
//
// Symptom guarded against: with the watch stream cut off a purge binds all the same. It might hurt
// for as long as that lasts: copies must be nearly new.
func (g *Guard) watchStale(now time.Duration) bool {
	if !g.PurgesSeen || g.LastEventAt == 0 {
		return false
	}
	return now > g.LastEventAt+watchStaleAfter
}

// maxCopyAge returns the age of the oldest copy that will do for a request: fresh, and younger than
// the latest purge of its object or group. 0 means that any will do.
func (r *Router) maxCopyAge(request *request) time.Duration {
	return r.purgeLog.MaxAge(r.now, request.class.FreshnessLifetime, request.Object, request.PurgeGroup)
}

// PurgeRecord is a purge and when it was made.
type PurgeRecord struct {
	Object ObjectID      // 0: the whole group
	Group  int           // where Object is 0
	At     time.Duration // when it was made, by the clock of Handle
}

// covers reports whether a purge concerns an object of a group.
func (p PurgeRecord) covers(object ObjectID, group int) bool {
	if p.Object != 0 {
		return p.Object == object
	}
	return p.Group == group
}

// handlePurge records a purge and forgets those that have left no older copy.
func (r *Router) handlePurge(event Purge) {
	retention := r.settings.PurgeRetention
	r.purgeLog.PurgeRetention = retention
	r.purgeLog.Purges = slices.DeleteFunc(r.purgeLog.Purges, func(purge PurgeRecord) bool {
		return purge.At+retention < r.now
	})
	purge := PurgeRecord{Object: event.Object, Group: event.Group, At: r.now - event.Age}
	r.purgeLog.Purges = append(r.purgeLog.Purges, purge)
}
