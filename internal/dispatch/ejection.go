package dispatch

import (
	"slices"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// PublishEjected makes the dispatcher publish the list of ejected servers, so that Ejected returns
// it. PublishEjected must be called before Run.
func (d *Dispatcher) PublishEjected() { d.publishesEjected = true }

// Ejected returns the servers that the module's outlier detection has ejected. The list is as of
// the last message or timer that the dispatcher handled. Ejected returns nil if PublishEjected was
// not called. The returned slice is never modified. Any goroutine may call Ejected.
func (d *Dispatcher) Ejected() []routing.ServerID {
	if ejected := d.ejected.Load(); ejected != nil {
		return *ejected
	}
	return nil
}

// EjectedCount returns the number of servers that the module has ejected, as of the last message or
// timer that the dispatcher handled. Any goroutine may call EjectedCount.
func (d *Dispatcher) EjectedCount() int64 { return d.ejectedCount.Load() }

// publishEjections publishes the number of ejected servers. If PublishEjected was called,
// publishEjections also publishes their list.
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

// ReportLoad tells the decision module the load of a server. Another router measured the load ageMs
// milliseconds ago. ReportLoad does not wait: if the mailbox is full, it drops the report, because
// an old report is useless. Any goroutine may call ReportLoad.
func (d *Dispatcher) ReportLoad(id routing.ServerID, load routing.LoadReport, ageMs float64) {
	d.offer(peerMessage{routing.PeerLoadReport{Server: id, Load: load, Age: clock.Duration(ageMs)}})
}

// ExtendEjection keeps an ejected server ejected for at least durationMs milliseconds from now.
// Like ReportLoad, ExtendEjection does not wait, and drops the message if the mailbox is full.
func (d *Dispatcher) ExtendEjection(id routing.ServerID, durationMs float64) {
	until := clock.Duration(d.clock.Now() + durationMs)
	d.offer(peerMessage{routing.ExtendEjection{Server: id, Until: until}})
}

// RequireProbe tells the decision module that other routers ejected a server. The module then
// probes the server with one request before it sends further requests to the server. Like
// ReportLoad, RequireProbe does not wait, and drops the message if the mailbox is full.
func (d *Dispatcher) RequireProbe(id routing.ServerID) {
	d.offer(peerMessage{routing.RequireProbe{Server: id}})
}
