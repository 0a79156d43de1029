package logs

import (
	"sync"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
)

// A throttled logger writes at most throttledEvents in each throttleInterval.
const (
	throttledEvents  = 10
	throttleInterval = 1000.0 // ms
)

// Throttled returns a logger for events that a peer can cause at any rate. It drops those beyond ten a
// second; the caller counts them all.
func Throttled(logger zerolog.Logger, clk clock.Clock) zerolog.Logger {
	return logger.Sample(&throttle{clock: clk})
}

// throttle counts events in intervals of a clock. The samplers of zerolog use the wall clock: after it is
// set back they could drop all events for as long as the step.
type throttle struct {
	clock clock.Clock

	mu      sync.Mutex
	endsAt  float64 // end of the current interval, in ms
	written int     // events in the current interval
}

// Sample implements zerolog.Sampler.
func (t *throttle) Sample(zerolog.Level) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Now(); now >= t.endsAt {
		t.endsAt = now + throttleInterval
		t.written = 0
	}
	t.written++
	return t.written <= throttledEvents
}
