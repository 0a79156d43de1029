package export

import "math/rand/v2"

const (
	minBackoff = 200.0    // ms, the upper bound after the first failure
	maxBackoff = 30_000.0 // ms, also for what a collector asks for
)

// backoff is the wait after failed calls. Its upper bound doubles with each failure, and each
// wait is random in the upper half, so that routers do not return at the same time.
type backoff struct {
	random *rand.Rand
	bound  float64 // ms; zero: the last call succeeded
}

// active reports whether the last call failed.
func (b *backoff) active() bool { return b.bound > 0 }

// reset ends the backoff after a call that succeeded.
func (b *backoff) reset() { b.bound = 0 }

// next returns the next wait in ms, at least what the collector asked for.
func (b *backoff) next(retryAfter float64) float64 {
	b.bound = min(max(2*b.bound, minBackoff), maxBackoff)
	wait := b.bound * (1 + b.random.Float64()) / 2
	return max(wait, retryAfter)
}
