package discovery

import (
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// Times in milliseconds.
const (
	// staleAfter is the time without a frame after which the watch counts as stale.
	staleAfter = 1500.0
	// gossipSlack is how much older than the latest frame a drain of a peer may be and still
	// count as one that this router's own watch missed: frames and gossip may cross.
	gossipSlack = 2000.0
	// catchUpPeriod is the time that a watch which is back has for what it missed. Then the
	// drains that peers reported meanwhile are dropped, and its own list holds alone.
	catchUpPeriod = 500.0
	// maxPurgeLead is how far in the future a purge may be dated; later ones are ignored.
	maxPurgeLead = 60_000.0
)

// Gossip is what the watcher needs of the other routers of the fleet. Only this router's own
// watch makes a server usable; what peers report can only exclude one.
type Gossip interface {
	// SetDisabled reports to the fleet that an operator disabled or enabled a server here.
	SetDisabled(server routing.ServerID, disabled bool)
	// Broadcast reports to the fleet what this router's own watch received.
	Broadcast(item gossip.Item)
	// ChangesReady receives when TakeChanges has something to return.
	ChangesReady() <-chan struct{}
	// TakeChanges returns what peers reported since the last call.
	TakeChanges() []gossip.Change
}

// gossipedDrain is the drain of a server that a peer reported.
type gossipedDrain struct {
	started    time.Duration // start of the server that drains
	receivedAt float64       // ms
}

// gossipState is what the watcher knows from its peers. It is zero without a fleet.
type gossipState struct {
	Gossip
	changesReady <-chan struct{}
	drains       map[routing.ServerID]gossipedDrain
	activeDrains map[routing.ServerID]time.Duration // those of drains that are followed; the start
	lastFrameAt  float64                            // ms; of this router's own watch
	steadySince  float64                            // ms; no gap between frames from then on
}

// SetGossip has the watcher report to its peers what it receives, and follow what they report while
// its own watch is stale. It must be called before Run.
func (w *Watcher) SetGossip(peers Gossip) {
	now := w.clock.Now()
	w.gossip = gossipState{
		Gossip:       peers,
		changesReady: peers.ChangesReady(),
		drains:       map[routing.ServerID]gossipedDrain{},
		activeDrains: map[routing.ServerID]time.Duration{},
		lastFrameAt:  now,
		steadySince:  now,
	}
}

// broadcastEvent reports drains and purges to the peers. A snapshot is not reported: every router
// receives one at its start.
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

// recordFrame notes the time of a frame of this router's own watch.
func (w *Watcher) recordFrame() {
	if w.gossip.Gossip == nil {
		return
	}
	now := w.clock.Now()
	if now-w.gossip.lastFrameAt > staleAfter {
		w.gossip.steadySince = now
	}
	w.gossip.lastFrameAt = now
}

// applyGossip applies what the peers reported since the last call.
func (w *Watcher) applyGossip() {
	now := w.clock.Now()
	for _, change := range w.gossip.TakeChanges() {
		switch change.Kind {
		case gossip.Ban:
			w.applyGossipedBan(change)
		case gossip.Drain:
			w.recordGossipedDrain(now, change)
		case gossip.Purge:
			w.applyGossipedPurge(now, change)
		}
	}
	w.updateGossipedDrains()
}

// applyGossipedBan disables or enables a server as a peer's operator did.
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

// recordGossipedDrain keeps the drain of the latest start of a server.
func (w *Watcher) recordGossipedDrain(now float64, change gossip.Change) {
	started := clock.Duration(change.StartedAt)
	if known, ok := w.gossip.drains[change.Server]; ok && started < known.started {
		return
	}
	w.gossip.drains[change.Server] = gossipedDrain{started: started, receivedAt: now}
}

// applyGossipedPurge publishes a purge that still binds.
func (w *Watcher) applyGossipedPurge(now float64, change gossip.Change) {
	retention := clock.Millis(w.config.Settings.PurgeRetention)
	binds := change.PurgedAt > now-retention && change.PurgedAt < now+maxPurgeLead
	if !binds {
		return
	}
	w.counters.Add("fleet_purges_taken", 1)
	purge := &platformconfig.Purge{Object: change.Object, Group: change.Group, At: change.PurgedAt}
	w.publish(platformconfig.WatchEvent{Seq: w.lastSeq, Purge: purge})
}

// updateGossipedDrains follows the peers' drains while this router's own watch is stale, and
// drops them once the watch is back and has caught up.
func (w *Watcher) updateGossipedDrains() {
	if w.gossip.Gossip == nil {
		return
	}
	now := w.clock.Now()
	switch {
	case now-w.gossip.lastFrameAt > staleAfter:
		w.followGossipedDrains()
	case now-w.gossip.steadySince >= catchUpPeriod:
		w.dropGossipedDrains()
	}
}

// followGossipedDrains excludes the servers whose drains this router's own watch missed.
func (w *Watcher) followGossipedDrains() {
	state := &w.gossip
	for id, drain := range state.drains {
		endpoint, listed := w.servers[id]
		_, active := state.activeDrains[id]
		if active || !listed || endpoint.StartedAt > drain.started || drain.receivedAt < state.lastFrameAt-gossipSlack {
			continue
		}
		state.activeDrains[id] = drain.started
		w.counters.Add("fleet_drains_taken", 1)
		w.publishEndpoint(endpoint)
	}
}

// dropGossipedDrains ends all followed drains and forgets those that are older than the
// latest frame.
func (w *Watcher) dropGossipedDrains() {
	state := &w.gossip
	for id, drain := range state.drains {
		if drain.receivedAt < state.lastFrameAt-gossipSlack {
			delete(state.drains, id)
		}
	}
	for id := range state.activeDrains {
		delete(state.activeDrains, id)
		if endpoint, listed := w.servers[id]; listed {
			w.publishEndpoint(endpoint)
		}
	}
}

// ReadyServers returns the ready servers of a zone and kind. Without a fleet it returns nil.
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

// publishReadyServers publishes what ReadyServers returns.
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

// Stale reports whether no frame was received for staleAfter, at a time in Unix milliseconds.
func (w *Watcher) Stale(now float64) bool {
	return clock.Duration(now) > w.guard.Load().LastEventAt+clock.Duration(staleAfter)
}
