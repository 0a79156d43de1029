package discovery

import (
	"errors"
	"maps"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// ErrMissingEvents is returned when events before the received frame are missing.
var ErrMissingEvents = errors.New("discovery: events before the received change log frame are missing")

// handleFrame applies one frame. If events before the frame are missing, handleFrame does not apply
// the frame and returns ErrMissingEvents. The watcher then connects again and requests the events
// after the last applied event. handleFrame returns ErrMissingEvents only once for each missing
// event number. If the change log still does not send that event, the watcher skips the gap. The
// skipped events may have been purges; see routing.Guard.LastSkipAt.
//
// Heartbeats reveal missing events too. Without the check of heartbeats, a change log could lose a
// drain and then send only heartbeats. The router would then send requests to the draining cache
// until the next event. For the same reason, a heartbeat that names events which the change log does
// not send does not make the watch count as current.
func (w *Watcher) handleFrame(received frame) error {
	w.counters.Add("changelog_frames", 1)
	expected := w.lastSeq
	if received.kind != kindHeartbeat {
		expected++
	}
	if received.event.Seq > expected && w.refetchedSeq != expected {
		w.refetchedSeq = expected
		w.counters.Add("changelog_gaps", 1)
		return ErrMissingEvents
	}
	if received.kind != kindHeartbeat && received.event.Seq > w.lastSeq {
		if received.event.Seq > expected {
			w.recordSkip()
		}
		w.applyEvent(received.event)
		w.lastSeq = received.event.Seq
		w.broadcastEvent(received.event)
		w.writeHandover()
	}
	if received.event.Seq <= w.lastSeq {
		w.recordFrame()
	}
	w.markSynced()
	return nil
}

// recordSkip records that events were skipped now.
func (w *Watcher) recordSkip() {
	w.counters.Add("changelog_skips", 1)
	guard := *w.guard.Load()
	guard.LastSkipAt = clock.Duration(w.clock.Now())
	w.guard.Store(&guard)
}

// applyConfig switches to another configuration. It applies the known events of that configuration
// whose numbers are above lastSeq.
func (w *Watcher) applyConfig(config *platformconfig.Config) {
	w.config = config
	w.knownReady = knownReady(config)
	w.guard.Store(withSettings(*w.guard.Load(), config))
	for _, event := range config.KnownEvents {
		if event.Seq > w.lastSeq {
			w.applyEvent(event)
			w.lastSeq = event.Seq
		}
	}
}

// withSettings returns a copy of a guard that has the settings of a configuration. A deployment has
// purges if its settings say how long copies from before a purge remain. A router must not conclude
// that there are none because it has received none: its watch may have been cut off since its start.
func withSettings(guard routing.Guard, config *platformconfig.Config) *routing.Guard {
	guard.PurgeRetention = config.Settings.PurgeRetention
	guard.PurgeGrace = config.Settings.PurgeGrace
	guard.PurgesOccur = config.Settings.PurgeRetention > 0
	return &guard
}

// applyEvent applies an event to the endpoint list and publishes it.
func (w *Watcher) applyEvent(event platformconfig.WatchEvent) {
	updateServers(w.servers, event)
	effective := make([]platformconfig.Endpoint, 0, len(event.Endpoints))
	for _, endpoint := range event.Endpoints {
		effective = append(effective, w.effectiveState(endpoint))
	}
	w.dropOutdatedStarts()
	event.Endpoints = effective
	w.publish(event)
}

// updateServers applies an event to a list of servers.
func updateServers(servers map[routing.ServerID]platformconfig.Endpoint, event platformconfig.WatchEvent) {
	if event.ListUpdate && event.Snapshot {
		clear(servers)
	}
	for _, endpoint := range event.Endpoints {
		if endpoint.Phase == routing.Removed {
			delete(servers, endpoint.ID)
		} else {
			servers[endpoint.ID] = endpoint
		}
	}
}

// effectiveState returns an endpoint in the state that the rest of the program sees. A ready server
// becomes draining in two cases: an operator has disabled it, or the watcher applies a peer's
// report that the server is draining (see followReportedDrains). Its start time may be an assumed one (see
// assumedStart).
func (w *Watcher) effectiveState(endpoint platformconfig.Endpoint) platformconfig.Endpoint {
	listedStart := endpoint.StartedAt
	endpoint.StartedAt = w.effectiveStart(endpoint.ID, listedStart)
	if endpoint.Phase != routing.Ready {
		return endpoint
	}
	_, isDisabled := w.disabled[endpoint.ID]
	drainedStart, isDraining := w.gossip.activeDrains[endpoint.ID]
	if isDisabled || isDraining && listedStart <= drainedStart {
		endpoint.Phase = routing.Draining
	}
	return endpoint
}

// publishEndpoint publishes the given endpoint in its effective state; see effectiveState.
func (w *Watcher) publishEndpoint(endpoint platformconfig.Endpoint) {
	w.publish(platformconfig.WatchEvent{
		Seq:        w.lastSeq,
		ListUpdate: true,
		Endpoints:  []platformconfig.Endpoint{w.effectiveState(endpoint)},
	})
}

// publish stores the guard that results from an event, and then calls notify. Because of this
// order, every attempt is checked against the new guard after the notification, even an attempt
// that was chosen before the event.
func (w *Watcher) publish(event platformconfig.WatchEvent) {
	guard := nextGuard(w.guard.Load(), event, clock.Duration(w.clock.Now()), clock.WallClockStep(w.clock))
	w.guard.Store(guard)
	w.listedCount.Store(int64(len(w.servers)))
	w.unavailableCount.Store(int64(len(w.servers) - len(guard.Ready)))
	w.publishReadyServers(guard)
	w.notify(event)
}

// nextGuard returns the guard that results from an event. The parameter at is the time on the
// router's clock. The times in an event are wall clock times. wallClockStep is the number of
// milliseconds by which the wall clock has been moved since the router started.
func nextGuard(previous *routing.Guard, event platformconfig.WatchEvent, at time.Duration, wallClockStep float64) *routing.Guard {
	guard := *previous
	if event.ListUpdate {
		guard.Ready = nextReady(previous.Ready, event)
	}
	guard.Purges = slices.DeleteFunc(slices.Clone(previous.Purges), func(purge routing.PurgeRecord) bool {
		return purge.At+previous.PurgeRetention < at
	})
	if event.Purge != nil {
		guard.Purges = append(guard.Purges, routing.PurgeRecord{
			Object: event.Purge.Object,
			Group:  event.Purge.Group,
			At:     clock.Duration(event.Purge.At - wallClockStep),
		})
	}
	return &guard
}

// nextReady returns the set of ready servers that results from an update of the endpoint list.
func nextReady(previous map[routing.ServerID]bool, event platformconfig.WatchEvent) map[routing.ServerID]bool {
	ready := map[routing.ServerID]bool{}
	if !event.Snapshot {
		maps.Copy(ready, previous)
	}
	for _, endpoint := range event.Endpoints {
		if endpoint.Phase == routing.Ready {
			ready[endpoint.ID] = true
		} else {
			delete(ready, endpoint.ID)
		}
	}
	return ready
}
