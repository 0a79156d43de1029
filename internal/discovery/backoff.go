package discovery

import "math/rand/v2"

// Bounds of the delays before a reconnect, in milliseconds.
const (
	initialBackoff = 50.0 // upper bound of the first delay; the bound doubles each time
	maxBackoff     = 800.0
)

// reconnectBackoff computes the delays between connections. While no frame is received, the upper
// bound of the delay doubles up to maxBackoff. Each delay is a random value from half the bound to
// the bound. A fleet has hundreds of routers, and all of them may lose the change log at the same
// moment. Without the randomness, they would also connect again at the same moment.
type reconnectBackoff struct {
	random  *rand.Rand
	ceiling float64 // ms; upper bound of the latest delay; 0: no delay yet
}

// nextDelay returns the delay, in milliseconds, after a connection. receivedFrame tells whether the
// connection received a frame. If it did, the bound of the delay is initialBackoff again.
func (b *reconnectBackoff) nextDelay(receivedFrame bool) float64 {
	b.ceiling = min(2*b.ceiling, maxBackoff)
	if receivedFrame || b.ceiling == 0 {
		b.ceiling = initialBackoff
	}
	return b.ceiling * (1 + b.random.Float64()) / 2
}

// reset makes initialBackoff the bound of the next delay.
func (b *reconnectBackoff) reset() { b.ceiling = 0 }
