package routing

import (
	"testing"
	"time"
)

// TestRetriesFollowIdempotency checks that a request that may have been executed is retried only if the
// idempotency of its class allows a retry.
func TestRetriesFollowIdempotency(t *testing.T) {
	tests := []struct {
		name    string
		class   int
		result  Result
		after   time.Duration
		retried bool
		failed  bool // a request that is not retried is answered with Fail, not Reject
	}{
		{name: "idempotent, error", class: bigClass, result: ServerError, retried: true},
		{name: "with key, error, in window", class: writeClass, result: ServerError, retried: true},
		{name: "with key, error, just in window", class: writeClass, result: ServerError,
			after: 2*second - millisecond, retried: true},
		{name: "with key, error, window over", class: writeClass, result: ServerError,
			after: 2 * second, failed: true},
		{name: "with key, never executed, window over", class: writeClass, result: ConnectFailed,
			after: 2 * second, retried: true},
		{name: "not idempotent, error", class: onceClass, result: ServerError, failed: true},
		{name: "not idempotent, never executed", class: onceClass, result: Rejected, retried: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, settings(), fleet())
			sent := harness.requestOne(Request{Class: test.class, Object: 1, SizeKB: 10})
			harness.now += test.after
			actions := harness.finish(sent, 0, test.result, CacheStatusUnknown)
			retried := len(sendActions(actions)) == 1
			if retried != test.retried {
				t.Errorf("got retried %v, want %v; actions %v", retried, test.retried, actions)
			}
			if failed := isFailed(actions); !retried && failed != test.failed {
				t.Errorf("got answered with Fail %v, want %v; actions %v", failed, test.failed, actions)
			}
		})
	}
}

// TestAtMostOneAttemptInFlight checks that a request never has two attempts in flight.
func TestAtMostOneAttemptInFlight(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Object: 1, SizeKB: 10})
	for range 4 {
		harness.now += second
		if actions := harness.checkNewest(sent.ID); len(sendActions(actions)) != 0 {
			t.Fatalf("got actions %v, want no second attempt", actions)
		}
	}
}

// TestFinalAnswerIsNotDelayed checks that a NonIdempotent write that may have been executed is answered as
// soon as its attempt fails.
func TestFinalAnswerIsNotDelayed(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Class: onceClass, Object: 1, SizeKB: 10})
	if actions := harness.finish(sent, 0, ConnectionLost, CacheStatusUnknown); !isFailed(actions) {
		t.Errorf("got actions %v, want an immediate Fail", actions)
	}
}

// TestParentMissWithoutStatus checks that a router detects a miss at a parent although outcomes report no
// cache status. A fill that may use only a cached copy of the parent ends as NotCached, which is the only
// sign of the miss.
func TestParentMissWithoutStatus(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.router.originLimiter.active = true
	harness.router.originLimiter.limit = 10
	lookup := harness.requestOne(Request{Object: 7})
	fromParent := harness.singleAttempt(harness.finishWithoutStatus(lookup, 0, NotCached, millisecond))
	if !fromParent.OnlyIfCached {
		t.Fatalf("got attempt %+v, want a fill that asks the parent only for a cached copy", fromParent)
	}
	fromOrigin := harness.singleAttempt(harness.finishWithoutStatus(fromParent, 1, NotCached, millisecond))
	if fromOrigin.Server != fromParent.Server || fromOrigin.OnlyIfCached {
		t.Errorf("got attempt %+v, want a fetch from the origin through the same cache", fromOrigin)
	}
}

// TestReadsWithoutStatusHaveFewAttempts checks that a read ends after three rejections without cache status.
// Further attempts would add to the overload.
func TestReadsWithoutStatusHaveFewAttempts(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Object: 7})
	const last = maxReadAttemptsUnknownStatus - 1
	for index := range last {
		sent = harness.singleAttempt(harness.finishWithoutStatus(sent, index, Rejected, millisecond))
	}
	if actions := harness.finishWithoutStatus(sent, last, Rejected, millisecond); !isRejected(actions) {
		t.Errorf("got actions %v, want a rejection", actions)
	}
}

// TestRejectionWithoutStatusChangesTheSource checks that a rejection without cache status leads to a second
// attempt at the home cache with another source, since the first source may have caused the rejection.
// Otherwise, while a parent is lost, each miss of an object with this home parent would be retried at all
// caches and rejected.
func TestRejectionWithoutStatusChangesTheSource(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	first := harness.requestOne(Request{Object: 7})
	second := harness.singleAttempt(harness.finishWithoutStatus(first, 0, Rejected, millisecond))
	if second.Server != first.Server || second.FillSource == first.FillSource {
		t.Errorf("got attempt %+v after %+v, want the same cache and another source", second, first)
	}
	third := harness.singleAttempt(harness.finishWithoutStatus(second, 1, Rejected, millisecond))
	if third.Server == first.Server {
		t.Errorf("got attempt %+v after two rejections, want another cache", third)
	}
}
