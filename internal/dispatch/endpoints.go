package dispatch

import (
	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// EndpointListener is notified of each change of the endpoint list. UpdateEndpoints is called on
// the dispatcher's goroutine, before the decision module is notified of the change. UpdateEndpoints
// must not block.
type EndpointListener interface {
	UpdateEndpoints(event platformconfig.WatchEvent)
}

// applyWatchEvent passes a watch event on to the listeners and the decision module.
func (d *Dispatcher) applyWatchEvent(event platformconfig.WatchEvent) {
	switch {
	case event.ListUpdate:
		for _, listener := range d.listeners {
			listener.UpdateEndpoints(event)
		}
		d.metrics.Add("lists_told", 1)
		d.notifyRouter(d.endpointUpdate(event))
	case event.Purge != nil:
		d.metrics.Add("purges_told", 1)
		wallClock := d.clock.Now() + clock.WallClockStep(d.clock)
		d.notifyRouter(routing.Purge{
			Object: event.Purge.Object,
			Group:  event.Purge.Group,
			Age:    clock.Duration(max(0, wallClock-event.Purge.At)),
		})
	}
}

// endpointUpdate converts a change of the endpoint list to the routing.EndpointUpdate that the
// decision module expects. The list gives the start times of servers in wall clock time;
// endpointUpdate converts the start times to the dispatcher's clock.
func (d *Dispatcher) endpointUpdate(event platformconfig.WatchEvent) routing.EndpointUpdate {
	update := routing.EndpointUpdate{Snapshot: event.Snapshot}
	step := clock.Duration(clock.WallClockStep(d.clock))
	for _, endpoint := range event.Endpoints {
		if endpoint.StartedAt != 0 { // 0: the start time is unknown
			endpoint.StartedAt = max(endpoint.StartedAt-step, 1)
		}
		update.Servers = append(update.Servers, endpoint.Server)
	}
	return update
}
