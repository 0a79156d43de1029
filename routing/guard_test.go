package routing

import (
	"testing"
	"time"
)

// TestStaleWatchBoundsCopyAge checks that only copies younger than the purge grace are served while the
// watch stream is cut off, in a deployment with purges. The router may have missed purges, which must take
// effect too.
func TestStaleWatchBoundsCopyAge(t *testing.T) {
	const grace = 500 * millisecond
	watched := Guard{
		PurgeRetention: 6 * second, PurgeGrace: grace, PurgesOccur: true, LastFrameAt: 100 * second,
	}
	tests := []struct {
		name      string
		guard     Guard
		now       time.Duration
		bound     time.Duration
		wantAge   time.Duration
		wantStale bool
	}{
		{name: "recent frame", guard: watched, now: 101_400 * millisecond},
		{name: "cut off", guard: watched, now: 101_600 * millisecond, wantAge: grace, wantStale: true},
		{name: "cut off, with a bound", guard: watched, now: 101_600 * millisecond,
			bound: 12 * second, wantAge: grace, wantStale: true},
		{name: "cut off, with a tighter bound", guard: watched, now: 101_600 * millisecond,
			bound: 200 * millisecond, wantAge: 200 * millisecond, wantStale: true},
		{name: "cut off, without a grace", now: 101_600 * millisecond, wantAge: time.Microsecond, wantStale: true,
			guard: Guard{PurgesOccur: true, LastFrameAt: watched.LastFrameAt}},
		{name: "no purges here", guard: Guard{PurgeGrace: grace, LastFrameAt: watched.LastFrameAt}, now: 200 * second},
		{name: "no frame yet", guard: Guard{PurgeGrace: grace, PurgesOccur: true}, now: 200 * second,
			wantAge: grace, wantStale: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.guard.MaxAge(test.now, test.bound, 7, 1); got != test.wantAge {
				t.Errorf("got maximum age %v, want %v", got, test.wantAge)
			}
			if got := test.guard.MayBeStale(test.now, 7, 1); got != test.wantStale {
				t.Errorf("got MayBeStale %v, want %v", got, test.wantStale)
			}
		})
	}
}

// TestPurgeBoundsCopyAge checks that only copies newer than a purge are served, until the end of the purge
// retention.
func TestPurgeBoundsCopyAge(t *testing.T) {
	const object, group = 7, 4
	tests := []struct {
		name  string
		purge Purge
		class int
		wait  time.Duration // time from the purge to the request
		want  time.Duration
	}{
		{name: "object", purge: Purge{Object: object, Age: 100 * millisecond},
			wait: 200 * millisecond, want: 300 * millisecond},
		{name: "other object", purge: Purge{Object: 8, Group: group, Age: 100 * millisecond}},
		{name: "group", purge: Purge{Group: group, Age: 100 * millisecond}, want: 100 * millisecond},
		{name: "other group", purge: Purge{Group: 5, Age: 100 * millisecond}},
		{name: "just purged", purge: Purge{Object: object}, want: time.Microsecond},
		{name: "purged within the freshness lifetime", purge: Purge{Object: object, Age: second},
			class: smallClass, want: second},
		{name: "purged before the freshness lifetime", purge: Purge{Object: object, Age: 5 * second},
			class: smallClass, wait: 4 * second, want: 8 * second},
		{name: "end of the purge retention", purge: Purge{Object: object, Age: second},
			wait: 5*second - millisecond, want: 6*second - millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, settings(), fleet())
			harness.handle(test.purge)
			harness.now += test.wait
			sent := harness.requestOne(Request{Class: test.class, Object: object, PurgeGroup: group, SizeKB: 1})
			if sent.MaxAge != test.want {
				t.Errorf("got maximum age %v, want %v", sent.MaxAge, test.want)
			}
		})
	}
}

// TestExpiredPurgesAreRemoved checks that the record of a purge is removed after the purge retention.
func TestExpiredPurgesAreRemoved(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.handle(Purge{Object: 7})
	harness.now += 7 * second
	harness.handle(Purge{Object: 9})
	if got := len(harness.router.purgeLog.Purges); got != 1 {
		t.Errorf("got %d recorded purges, want 1", got)
	}
}
