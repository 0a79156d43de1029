package dispatch

import (
	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// EndpointListener is told of each change of the list before the module is.
type EndpointListener interface {
	UpdateEndpoints(ev platformconfig.WatchEvent)
}

// applyWatchEvent passes an event of the change log on.
func (c *Dispatcher) applyWatchEvent(ev platformconfig.WatchEvent) {
	switch {
	case ev.ListUpdate:
		for _, l := range c.listeners {
			l.UpdateEndpoints(ev)
		}
		c.metrics.Add("lists_told", 1)
		c.handleEvent(c.membershipChange(ev))
	case ev.Purge != nil:
		c.metrics.Add("purges_told", 1)
		c.handleEvent(routing.Purge{Object: ev.Purge.Object, Group: ev.Purge.Group,
			Age: clock.Duration(max(0, c.clock.Now()+clock.WallClockStep(c.clock)-ev.Purge.At))})
	}
}

// membershipChange is a change of the list as the module takes it, with times of the core's clock.
func (c *Dispatcher) membershipChange(ev platformconfig.WatchEvent) routing.EndpointUpdate {
	m, step := routing.EndpointUpdate{Snapshot: ev.Snapshot}, clock.Duration(clock.WallClockStep(c.clock))
	for _, h := range ev.Endpoints {
		if h.StartedAt != 0 { // which is long ago
			h.StartedAt = max(h.StartedAt-step, 1)
		}
		m.Servers = append(m.Servers, h.Server)
	}
	return m
}
