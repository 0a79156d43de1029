package routing

import (
	"testing"
	"time"
)

// A watch stream that is cut off may keep a purge back that binds all the same: where purges happen,
// copies must then be younger than the grace.
func TestGuardWithStaleWatch(t *testing.T) {
	guard := Guard{PurgeRetention: 6 * sec, PurgeGrace: 500 * ms, PurgesSeen: true, LastEventAt: 100 * sec}
	for _, test := range []struct {
		name     string
		g        Guard
		now, age time.Duration // in ms
		want     time.Duration
		purged   bool
	}{
		{"event lately", guard, 101_400, 0, 0, false},
		{"cut off", guard, 101_600, 0, 500, true},
		{"cut off, with a bound", guard, 101_600, 12_000, 500, true},
		{"cut off, with a tighter bound", guard, 101_600, 200, 200, true},
		{"no purges here", Guard{PurgeGrace: guard.PurgeGrace, LastEventAt: guard.LastEventAt}, 200_000, 0, 0, false},
		{"not followed", Guard{PurgeGrace: guard.PurgeGrace, PurgesSeen: true}, 200_000, 0, 0, false},
	} {
		if got := test.g.MaxAge(test.now*ms, test.age*ms, 7, 1); got != test.want*ms {
			t.Errorf("%s: age %v, want %d ms", test.name, got, test.want)
		}
		if got := test.g.MayBeStale(test.now*ms, 7, 1); got != test.purged {
			t.Errorf("%s: purged %v", test.name, got)
		}
	}
}

// A purge bounds the age of copies from its moment until all older copies are gone.
func TestPurges(t *testing.T) {
	for _, test := range []struct {
		name  string
		purge Purge
		class int
		wait  time.Duration
		want  time.Duration
	}{
		{"object", Purge{Object: 7, Age: 100 * ms}, 0, 200 * ms, 300 * ms},
		{"other object", Purge{Object: 8, Group: 4, Age: 100 * ms}, 0, 0, 0},
		{"group", Purge{Group: 4, Age: 100 * ms}, 0, 0, 100 * ms},
		{"other group", Purge{Group: 5, Age: 100 * ms}, 0, 0, 0},
		{"just purged", Purge{Object: 7}, 0, 0, time.Microsecond},
		{"fresher than the class asks", Purge{Object: 7, Age: sec}, 1, 0, sec},
		{"older than the class allows", Purge{Object: 7, Age: 5 * sec}, 1, 4 * sec, 8 * sec},
		{"at the end", Purge{Object: 7, Age: sec}, 0, 5*sec - ms, 6*sec - ms},
	} {
		f := newHarness(t, settings(), fleet())
		f.handle(test.purge)
		f.now += test.wait
		if g := f.singleAttempt(f.request(Request{Class: test.class, Object: 7, PurgeGroup: 4, SizeKB: 1})); g.MaxAge != test.want {
			t.Errorf("%s: age %v, want %v", test.name, g.MaxAge, test.want)
		}
	}
	f := newHarness(t, settings(), fleet())
	f.handle(Purge{Object: 7})
	f.now += 7 * sec
	f.handle(Purge{Object: 9})
	if len(f.router.purgeLog.Purges) != 1 {
		t.Errorf("%d purges kept, want 1", len(f.router.purgeLog.Purges))
	}
}
