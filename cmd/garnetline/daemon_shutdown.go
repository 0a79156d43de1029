package main

import (
	"time"

	"garnetline/internal/clock"
	"garnetline/routing"
)

const (
	// acceptAfterSignal is how long a router accepts requests after the signal to shut down:
	// the platform's front end goes on sending requests to it for 0.6 s.
	acceptAfterSignal = 700 * time.Millisecond
	// killDelay is the shortest time, in ms after acceptAfterSignal, until the platform kills
	// the process. If the longest deadline of a class is shorter, that one applies instead.
	killDelay = 3000.0
	// killMargin is the time, in ms before the kill, that is left for responses to reach the
	// clients.
	killMargin = 200.0
)

// beginShutdown starts the graceful shutdown: the router reports itself not ready, accepts
// requests for acceptAfterSignal, and closes drained when all requests are answered.
func (d *daemon) beginShutdown() {
	d.stopping.Store(true)
	d.fleet.Leave()
	d.front.FailHealthChecks()
	if d.startup.platform.ListenFD != 0 {
		d.front.StopAccepting() // the other process that holds the socket accepts new connections
	}
	d.dispatcher.DrainBy(d.clock.Now() + drainTime(d.classes()))
	drained := make(chan struct{})
	d.drained = drained
	go func() {
		defer close(drained)
		time.Sleep(acceptAfterSignal)
		d.front.Shutdown()
	}()
}

// drainTime returns the time, in ms after the signal, by which all open requests are answered.
// Without this bound, a request of a class with a long deadline would wait for a hanging cache
// until the process is killed, and would get no response.
func drainTime(classes []routing.Class) float64 {
	untilKill := min(clock.Millis(routing.MaxDeadline(classes)), killDelay)
	return clock.Millis(acceptAfterSignal) + max(untilKill-killMargin, 0)
}
