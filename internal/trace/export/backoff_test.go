package export

import (
	"math/rand/v2"
	"testing"
)

// The waits grow up to maxBackoff. They differ between routers, so that routers do not all call
// a failing collector at the same time.
func TestBackoffGrowsWithJitter(t *testing.T) {
	first := backoff{random: rand.New(rand.NewPCG(1, backoffStream))}
	second := backoff{random: rand.New(rand.NewPCG(2, backoffStream))}
	previous := 0.0
	for failure := range 20 {
		wait := first.nextWait(0)
		otherWait := second.nextWait(0)
		if wait == otherWait {
			t.Errorf("failure %d: both routers wait %v ms, want different waits", failure, wait)
		}
		if wait > maxBackoff {
			t.Errorf("failure %d: got a wait of %v ms, want at most %v ms", failure, wait, maxBackoff)
		}
		if wait < previous/4 {
			t.Errorf("failure %d: got a wait of %v ms after a wait of %v ms, want at least a quarter of the previous wait", failure, wait, previous)
		}
		if failure == 0 && wait > minBackoff {
			t.Errorf("first failure: got a wait of %v ms, want at most %v ms", wait, minBackoff)
		}
		previous = wait
	}
}

func TestBackoffHonorsRetryAfter(t *testing.T) {
	for _, failuresBefore := range []int{0, 20} {
		failing := backoff{random: rand.New(rand.NewPCG(1, backoffStream))}
		for range failuresBefore {
			failing.nextWait(0)
		}
		if got := failing.nextWait(maxBackoff); got != maxBackoff {
			t.Errorf("after %d failures: got a wait of %v ms, want the %v ms that the collector asked for", failuresBefore, got, maxBackoff)
		}
	}
}
