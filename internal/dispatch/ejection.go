package dispatch

import (
	"slices"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// PublishEjected has the servers that are set aside published. It must not be called once Run
// has been.
func (c *Dispatcher) PublishEjected() { c.publishesEjected = true }

// publishEjections publishes the servers that are set aside, where that is wanted and has changed.
func (c *Dispatcher) publishEjections() {
	if !c.publishesEjected {
		return
	}
	l := c.router.AppendEjected(c.ejectedBuffer[:0])
	if c.ejectedBuffer = l; !slices.Equal(l, c.Ejected()) {
		l = slices.Clone(l)
		c.ejected.Store(&l)
	}
}

// Ejected returns the servers that the module has set aside, where they are published. It
// does not change.
func (c *Dispatcher) Ejected() []routing.ServerID {
	if p := c.ejected.Load(); p != nil {
		return *p
	}
	return nil
}

// ReportLoad hands over a cache's load as another router measured it, age ms ago. It does not
// wait: a report that finds no room is worth nothing later.
func (c *Dispatcher) ReportLoad(id routing.ServerID, l routing.LoadReport, age float64) {
	c.offer(routing.PeerLoadReport{Server: id, Load: l, Age: clock.Duration(age)})
}

// ExtendEjection prolongs the rest of a server that is set aside, for so many ms from now. Like a
// report it does not wait.
func (c *Dispatcher) ExtendEjection(id routing.ServerID, ms float64) {
	c.offer(routing.ExtendEjection{Server: id, Until: clock.Duration(c.clock.Now() + ms)})
}

// RequireProbe has a server that others set aside tried before it gets more.
func (c *Dispatcher) RequireProbe(id routing.ServerID) { c.offer(routing.RequireProbe{Server: id}) }

// offer hands another router's word to the module, if there is room.
func (c *Dispatcher) offer(ev routing.Event) {
	select {
	case c.mailbox <- ev:
	default:
	}
}

// EjectedCount returns how many servers the module has set aside.
func (c *Dispatcher) EjectedCount() int64 { return c.ejectedCount.Load() }
