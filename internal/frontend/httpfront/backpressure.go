package httpfront

import "sync"

// pipelinePausesCounter counts how often a pipeline was paused.
const pipelinePausesCounter = "pipeline_pauses"

const (
	// maxUnacknowledgedBytes is how much of its responses a client may leave unread in the system before its
	// next pipelined request is read.
	maxUnacknowledgedBytes = 64 << 10

	// backpressureIntervalMs is the time between two looks at the unread bytes. It doubles up to
	// maxBackpressureIntervalMs while nothing changes.
	backpressureIntervalMs    = 2.0
	maxBackpressureIntervalMs = 100.0

	// rejectionIntervalMs is the time between pipelined requests that are read behind a rejected one, on all
	// connections, after rejectionBurst of them at once. Rejections cost the router little and the client
	// nothing, so a crowd of pipelines would otherwise use the processors for them.
	rejectionIntervalMs = 2.0
	rejectionBurst      = 100
)

// awaitBackpressure waits until the next request of a client that has sent several at once may be read. It
// returns false if the connection must be closed: the client has closed it, or has received nothing of its
// responses for idleTimeoutMs, or the server needs its memory.
func (c *conn) awaitBackpressure() bool {
	if !c.hasPipelined() {
		return true
	}
	if c.rejected && !c.server.keepAlivesDisabled.Load() && !c.pause(c.server.rejectionPacer.take(c.server.Clock.Now())) {
		return false
	}
	return c.awaitReceipt() && !c.isEvictedForMemory()
}

// hasPipelined reports whether bytes behind the last request have arrived.
func (c *conn) hasPipelined() bool {
	return c.text.R.Buffered() > 0 || c.text.HasReadAhead() || c.text.HasUnread()
}

// awaitReceipt waits until the client has received most of its earlier responses. Without it, a client that
// reads no response would have one request open all the time.
func (c *conn) awaitReceipt() bool {
	interval, progressAt := backpressureIntervalMs, c.server.Clock.Now()
	unacknowledged := c.text.UnacknowledgedBytes()
	for unacknowledged > maxUnacknowledgedBytes && !c.server.keepAlivesDisabled.Load() && !c.isEvicted() {
		if !c.pause(interval) || c.server.Clock.Now()-progressAt > idleTimeoutMs {
			return false
		}
		interval = min(2*interval, maxBackpressureIntervalMs)
		if left := c.text.UnacknowledgedBytes(); left < unacknowledged {
			unacknowledged, interval, progressAt = left, backpressureIntervalMs, c.server.Clock.Now()
		}
	}
	return true
}

// pause waits for the given time, or until the server evicts the connection. It returns false if the client
// has closed the connection.
func (c *conn) pause(durationMs float64) bool {
	if durationMs <= 0 {
		return true
	}
	c.server.Metrics.Add(pipelinePausesCounter, 1)
	c.setState(statePaused, true, durationMs)
	return isTimeout(c.text.AwaitEnd())
}

// sharedPacer limits the rate of an action over all connections.
type sharedPacer struct {
	mu     sync.Mutex
	nextAt float64 // time in ms of the next action, if the rate were even
}

// take returns the time in ms after which the caller may act.
func (p *sharedPacer) take(now float64) (delayMs float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextAt = max(p.nextAt, now-rejectionBurst*rejectionIntervalMs) + rejectionIntervalMs
	return p.nextAt - now
}
