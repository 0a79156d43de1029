package routing

import (
	"testing"
	"time"
)

// What may have been executed is repeated only as its class allows.
func TestRetriesFollowIdempotency(t *testing.T) {
	tests := []struct {
		name    string
		class   int
		result  Result
		after   time.Duration
		retried bool
		failed  bool // else rejected, where it is not retried
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
				t.Errorf("retried: %v, want %v: %v", retried, test.retried, actions)
			}
			if failed := isFailed(actions); !retried && failed != test.failed {
				t.Errorf("failed: %v, want %v: %v", failed, test.failed, actions)
			}
		})
	}
}

// A request never has two attempts in flight.
func TestNeverTwoAttemptsAtOnce(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Object: 1, SizeKB: 10})
	for range 4 {
		harness.now += second
		if actions := harness.checkNewest(sent.ID); len(sendActions(actions)) != 0 {
			t.Fatalf("actions %v, want no second attempt", actions)
		}
	}
}

// A write that may have been executed, and may not be again, is answered at once.
func TestFinalAnswerIsNotDelayed(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Class: onceClass, Object: 1, SizeKB: 10})
	if actions := harness.finish(sent, 0, ConnectionLost, CacheStatusUnknown); !isFailed(actions) {
		t.Errorf("actions %v, want a failure at once", actions)
	}
}

// What a parent does not hold is known by the miss of a fill that may only use its copies; without
// cache status nothing else tells it.
func TestParentMissWithoutStatus(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	harness.router.originLimiter.active = true
	harness.router.originLimiter.limit = 10
	look := harness.requestOne(Request{Object: 7})
	fromParent := harness.singleAttempt(harness.finishWithoutStatus(look, 0, NotCached, millisecond))
	if !fromParent.OnlyIfCached {
		t.Fatalf("attempt %+v, want a fill of what the parent holds", fromParent)
	}
	fromOrigin := harness.singleAttempt(harness.finishWithoutStatus(fromParent, 1, NotCached, millisecond))
	if fromOrigin.Server != fromParent.Server || fromOrigin.OnlyIfCached {
		t.Errorf("attempt %+v, want a fetch from the origin through the same cache", fromOrigin)
	}
}

// Three rejections without cache status end a read: further ones feed the jam.
func TestReadsWithoutStatusStopEarly(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Object: 7})
	const last = maxReadAttemptsUnknownStatus - 1
	for index := range last {
		sent = harness.singleAttempt(harness.finishWithoutStatus(sent, index, Rejected, millisecond))
	}
	if actions := harness.finishWithoutStatus(sent, last, Rejected, millisecond); !isRejected(actions) {
		t.Errorf("actions %v, want a rejection", actions)
	}
}

// A rejection without cache status may be the source's: the home cache is asked once more with
// another source. Symptom guarded against: while a parent was lost, every miss of its objects went
// round the caches and was rejected.
func TestRejectionWithoutStatusChangesTheSource(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	first := harness.requestOne(Request{Object: 7})
	second := harness.singleAttempt(harness.finishWithoutStatus(first, 0, Rejected, millisecond))
	if second.Server != first.Server || second.FillSource == first.FillSource {
		t.Errorf("%+v follows %+v, want the same cache and another source", second, first)
	}
	third := harness.singleAttempt(harness.finishWithoutStatus(second, 1, Rejected, millisecond))
	if third.Server == first.Server {
		t.Errorf("%+v follows two rejections, want another cache", third)
	}
}
