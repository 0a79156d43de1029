package routing

import (
	"testing"
	"time"
)

// TestRetriesFollowIdempotency checks that a request that may have been executed is retried only as its
// class allows.
func TestRetriesFollowIdempotency(t *testing.T) {
	tests := []struct {
		name    string
		class   int
		result  Result
		after   time.Duration
		retried bool
		failed  bool // if not retried: answered with Fail, not Reject
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
				t.Errorf("got retried %v, want %v: %v", retried, test.retried, actions)
			}
			if failed := isFailed(actions); !retried && failed != test.failed {
				t.Errorf("got failed %v, want %v: %v", failed, test.failed, actions)
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

// TestFinalAnswerIsNotDelayed checks that a write that may have been executed and must not be repeated is
// answered at once.
func TestFinalAnswerIsNotDelayed(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Class: onceClass, Object: 1, SizeKB: 10})
	if actions := harness.finish(sent, 0, ConnectionLost, CacheStatusUnknown); !isFailed(actions) {
		t.Errorf("got actions %v, want an immediate Fail", actions)
	}
}

// TestParentMissWithoutStatus checks that a router without cache status learns that a parent has no copy
// from a failed fill that may only use copies of the parent. Nothing else reports it there.
func TestParentMissWithoutStatus(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.router.originLimiter.active = true
	harness.router.originLimiter.limit = 10
	lookup := harness.requestOne(Request{Object: 7})
	fromParent := harness.singleAttempt(harness.finishWithoutStatus(lookup, 0, NotCached, millisecond))
	if !fromParent.OnlyIfCached {
		t.Fatalf("got attempt %+v, want a fill only from the cache of the parent", fromParent)
	}
	fromOrigin := harness.singleAttempt(harness.finishWithoutStatus(fromParent, 1, NotCached, millisecond))
	if fromOrigin.Server != fromParent.Server || fromOrigin.OnlyIfCached {
		t.Errorf("got attempt %+v, want a fetch from the origin through the same cache", fromOrigin)
	}
}

// TestReadsWithoutStatusHaveFewAttempts checks that three rejections without cache status end a read:
// further attempts would add to the overload.
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

// TestRejectionWithoutStatusChangesTheSource checks that after a rejection without cache status, which the
// source may have caused, the home cache gets a second attempt with another source. Otherwise, while a
// parent is lost, every miss of its objects is tried at one cache after another and rejected.
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
