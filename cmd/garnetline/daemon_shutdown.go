package main

import (
	"time"

	"garnetline/internal/clock"
	"garnetline/routing"
)

const (
	// acceptAfterSignal is how long a router that is told to stop goes on taking requests:
	// the platform's front end sends some for 0.6 s yet.
	acceptAfterSignal = 700 * time.Millisecond
	// killDelay is how long after that, in ms, a process has at the least, or the longest
	// deadline of a class where that is shorter.
	killDelay = 3000.0
	// killMargin is kept, in ms, for the answers' way to the clients.
	killMargin = 200.0
)

// beginShutdown starts the graceful shutdown: the router is not ready any more, goes on
// taking requests for acceptAfterSignal, and closes drained when all are answered.
func (d *daemon) beginShutdown() {
	d.stopping.Store(true)
	d.fleet.Leave()
	d.front.FailHealthChecks()
	if d.startup.platform.ListenFD != 0 {
		d.front.StopAccepting() // the other process that holds the socket takes what comes
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

// drainTime is the time, in ms from the signal on, by which all open requests are answered.
//
// Symptom guarded against: a request of a class with a long deadline waited for a cache that
// hung until the process was killed.
func drainTime(classes []routing.Class) float64 {
	untilKill := min(clock.Millis(routing.MaxDeadline(classes)), killDelay)
	return clock.Millis(acceptAfterSignal) + max(untilKill-killMargin, 0)
}
