package routing

import (
	"slices"
	"time"
)

// Guard is what an attempt is held against once more when it is written: it
// may have been queued since it was decided. A Guard does not change.
type Guard struct {
	Ready          map[ServerID]bool // listed, and neither draining nor gone
	Purges         []PurgeRecord
	PurgeRetention time.Duration // after it a purge has left no older copy
	PurgeGrace     time.Duration // after it a purge binds
	PurgesSeen     bool          // purges have been told
	LastEventAt    time.Duration // latest word of the change log; 0: it is not followed
}

// watchStaleAfter is when a change log counts as cut off: it says something each second.
const watchStaleAfter = 1500 * time.Millisecond

// watchStale tells whether there may be purges that were not heard of.
//
// Symptom guarded against: with the change log cut off a purge binds all the
// same. It might hurt for as long as that lasts: copies must be nearly new.
func (g *Guard) watchStale(now time.Duration) bool {
	return g.PurgesSeen && g.LastEventAt != 0 && now > g.LastEventAt+watchStaleAfter
}

// PurgeRecord is a purge and when it was made.
type PurgeRecord struct {
	Object ObjectID // 0: the whole group
	Group  int
	At     time.Duration
}

// Excludes tells whether nothing new may go to a server, as target or as source.
//
// Symptom guarded against: an attempt that waited in a queue while its server
// was listed as draining goes out past the grace.
func (g *Guard) Excludes(id ServerID) bool { return g == nil || !g.Ready[id] }

// MaxAge returns the oldest copy that will do at now for an attempt decided with
// the bound age, 0 for any.
//
// Symptom guarded against: an attempt decided just before a purge is written
// after it, and is answered from the old copy.
func (g *Guard) MaxAge(now, age time.Duration, o ObjectID, group int) time.Duration {
	if g.watchStale(now) && (age == 0 || age > g.PurgeGrace) {
		age = g.PurgeGrace
	}
	for _, p := range g.Purges {
		if p.At+g.PurgeRetention > now && p.covers(o, group) {
			if since := max(now-p.At, time.Microsecond); age == 0 || since < age {
				age = since
			}
		}
	}
	return age
}

// MayBeStale tells whether old copies of an object may still lie about. With group
// -1 the object's group is not known, and a purge of any group counts.
func (g *Guard) MayBeStale(now time.Duration, o ObjectID, group int) bool {
	if g == nil || g.watchStale(now) {
		return g != nil
	}
	for _, p := range g.Purges {
		if p.At+g.PurgeRetention > now && (p.covers(o, group) || p.Object == 0 && group < 0) {
			return true
		}
	}
	return false
}

func (p PurgeRecord) covers(o ObjectID, group int) bool {
	return p.Object == o && o != 0 || p.Object == 0 && p.Group == group
}

// handlePurge books a purge and forgets those whose older copies are gone.
func (r *Router) handlePurge(p Purge) {
	r.purgeLog.PurgeRetention = r.settings.PurgeRetention
	l := slices.DeleteFunc(r.purgeLog.Purges, func(x PurgeRecord) bool {
		return x.At+r.settings.PurgeRetention < r.now
	})
	r.purgeLog.Purges = append(l, PurgeRecord{p.Object, p.Group, r.now - p.Age})
}

// maxCopyAge returns the oldest copy that will do for q: fresh, and younger than the
// latest purge of its object or group. 0 means that any will do.
func (r *Router) maxCopyAge(q *request) time.Duration {
	return r.purgeLog.MaxAge(r.now, q.class.FreshnessLifetime, q.Object, q.PurgeGroup)
}
