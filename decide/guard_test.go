package decide

import (
	"testing"
	"time"
)

// A change log that is cut off may keep a purge back that binds all the same:
// where purges happen, copies must then be younger than the grace.
func TestDeafGuard(t *testing.T) {
	g := Guard{Done: 6 * sec, Grace: 500 * ms, Purging: true, Heard: 100 * sec}
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
		{"no purges here", Guard{Grace: g.Grace, Heard: g.Heard}, 200_000, 0, 0, false},
		{"not followed", Guard{Grace: g.Grace, Purging: true}, 200_000, 0, 0, false},
	} {
		if got := c.g.Age(c.now*ms, c.age*ms, 7, 1); got != c.want*ms {
			t.Errorf("%s: age %v, want %d ms", c.name, got, c.want)
		}
		if got := c.g.Purged(c.now*ms, 7, 1); got != c.purged {
			t.Errorf("%s: purged %v", c.name, got)
		}
	}
}
