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

// ErrMissingEvents reports that events before the received frame are missing.
var ErrMissingEvents = errors.New("discovery: events missing")

// handleFrame applies one frame. A frame that follows on missing events is not applied: the
// change log is asked again from the last applied event, once for each missing number, so
// that a log whose numbers have gaps is followed as it is.
//
// Symptom guarded against: a change log that had lost events on the way went on with
// heartbeats, and the router sent to draining caches until something new came.
func (w *Watcher) handleFrame(received frame) error {
	expected := w.lastSeq
	if received.kind != kindHeartbeat {
		expected++
	}
	if received.event.Seq > expected && w.refetchedSeq != expected {
		w.refetchedSeq = expected
		w.counters.Add("changelog_gaps", 1)
		return ErrMissingEvents
	}
	w.recordFrame()
	if received.kind != kindHeartbeat && received.event.Seq > w.lastSeq {
		w.applyEvent(received.event)
		w.lastSeq = received.event.Seq
		w.broadcastEvent(received.event)
	} else {
		guard := *w.guard.Load()
		guard.LastEventAt = clock.Duration(w.clock.Now())
		w.guard.Store(&guard)
	}
	w.markSynced()
	return nil
}

// applyConfig switches to another configuration and applies the events that it holds beyond
// the last applied one.
func (w *Watcher) applyConfig(config *platformconfig.Config) {
	w.config = config
	guard := *w.guard.Load()
	guard.PurgeRetention = config.Settings.PurgeRetention
	guard.PurgeGrace = config.Settings.PurgeGrace
	w.guard.Store(&guard)
	for _, event := range config.KnownEvents {
		if event.Seq > w.lastSeq {
			w.applyEvent(event)
			w.lastSeq = event.Seq
		}
	}
}

// applyEvent records an event in the endpoint list and publishes it.
func (w *Watcher) applyEvent(event platformconfig.WatchEvent) {
	if event.ListUpdate && event.Snapshot {
		clear(w.servers)
	}
	effective := make([]platformconfig.Endpoint, 0, len(event.Endpoints))
	for _, endpoint := range event.Endpoints {
		if endpoint.Phase == routing.Removed {
			delete(w.servers, endpoint.ID)
		} else {
			w.servers[endpoint.ID] = endpoint
		}
		effective = append(effective, w.effectiveState(endpoint))
	}
	event.Endpoints = effective
	w.publish(event)
}

// effectiveState returns an endpoint as the rest of the program sees it: a ready server
// counts as draining while it is disabled, or while its drain is known from the fleet alone.
func (w *Watcher) effectiveState(endpoint platformconfig.Endpoint) platformconfig.Endpoint {
	if endpoint.Phase != routing.Ready {
		return endpoint
	}
	_, isDisabled := w.disabled[endpoint.ID]
	drainedStart, drains := w.gossip.activeDrains[endpoint.ID]
	if isDisabled || drains && endpoint.StartedAt <= drainedStart {
		endpoint.Phase = routing.Draining
	}
	return endpoint
}

// publishEndpoint publishes the effective state of one listed server.
func (w *Watcher) publishEndpoint(endpoint platformconfig.Endpoint) {
	w.publish(platformconfig.WatchEvent{
		Seq:        w.lastSeq,
		ListUpdate: true,
		Endpoints:  []platformconfig.Endpoint{w.effectiveState(endpoint)},
	})
}

// publish publishes the guard that an event leads to and then notifies of the event, in this
// order: attempts chosen before the event and after it are both checked against the new guard.
func (w *Watcher) publish(event platformconfig.WatchEvent) {
	guard := nextGuard(w.guard.Load(), event, clock.Duration(w.clock.Now()), clock.WallClockStep(w.clock))
	w.guard.Store(guard)
	w.listedCount.Store(int64(len(w.servers)))
	w.unavailableCount.Store(int64(len(w.servers) - len(guard.Ready)))
	w.publishReadyServers(guard)
	w.notify(event)
}

// nextGuard returns the guard after one more event. now is the router's clock; the times of
// an event are those of the wall clock, which was set by wallClockStep milliseconds since the
// router's start.
func nextGuard(previous *routing.Guard, event platformconfig.WatchEvent, now time.Duration, wallClockStep float64) *routing.Guard {
	guard := *previous
	guard.LastEventAt = now
	if event.ListUpdate {
		guard.Ready = nextReady(previous.Ready, event)
	}
	guard.Purges = slices.DeleteFunc(slices.Clone(previous.Purges), func(purge routing.PurgeRecord) bool {
		return purge.At+previous.PurgeRetention < now
	})
	if event.Purge != nil {
		guard.PurgesSeen = true
		guard.Purges = append(guard.Purges, routing.PurgeRecord{
			Object: event.Purge.Object,
			Group:  event.Purge.Group,
			At:     clock.Duration(event.Purge.At - wallClockStep),
		})
	}
	return &guard
}

// nextReady returns the ready servers after a list update.
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
