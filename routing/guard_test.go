package routing

import (
	"testing"
	"time"
)

// A change log that is cut off may keep a purge back that binds all the same:
// where purges happen, copies must then be younger than the grace.
func TestGuardWithStaleWatch(t *testing.T) {
	g := Guard{PurgeRetention: 6 * sec, PurgeGrace: 500 * ms, PurgesSeen: true, LastEventAt: 100 * sec}
	for _, c := range []struct {
		name     string
		g        Guard
		now, age time.Duration // in ms
		want     time.Duration
		purged   bool
	}{
		{"heard lately", g, 101_400, 0, 0, false},
		{"cut off", g, 101_600, 0, 500, true},
		{"cut off, with a bound", g, 101_600, 12_000, 500, true},
		{"cut off, with a tighter bound", g, 101_600, 200, 200, true},
		{"no purges here", Guard{PurgeGrace: g.PurgeGrace, LastEventAt: g.LastEventAt}, 200_000, 0, 0, false},
		{"not followed", Guard{PurgeGrace: g.PurgeGrace, PurgesSeen: true}, 200_000, 0, 0, false},
	} {
		if got := c.g.MaxAge(c.now*ms, c.age*ms, 7, 1); got != c.want*ms {
			t.Errorf("%s: age %v, want %d ms", c.name, got, c.want)
		}
		if got := c.g.MayBeStale(c.now*ms, 7, 1); got != c.purged {
			t.Errorf("%s: purged %v", c.name, got)
		}
	}
}
