package routing

import (
	"testing"
	"time"
)

// What may have been executed is repeated only as its class allows.
func TestRetriesFollowIdempotency(t *testing.T) {
	for _, test := range []struct {
		name  string
		class int
		res   Result
		after time.Duration
		again bool
		fail  bool
	}{
		{"safe, error", 0, ServerError, 0, true, false},
		{"keyed, error, in window", 2, ServerError, 0, true, false},
		{"keyed, error, just in window", 2, ServerError, 2*sec - ms, true, false},
		{"keyed, error, window over", 2, ServerError, 2 * sec, false, true},
		{"keyed, never executed, window over", 2, ConnectFailed, 2 * sec, true, false},
		{"unsafe, error", 3, ServerError, 0, false, true},
		{"unsafe, never executed", 3, Rejected, 0, true, false},
	} {
		f := newHarness(t, settings(), fleet())
		g := f.singleAttempt(f.request(Request{Class: test.class, Object: 1, SizeKB: 10}))
		f.now += test.after
		acts := f.finish(g, 0, test.res, CacheStatusUnknown)
		if again := len(sendActions(acts)) == 1; again != test.again || !again && isFailed(acts) != test.fail {
			t.Errorf("%s: %v", test.name, acts)
		}
	}
}

// A request never has two attempts in flight.
func TestNeverTwoAttemptsAtOnce(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Object: 1, SizeKB: 10}))
	for range 4 {
		f.now += sec
		if acts := f.handle(TimerFired{uint64(g.ID)<<timerKindBits | timerCheckAttempt}); len(sendActions(acts)) != 0 {
			t.Fatalf("hedged: %v", acts)
		}
	}
}

// A write that may have been executed, and may not be again, is answered at once.
func TestFinalAnswerIsNotDelayed(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Class: 3, Object: 1, SizeKB: 10}))
	if acts := f.finish(g, 0, ConnectionLost, CacheStatusUnknown); !isFailed(acts) {
		t.Errorf("%v, want a failure at once", acts)
	}
}

// What a parent does not hold is known by the miss of a fill that may only use its copies; without
// cache status nothing else tells it.
func TestParentMissWithoutStatus(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	f.router.originLimiter.active, f.router.originLimiter.limit = true, 10
	look := f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec}))
	held := f.singleAttempt(f.finishWithoutStatus(look, 0, NotCached, ms))
	if !held.OnlyIfCached {
		t.Fatalf("%+v: want a fill of what the parent holds", held)
	}
	deep := f.singleAttempt(f.finishWithoutStatus(held, 1, NotCached, ms))
	if deep.Server != held.Server || deep.OnlyIfCached {
		t.Errorf("%+v: want a fetch from the origin through the same cache", deep)
	}
}

// Three rejections without cache status end a read: further ones feed the jam.
func TestReadsWithoutStatusStopEarly(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	g := f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec}))
	for n := range maxReadAttemptsUnknownStatus - 1 {
		g = f.singleAttempt(f.finishWithoutStatus(g, n, Rejected, ms))
	}
	if acts := f.finishWithoutStatus(g, maxReadAttemptsUnknownStatus-1, Rejected, ms); !isRejected(acts) {
		t.Errorf("%v: want a rejection", acts)
	}
}

// A rejection without cache status may be the source's: the home cache is asked once more with
// another source. Symptom guarded against: while a parent was lost, every miss of its objects went
// round the caches and was rejected.
func TestRejectionWithoutStatusChangesTheSource(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	a := f.singleAttempt(f.request(Request{Object: 7, Timeout: 6 * sec}))
	b := f.singleAttempt(f.finishWithoutStatus(a, 0, Rejected, ms))
	if b.Server != a.Server || b.FillSource == a.FillSource {
		t.Errorf("%+v follows %+v: want the same cache and another source", b, a)
	}
	if c := f.singleAttempt(f.finishWithoutStatus(b, 1, Rejected, ms)); c.Server == a.Server {
		t.Errorf("%+v: want another cache after two rejections", c)
	}
}
