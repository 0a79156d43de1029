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

// ErrMissingEvents reports that events are missing before the one that came.
var ErrMissingEvents = errors.New("change log: events missing")

// handleFrame takes one frame. What follows on a missed one is not taken, since the log tells what
// came after the number that it is asked from.
//
// Symptom guarded against: a log that had lost events on the way went on with empty frames,
// and the router sent on to caches that drained until something new came.
func (l *Watcher) handleFrame(f frameResult) error {
	if next := l.lastSeq + min(uint64(f.kind), 1); f.event.Seq > next && l.refetchedSeq != next {
		l.refetchedSeq = next // asked for once: a log whose numbers are not in order is followed as it is
		l.counters.Add("changelog_gaps", 1)
		return ErrMissingEvents
	}
	l.recordFrame()
	if f.kind != 0 && f.event.Seq > l.lastSeq {
		l.applyEvent(f.event)
		l.lastSeq = f.event.Seq
		l.broadcastEvent(f.event)
	} else {
		g := *l.guard.Load()
		g.LastEventAt = clock.Duration(l.clock.Now())
		l.guard.Store(&g)
	}
	l.markSynced()
	return nil
}

// effectiveState is a listed server as the rest of the program sees it: one that is taken
// out drains.
func (l *Watcher) effectiveState(h platformconfig.Endpoint) platformconfig.Endpoint {
	if _, out := l.disabled[h.ID]; out && h.Phase == routing.Ready {
		h.Phase = routing.Draining
	}
	if started, out := l.gossip.activeDrains[h.ID]; out && h.Phase == routing.Ready && h.StartedAt <= started {
		h.Phase = routing.Draining
	}
	return h
}

// applyConfig goes over to another configuration. What it knows beyond what was told
// is told now.
func (l *Watcher) applyConfig(conf *platformconfig.Config) {
	l.config = conf
	g := *l.guard.Load()
	g.PurgeRetention, g.PurgeGrace = conf.Settings.PurgeRetention, conf.Settings.PurgeGrace
	l.guard.Store(&g)
	for _, ev := range conf.KnownEvents {
		if ev.Seq > l.lastSeq {
			l.applyEvent(ev)
			l.lastSeq = ev.Seq
		}
	}
}

// applyEvent books an event in the list and publishes it.
func (l *Watcher) applyEvent(ev platformconfig.WatchEvent) {
	if ev.ListUpdate && ev.Snapshot {
		clear(l.servers)
	}
	seen := make([]platformconfig.Endpoint, 0, len(ev.Endpoints))
	for _, h := range ev.Endpoints {
		if l.servers[h.ID] = h; h.Phase == routing.Removed {
			delete(l.servers, h.ID)
		}
		seen = append(seen, l.effectiveState(h))
	}
	ev.Endpoints = seen
	l.publish(ev)
}

// publish publishes an event and then tells it: what is decided from then on and
// what was decided before both see it.
func (l *Watcher) publish(ev platformconfig.WatchEvent) {
	g := nextGuard(l.guard.Load(), ev, clock.Duration(l.clock.Now()), clock.WallClockStep(l.clock))
	l.guard.Store(g)
	l.listedCount.Store(int64(len(l.servers)))
	l.unavailableCount.Store(int64(len(l.servers) - len(g.Ready)))
	l.publishReadyServers(g)
	l.notify(ev)
}

// nextGuard is the guard after one more event, whose times are the wall clock's, set by step
// since the start.
func nextGuard(g *routing.Guard, ev platformconfig.WatchEvent, now time.Duration, step float64) *routing.Guard {
	n := *g
	n.LastEventAt = now
	if ev.ListUpdate {
		n.Ready = map[routing.ServerID]bool{}
		if !ev.Snapshot { // a whole list names all that there are
			maps.Copy(n.Ready, g.Ready)
		}
		for _, h := range ev.Endpoints {
			n.Ready[h.ID] = h.Phase == routing.Ready
		}
		maps.DeleteFunc(n.Ready, func(_ routing.ServerID, ready bool) bool { return !ready })
	}
	n.PurgesSeen = n.PurgesSeen || ev.Purge != nil
	n.Purges = slices.DeleteFunc(slices.Clone(g.Purges), func(p routing.PurgeRecord) bool { return p.At+g.PurgeRetention < now })
	if ev.Purge != nil {
		n.Purges = append(n.Purges, routing.PurgeRecord{Object: ev.Purge.Object, Group: ev.Purge.Group, At: clock.Duration(ev.Purge.At - step)})
	}
	return &n
}
