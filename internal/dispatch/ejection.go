package dispatch

import (
	"slices"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// PublishEjected has the list of ejected servers published, for Ejected. It must not be called
// after Run.
func (d *Dispatcher) PublishEjected() { d.publishesEjected = true }

// Ejected returns the servers that the module's outlier detection has ejected, as of the last
// message or timer; nil unless PublishEjected was called. The slice is never changed. Any
// goroutine may call it.
func (d *Dispatcher) Ejected() []routing.ServerID {
	if ejected := d.ejected.Load(); ejected != nil {
		return *ejected
	}
	return nil
}

// EjectedCount returns how many servers the module has ejected, as of the last message or
// timer. Any goroutine may call it.
func (d *Dispatcher) EjectedCount() int64 { return d.ejectedCount.Load() }

// publishEjections publishes how many servers are ejected and, where that is wanted, which.
func (d *Dispatcher) publishEjections() {
	d.ejectedCount.Store(d.router.UnavailableCount())
	if !d.publishesEjected {
		return
	}
	d.ejectedBuffer = d.router.AppendEjected(d.ejectedBuffer[:0])
	if slices.Equal(d.ejectedBuffer, d.Ejected()) {
		return
	}
	ejected := slices.Clone(d.ejectedBuffer)
	d.ejected.Store(&ejected)
}

// ReportLoad hands over a server's load as another router measured it, ageMs ago. Any goroutine
// may call it. It does not wait: a report that finds no room in the mailbox is dropped, since
// it is worth nothing later.
func (d *Dispatcher) ReportLoad(id routing.ServerID, load routing.LoadReport, ageMs float64) {
	d.offer(peerMessage{routing.PeerLoadReport{Server: id, Load: load, Age: clock.Duration(ageMs)}})
}

// ExtendEjection keeps an ejected server ejected for ms from now at least. Like ReportLoad it
// does not wait.
func (d *Dispatcher) ExtendEjection(id routing.ServerID, ms float64) {
	until := clock.Duration(d.clock.Now() + ms)
	d.offer(peerMessage{routing.ExtendEjection{Server: id, Until: until}})
}

// RequireProbe has a server that other routers ejected probed by a single request before it
// gets more. Like ReportLoad it does not wait.
func (d *Dispatcher) RequireProbe(id routing.ServerID) {
	d.offer(peerMessage{routing.RequireProbe{Server: id}})
}
