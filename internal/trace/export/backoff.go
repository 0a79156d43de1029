package export

import "math/rand/v2"

const (
	minBackoff = 200.0    // ms, upper bound of the wait after the first failure
	maxBackoff = 30_000.0 // ms, upper bound of all waits, also of those that a collector asks for
)

// backoff computes the waits after failed calls. The upper bound of the wait doubles with each
// failure. Each wait is random, from bound/2 to bound, so that routers do not retry at the same
// time.
type backoff struct {
	random *rand.Rand
	bound  float64 // ms, upper bound of the last wait; 0 if the last call did not fail
}

// active reports whether the last call failed.
func (b *backoff) active() bool { return b.bound > 0 }

// reset ends the backoff after a call that succeeded.
func (b *backoff) reset() { b.bound = 0 }

// nextWait returns the wait, in ms, after one more failed call. The wait is at least retryAfter, the
// time in ms that the collector asked to wait.
func (b *backoff) nextWait(retryAfter float64) float64 {
	b.bound = min(max(2*b.bound, minBackoff), maxBackoff)
	wait := b.bound * (1 + b.random.Float64()) / 2
	return max(wait, retryAfter)
}
