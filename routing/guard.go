package routing

import (
	"slices"
	"time"
)

// Guard checks an attempt again when the attempt is written to its connection. The attempt may have
// waited in a queue since the Router decided on it, and servers may have been removed or objects purged
// in the meantime. A Guard is immutable, so any goroutine may use it.
type Guard struct {
	Ready          map[ServerID]bool // servers that are listed and neither draining nor removed
	Purges         []PurgeRecord     // copies from before these purges may still exist
	PurgeRetention time.Duration     // time after a purge until no older copies are left
	PurgeGrace     time.Duration     // time within which a purge must take effect
	PurgesOccur    bool              // purges occur in this deployment
	LastFrameAt    time.Duration     // time of the latest frame of the watch stream; 0: none yet
	LastSkipAt     time.Duration     // time of the latest skip of lost events; 0: never
}

// Excludes reports whether a server must get no new attempts, neither as target nor as source. A nil Guard
// excludes every server. If the endpoint list were not checked again when an attempt is written, an attempt
// could wait in a queue while its server is drained, and would then be sent after the end of the drain
// grace.
func (g *Guard) Excludes(id ServerID) bool { return g == nil || !g.Ready[id] }

// MaxAge returns the maximum age, at the time now, of a copy that may serve an attempt. maxAge is the
// maximum age that the Router decided on for the attempt. 0 stands for any age. If the maximum age were not
// computed again when an attempt is written, an attempt that the Router decided on just before a purge
// could be written just after the purge and answered from the old copy.
func (g *Guard) MaxAge(now, maxAge time.Duration, object ObjectID, group int) time.Duration {
	exceedsGrace := maxAge == 0 || maxAge > g.PurgeGrace
	if exceedsGrace && g.mayMissPurges(now) {
		maxAge = max(g.PurgeGrace, time.Microsecond) // 0 would stand for any age
	}
	for _, purge := range g.Purges {
		if !g.binds(purge, now) || !purge.covers(object, group) {
			continue
		}
		sincePurge := max(now-purge.At, time.Microsecond)
		if maxAge == 0 || sincePurge < maxAge {
			maxAge = sincePurge
		}
	}
	return maxAge
}

// MayBeStale reports whether purged copies of an object may still exist. A negative group means that
// the object's group is not known. In this case, the purge of any group may apply to the object. A nil
// Guard reports false.
func (g *Guard) MayBeStale(now time.Duration, object ObjectID, group int) bool {
	if g == nil {
		return false
	}
	if g.mayMissPurges(now) {
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

// WatchStale reports whether the watch stream is cut off, or has sent nothing since the start of the
// process. This router may then have missed events.
func (g *Guard) WatchStale(now time.Duration) bool { return now > g.LastFrameAt+watchStaleAfter }

// mayMissPurges reports whether this router may have missed purges. Missed purges must take effect too.
// Therefore, only copies younger than the purge grace, the time within which a purge must take effect, are
// served then. This lowers the hit ratio.
func (g *Guard) mayMissPurges(now time.Duration) bool {
	skippedLately := g.LastSkipAt != 0 && now < g.LastSkipAt+g.PurgeRetention
	return g.PurgesOccur && (skippedLately || g.WatchStale(now))
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

// covers reports whether a purge applies to the given object, which belongs to the given group.
func (p PurgeRecord) covers(object ObjectID, group int) bool {
	if p.Object != 0 {
		return p.Object == object
	}
	return p.Group == group
}

// handlePurge records a purge. It drops earlier purges whose retention has ended, since no copies from
// before such a purge are left.
func (r *Router) handlePurge(event Purge) {
	retention := r.settings.PurgeRetention
	r.purgeLog.PurgeRetention = retention
	r.purgeLog.Purges = slices.DeleteFunc(r.purgeLog.Purges, func(purge PurgeRecord) bool {
		return purge.At+retention < r.now
	})
	purge := PurgeRecord{Object: event.Object, Group: event.Group, At: r.now - event.Age}
	r.purgeLog.Purges = append(r.purgeLog.Purges, purge)
}
