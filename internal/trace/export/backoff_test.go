package export

import (
	"math/rand/v2"
	"testing"
)

// Guards against routers that return to a failing collector at the same time, or after a wait
// that has no bound.
func TestBackoffGrowsWithJitter(t *testing.T) {
	first := backoff{random: rand.New(rand.NewPCG(1, backoffStream))}
	second := backoff{random: rand.New(rand.NewPCG(2, backoffStream))}
	previous := 0.0
	for failure := range 20 {
		wait := first.next(0)
		otherWait := second.next(0)
		if wait == otherWait {
			t.Errorf("failure %d: two routers wait %v ms, want different times", failure, wait)
		}
		if wait > maxBackoff {
			t.Errorf("failure %d: the wait is %v ms, want %v or less", failure, wait, maxBackoff)
		}
		if wait < previous/4 {
			t.Errorf("failure %d: the wait is %v ms after %v, want a quarter or more", failure, wait, previous)
		}
		if failure == 0 && wait > minBackoff {
			t.Errorf("the first wait is %v ms, want %v or less", wait, minBackoff)
		}
		previous = wait
	}
}

func TestBackoffHonorsRetryAfter(t *testing.T) {
	for _, failuresBefore := range []int{0, 20} {
		failing := backoff{random: rand.New(rand.NewPCG(1, backoffStream))}
		for range failuresBefore {
			failing.next(0)
		}
		if got := failing.next(maxBackoff); got != maxBackoff {
			t.Errorf("after %d failures the wait is %v ms, want the %v that the collector asked for", failuresBefore, got, maxBackoff)
		}
	}
}
