package discovery

import (
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// Gossip exchanges reports with the other routers of the fleet, the peers. The report of a drain
// can only exclude a server. The report that a server was enabled only ends the exclusion by an
// operator: the server is usable only if this router's own watch lists it as ready.
type Gossip interface {
	// SetDisabled reports to the fleet that an operator disabled or enabled a server on this
	// router.
	SetDisabled(server routing.ServerID, disabled bool)
	// Broadcast reports to the fleet an event that this router's own watch received.
	Broadcast(item gossip.Item)
	// ChangesReady returns a channel. The channel receives a value when TakeChanges has changes to
	// return.
	ChangesReady() <-chan struct{}
	// TakeChanges returns the changes that peers reported since the last call.
	TakeChanges() []gossip.Change
}

// gossipState is the part of the watcher's state that the gossip with the fleet needs. Its Gossip is
// nil if the router belongs to no fleet; reports then come from a predecessor alone (see handover).
type gossipState struct {
	Gossip
	changesReady <-chan struct{}
	drains       map[routing.ServerID]reportedDrain
	activeDrains map[routing.ServerID]time.Duration // servers that are excluded because a drain was reported; value: start time of the draining server
	steadySince  float64                            // ms; since this time, the watch has not been stale; 0: no frame yet
}

// SetGossip makes the watcher report to the peers the events of its own watch, and apply the bans
// and purges that peers report. While its own watch is stale, the watcher also applies the drains
// that peers report. SetGossip must be called before Run.
func (w *Watcher) SetGossip(peers Gossip) {
	w.gossip = newGossipState(peers)
	w.gossip.changesReady = peers.ChangesReady()
}

func newGossipState(peers Gossip) gossipState {
	return gossipState{
		Gossip:       peers,
		drains:       map[routing.ServerID]reportedDrain{},
		activeDrains: map[routing.ServerID]time.Duration{},
	}
}

// broadcastEvent reports the drains, removals and purges of an event to the peers. It does not
// report a snapshot, because every router receives a snapshot when it starts.
func (w *Watcher) broadcastEvent(event platformconfig.WatchEvent) {
	if w.gossip.Gossip == nil {
		return
	}
	if !event.Snapshot {
		for _, endpoint := range event.Endpoints {
			if endpoint.Phase != routing.Ready {
				started := clock.Millis(endpoint.StartedAt)
				w.gossip.Broadcast(gossip.Item{Kind: gossip.Drain, Server: endpoint.ID, StartedAt: started})
			}
		}
	}
	if purge := event.Purge; purge != nil {
		w.gossip.Broadcast(gossip.Item{Kind: gossip.Purge, Object: purge.Object, Group: purge.Group, PurgedAt: purge.At})
	}
}

// broadcastDisabled reports to the peers that an operator disabled or enabled a server.
func (w *Watcher) broadcastDisabled(id routing.ServerID, disabled bool) {
	if w.gossip.Gossip != nil {
		w.gossip.SetDisabled(id, disabled)
	}
}

// recordFrame records that this router's own watch received a frame now. Nothing else makes the watch
// count as current, neither a call of an operator nor what a peer or a configuration reports.
func (w *Watcher) recordFrame() {
	now := w.clock.Now()
	if w.Stale(now) {
		w.gossip.steadySince = now
	}
	w.stale.lastEnd = ""
	guard := *w.guard.Load()
	guard.LastFrameAt = clock.Duration(now)
	w.guard.Store(&guard)
}

// lastFrameAt returns the time of the latest frame of this router's own watch, in ms, or 0 if there
// is none yet.
func (w *Watcher) lastFrameAt() float64 { return clock.Millis(w.guard.Load().LastFrameAt) }

// applyGossip applies the changes that the peers reported since the last call.
func (w *Watcher) applyGossip() {
	now := w.clock.Now()
	for _, change := range w.gossip.TakeChanges() {
		switch change.Kind {
		case gossip.Ban:
			w.applyGossipedBan(change)
		case gossip.Drain:
			w.recordReportedDrain(now, peer, change)
		case gossip.Purge:
			w.applyReportedPurge(now, peer, change)
		}
	}
	w.updateReportedDrains()
}

// applyGossipedBan disables or enables a server, because an operator did so on a peer.
func (w *Watcher) applyGossipedBan(change gossip.Change) {
	if _, isDisabled := w.disabled[change.Server]; isDisabled == change.Disabled {
		return
	}
	if err := w.disabledStore.Set(change.Server, change.Disabled); err != nil {
		w.counters.Add("marks_unwritten", 1)
	}
	w.counters.Add("fleet_bans_taken", 1)
	w.applyDisabled(change.Server, change.Disabled)
}

// ReadyServers returns the ready servers of a zone and kind. It returns nil if the router belongs
// to no fleet.
func (w *Watcher) ReadyServers(zone, kind int) []platformconfig.Endpoint {
	all := w.readyServers.Load()
	if all == nil {
		return nil
	}
	var servers []platformconfig.Endpoint
	for _, endpoint := range *all {
		if endpoint.Zone == zone && endpoint.Kind == kind {
			servers = append(servers, endpoint)
		}
	}
	return servers
}

// publishReadyServers publishes the list that ReadyServers reads.
func (w *Watcher) publishReadyServers(guard *routing.Guard) {
	if w.gossip.Gossip == nil {
		return
	}
	var ready []platformconfig.Endpoint
	for id, endpoint := range w.servers {
		if guard.Ready[id] {
			ready = append(ready, endpoint)
		}
	}
	w.readyServers.Store(&ready)
}

// Stale reports whether the watch is stale at the time now, in Unix milliseconds: no frame was
// received yet, or the last one too long before; see routing.Guard.WatchStale.
func (w *Watcher) Stale(now float64) bool {
	return w.guard.Load().WatchStale(clock.Duration(now))
}
