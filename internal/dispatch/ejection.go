package dispatch

import (
	"slices"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// PublishEjected makes the dispatcher publish the list of ejected servers, which Ejected returns.
// It must be called before Run.
func (d *Dispatcher) PublishEjected() { d.publishesEjected = true }

// Ejected returns the servers that the module's outlier detection has ejected, as of the last
// message or timer. It returns nil unless PublishEjected was called. The returned slice is never
// modified. Any goroutine may call it.
func (d *Dispatcher) Ejected() []routing.ServerID {
	if ejected := d.ejected.Load(); ejected != nil {
		return *ejected
	}
	return nil
}

// EjectedCount returns how many servers the module has ejected, as of the last message or
// timer. Any goroutine may call it.
func (d *Dispatcher) EjectedCount() int64 { return d.ejectedCount.Load() }

// publishEjections publishes the number of ejected servers and, if PublishEjected was called,
// their list.
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

// ReportLoad passes on the load of a server that another router measured ageMs milliseconds ago.
// Any goroutine may call it. It does not wait: a report is dropped if the mailbox is full, because
// an old report is useless.
func (d *Dispatcher) ReportLoad(id routing.ServerID, load routing.LoadReport, ageMs float64) {
	d.offer(peerMessage{routing.PeerLoadReport{Server: id, Load: load, Age: clock.Duration(ageMs)}})
}

// ExtendEjection keeps an ejected server ejected for at least ms milliseconds from now. Like
// ReportLoad, it does not wait and may be dropped.
func (d *Dispatcher) ExtendEjection(id routing.ServerID, ms float64) {
	until := clock.Duration(d.clock.Now() + ms)
	d.offer(peerMessage{routing.ExtendEjection{Server: id, Until: until}})
}

// RequireProbe tells the decision module that other routers ejected a server: the module must
// probe the server by a single request before it sends more. Like ReportLoad, it does not wait and
// may be dropped.
func (d *Dispatcher) RequireProbe(id routing.ServerID) {
	d.offer(peerMessage{routing.RequireProbe{Server: id}})
}
