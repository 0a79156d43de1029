package main

import (
	"time"

	"garnetline/internal/clock"
	"garnetline/routing"
)

const (
	// acceptAfterSignal is how long a router accepts new requests after the signal to shut down.
	// The platform's front end still sends requests to the router for 0.6 s after the signal.
	acceptAfterSignal = 700 * time.Millisecond
	// killDelay is the shortest time, in ms, from the end of acceptAfterSignal until the platform
	// kills the process. If the longest deadline of all classes is shorter than killDelay, drainTime
	// uses that deadline instead.
	killDelay = 3000.0
	// killMargin is the time, in ms, between the last response and the kill. A response needs this
	// time to reach its client.
	killMargin = 200.0
	// shutdownLimit is the time, in ms after the last request had to be answered, after which the process ends
	// although connections are still open, for instance to clients that read slowly.
	shutdownLimit = 5000.0
)

// beginShutdown starts the graceful shutdown. The router reports itself not ready and accepts
// requests for acceptAfterSignal. When all requests are answered, or shutdownLimit has passed, it closes
// d.drained.
func (d *daemon) beginShutdown() {
	d.stopping.Store(true)
	d.fleet.Leave()
	d.front.FailHealthChecks()
	if d.startup.platform.ListenFD != 0 {
		d.front.StopAccepting() // the other process that holds the socket accepts new connections
	}
	drainBy := d.clock.Now() + drainTime(d.classes())
	d.dispatcher.DrainBy(drainBy)
	d.front.DrainBy(drainBy)
	drained := make(chan struct{})
	d.drained = drained
	go func() {
		defer close(drained)
		time.Sleep(acceptAfterSignal)
		d.shutdownFront(drainBy + shutdownLimit)
	}()
}

// shutdownFront shuts the front end down. It returns when all connections are closed, or at the time limit.
func (d *daemon) shutdownFront(limit float64) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.front.Shutdown()
	}()
	select {
	case <-ended:
	case <-time.After(clock.Duration(limit - d.clock.Now())):
		d.log.Warn().Msg("shutdown limit reached, ending with open connections")
	}
}

// drainTime returns the time, in ms after the signal, by which all open requests have to be
// answered. If the requests could stay open longer, a request of a class with a long deadline would
// wait for a hanging cache until the process is killed, and would get no response.
func drainTime(classes []routing.Class) float64 {
	untilKill := min(clock.Millis(routing.MaxDeadline(classes)), killDelay)
	return clock.Millis(acceptAfterSignal) + max(untilKill-killMargin, 0)
}
