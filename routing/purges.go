package routing

import (
	"slices"
	"time"
)

// PurgeRecord is a purge and when it was made.
type PurgeRecord struct {
	Object ObjectID // 0: the whole group
	Group  int
	At     time.Duration
}

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
	r.purgeLog.Purges = append(r.purgeLog.Purges, PurgeRecord{event.Object, event.Group, r.now - event.Age})
}
