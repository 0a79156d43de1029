package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/textconn"
)

// connections are the open connections of a Watcher to the change log. Only the goroutine of Watcher.Run
// uses them. Each connection has a goroutine, which sends to reports.
type connections struct {
	dial     dialFunc
	reports  chan connectionReport
	schedule connectionSchedule
	opened   map[connectionID]*openConnection
	running  sync.WaitGroup
	first    bool // no connection was opened since the start or the latest configuration
	start    time.Time
	timer    *time.Timer // fires at the time of the next step
}

// openConnection is a connection that is being established or is established.
type openConnection struct {
	cancel context.CancelFunc
	stream *textconn.Conn // nil until the connection is established
}

func newConnections(dial dialFunc, random *rand.Rand) *connections {
	created := &connections{
		dial:     dial,
		reports:  make(chan connectionReport),
		schedule: connectionSchedule{backoff: reconnectBackoff{random: random}},
		opened:   map[connectionID]*openConnection{},
		start:    time.Now(),
		timer:    time.NewTimer(0),
	}
	created.restart()
	return created
}

// now returns the time of the schedule, in ms.
func (c *connections) now() float64 { return monotonicMillis(c.start) }

// due returns a channel that receives a value at the time of the next step.
func (c *connections) due() <-chan time.Time { return c.timer.C }

// restart closes all connections. The next step opens a connection.
func (c *connections) restart() {
	for id := range c.opened {
		c.close(id)
	}
	c.schedule.restart(c.now())
	c.first = true
}

// closeAll closes all connections and waits until their goroutines have returned.
func (c *connections) closeAll() {
	c.restart()
	c.timer.Stop()
	c.running.Wait()
}

// step closes the connections that the schedule no longer wants. It returns the id of the connection that
// the caller has to open, or 0.
func (c *connections) step() connectionID {
	now := c.now()
	for id, connection := range c.opened {
		if connection.stream != nil {
			c.schedule.recordActivity(id, now-clock.Millis(connection.stream.Stalled()))
		}
	}
	result := c.schedule.step(now)
	for _, id := range result.closed {
		c.close(id)
	}
	c.timer.Reset(clock.Duration(max(0, result.wakeAt-now)))
	return result.opened
}

// open starts the goroutine of a connection.
func (c *connections) open(ctx context.Context, id connectionID, request connectionRequest) {
	ctx, cancel := context.WithCancel(ctx)
	c.opened[id] = &openConnection{cancel: cancel}
	c.running.Go(func() { readConnection(ctx, c.dial, id, request, c.reports) })
}

// close ends a connection. Its goroutine returns soon.
func (c *connections) close(id connectionID) {
	c.opened[id].cancel()
	delete(c.opened, id)
}

// count returns the number of open connections.
func (c *connections) count() int { return len(c.opened) }

// anyEstablished reports whether an open connection is established.
func (c *connections) anyEstablished() bool {
	for _, connection := range c.opened {
		if connection.stream != nil {
			return true
		}
	}
	return false
}

// anyReceivedFrame reports whether an open connection has received a frame.
func (c *connections) anyReceivedFrame() bool {
	return slices.ContainsFunc(c.schedule.open, func(connection scheduledConnection) bool { return connection.receivedFrame })
}

// isEstablished reports whether the open connection with an id is established.
func (c *connections) isEstablished(id connectionID) bool { return c.opened[id].stream != nil }

func (c *connections) isOpen(id connectionID) bool { return c.opened[id] != nil }

// receivedFrame reports whether an open connection has received a frame.
func (c *connections) receivedFrame(id connectionID) bool { return c.schedule.find(id).receivedFrame }

// recordEstablished records that a connection is established.
func (c *connections) recordEstablished(report connectionReport) {
	c.opened[report.id].stream = report.stream
	c.schedule.recordEstablished(report.id, c.now())
}

// recordFrame records that a connection has received a frame, and closes all others.
func (c *connections) recordFrame(id connectionID) {
	for _, other := range c.schedule.recordFrame(id, c.now()) {
		c.close(other)
	}
}

// recordEnd records that a connection has ended, or ends it.
func (c *connections) recordEnd(id connectionID, receivedFrame bool) {
	c.close(id)
	c.schedule.recordEnd(id, c.now(), receivedFrame)
}
