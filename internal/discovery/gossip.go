package discovery

import (
	"context"
	"maps"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const (
	staleAfter = 1500.0 // ms without a frame after which the log counts as cut off
	// gossipSlack is how much older than the latest frame a neighbour's word may be and still
	// count as one that this router's log did not tell: frames and words cross.
	gossipSlack = 2000.0
	// catchUpPeriod is how long a log that is back has for what was missed, before what the
	// neighbours told meanwhile is dropped: from then on its own word rules.
	catchUpPeriod = 500.0
	maxPurgeLead  = 60_000.0 // ms; a purge of a later moment is none
)

// Gossip are the other routers, as far as the list is concerned. Only this log says
// that a box is usable; word of others takes out.
type Gossip interface {
	SetDisabled(box routing.ServerID, out bool) // staff called this router
	Broadcast(w gossip.Item)                    // this router's log told it
	ChangesReady() <-chan struct{}              // there are changes
	TakeChanges() []gossip.Change               // what others told since the last call
}

// gossipedDrain is a drain that a neighbour told.
type gossipedDrain struct {
	started    time.Duration // start of the box that it is of
	receivedAt float64       // when it was heard
}

// gossipState is what the log knows from the others. It is all empty without a fleet.
type gossipState struct {
	Gossip
	changesReady <-chan struct{}
	drains       map[routing.ServerID]gossipedDrain
	activeDrains map[routing.ServerID]time.Duration // of those, what is followed
	lastFrameAt  float64                            // the latest frame of the own log
	steadySince  float64                            // from when on there was no gap between frames
}

// SetGossip has the log tell the neighbours, and follow what they tell while it is cut off
// itself. It is called before Run.
func (l *Watcher) SetGossip(n Gossip) {
	now := l.clock.Now()
	l.gossip = gossipState{Gossip: n, changesReady: n.ChangesReady(), drains: map[routing.ServerID]gossipedDrain{},
		activeDrains: map[routing.ServerID]time.Duration{}, lastFrameAt: now, steadySince: now}
}

// broadcastEvent tells the neighbours what the own log told: what takes out, and nothing else.
func (l *Watcher) broadcastEvent(ev platformconfig.WatchEvent) {
	if l.gossip.Gossip == nil {
		return
	}
	if !ev.Snapshot { // a whole list is what all are told at their start
		for _, h := range ev.Endpoints {
			if h.Phase != routing.Ready {
				l.gossip.Broadcast(gossip.Item{Kind: gossip.Drain, Server: h.ID, StartedAt: clock.Millis(h.StartedAt)})
			}
		}
	}
	if p := ev.Purge; p != nil {
		l.gossip.Broadcast(gossip.Item{Kind: gossip.Purge, Object: p.Object, Group: p.Group, PurgedAt: p.At})
	}
}

// broadcastDisabled tells the neighbours of a call of staff.
func (l *Watcher) broadcastDisabled(id routing.ServerID, out bool) {
	if l.gossip.Gossip != nil {
		l.gossip.SetDisabled(id, out)
	}
}

// recordFrame notes that the own log spoke.
func (l *Watcher) recordFrame() {
	if l.gossip.Gossip == nil {
		return
	}
	now := l.clock.Now()
	if now-l.gossip.lastFrameAt > staleAfter {
		l.gossip.steadySince = now
	}
	l.gossip.lastFrameAt = now
}

// applyGossip takes what the others told since the last time.
func (l *Watcher) applyGossip() {
	now := l.clock.Now()
	for _, c := range l.gossip.TakeChanges() {
		switch c.Kind {
		case gossip.Ban:
			if _, out := l.disabled[c.Server]; out != c.Disabled {
				if err := l.disabledStore.Set(c.Server, c.Disabled); err != nil {
					l.counters.Add("marks_unwritten", 1)
				}
				l.counters.Add("fleet_bans_taken", 1)
				l.applyDisabled(c.Server, c.Disabled)
			}
		case gossip.Drain:
			if t, known := l.gossip.drains[c.Server]; !known || clock.Duration(c.StartedAt) >= t.started {
				l.gossip.drains[c.Server] = gossipedDrain{clock.Duration(c.StartedAt), now}
			}
		case gossip.Purge:
			if done := clock.Millis(l.config.Settings.PurgeRetention); c.PurgedAt > now-done && c.PurgedAt < now+maxPurgeLead {
				l.counters.Add("fleet_purges_taken", 1)
				l.publish(platformconfig.WatchEvent{Seq: l.lastSeq, Purge: &platformconfig.Purge{Object: c.Object, Group: c.Group, At: c.PurgedAt}})
			}
		}
	}
	l.updateGossipedDrains()
}

// updateGossipedDrains follows the neighbours' drains while the own log is cut off, and drops them once
// it is back.
func (l *Watcher) updateGossipedDrains() {
	f := &l.gossip
	if f.Gossip == nil {
		return
	}
	now := l.clock.Now()
	if now-f.lastFrameAt <= staleAfter {
		if now-f.steadySince < catchUpPeriod {
			return
		}
		for id, t := range f.drains {
			if t.receivedAt < f.lastFrameAt-gossipSlack {
				delete(f.drains, id)
			}
		}
		for id := range f.activeDrains {
			delete(f.activeDrains, id)
			l.republish(id)
		}
		return
	}
	for id, t := range f.drains {
		h, listed := l.servers[id]
		if _, done := f.activeDrains[id]; done || !listed || h.StartedAt > t.started || t.receivedAt < f.lastFrameAt-gossipSlack {
			continue
		}
		f.activeDrains[id] = t.started
		l.counters.Add("fleet_drains_taken", 1)
		l.republish(id)
	}
}

// republish tells a listed box as it is seen now.
func (l *Watcher) republish(id routing.ServerID) {
	if h, listed := l.servers[id]; listed {
		l.publish(platformconfig.WatchEvent{Seq: l.lastSeq, ListUpdate: true, Endpoints: []platformconfig.Endpoint{l.effectiveState(h)}})
	}
}

// ReadyServers returns the listed servers of a kind and zone that are ready, as of the latest
// event. It may be called from any goroutine; without neighbours there are none.
func (l *Watcher) ReadyServers(zone, kind int) (boxes []platformconfig.Endpoint) {
	if all := l.readyServers.Load(); all != nil {
		for _, h := range *all {
			if h.Zone == zone && h.Kind == kind {
				boxes = append(boxes, h)
			}
		}
	}
	return boxes
}

// publishReadyServers publishes the ready servers, for Boxes.
func (l *Watcher) publishReadyServers(g *routing.Guard) {
	if l.gossip.Gossip == nil {
		return
	}
	var all []platformconfig.Endpoint
	for id, h := range l.servers {
		if g.Ready[id] {
			all = append(all, h)
		}
	}
	l.readyServers.Store(&all)
}

// SetDisabledByRegistry takes a cache out, or back, as the register has it. That it is out is not told to
// the neighbours, who read the register too.
func (l *Watcher) SetDisabledByRegistry(ctx context.Context, id routing.ServerID, out bool) error {
	return l.submit(ctx, disableRequest{server: id, disabled: out, skipBroadcast: out, result: make(chan error, 1)})
}

// Disabled returns what staff took out, as of now. It may be called from any goroutine;
// without neighbours there is nothing.
func (l *Watcher) Disabled() []routing.ServerID {
	if p := l.disabledServers.Load(); p != nil {
		return *p
	}
	return nil
}

// publishDisabled publishes what is out, for Out.
func (l *Watcher) publishDisabled() {
	if l.gossip.Gossip != nil {
		out := slices.Sorted(maps.Keys(l.disabled))
		l.disabledServers.Store(&out)
	}
}

// Stale tells whether the log is cut off, by the latest guard. It may be called from any
// goroutine.
func (l *Watcher) Stale(now float64) bool {
	return clock.Duration(now) > l.guard.Load().LastEventAt+clock.Duration(staleAfter)
}
