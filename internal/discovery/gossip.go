package discovery

import (
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// Durations in milliseconds.
const (
	// gossipSlack decides whether this router's own watch missed a drain that a peer reported. If
	// the latest frame arrived more than gossipSlack after the report, the watcher assumes that the
	// watch has received the drain. Otherwise, it assumes that the watch missed the drain. A frame
	// that arrives soon after the report does not show that the watch has received the drain,
	// because the frame of the drain itself may arrive later than the report.
	gossipSlack = 2000.0
	// catchUpPeriod is the time that a stale watch gets to receive the events that it missed. It
	// starts when frames arrive again. At its end, the watcher drops the drains that peers
	// reported, and only this router's own endpoint list decides which servers are draining.
	catchUpPeriod = 500.0
	// maxFuturePurge is the limit for purges that peers report with a time in the future. The
	// watcher ignores a purge whose time is at least maxFuturePurge ahead.
	maxFuturePurge = 60_000.0
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

// gossipedDrain is a peer's report that a server is draining.
type gossipedDrain struct {
	started    time.Duration // start time of the draining server
	receivedAt float64       // clock time in ms at which the report arrived
}

// gossipState is the part of the watcher's state that the gossip with the fleet needs. Its Gossip is
// nil if the router belongs to no fleet; reports then come from a predecessor alone (see handover).
type gossipState struct {
	Gossip
	changesReady <-chan struct{}
	drains       map[routing.ServerID]gossipedDrain
	activeDrains map[routing.ServerID]time.Duration // servers that are excluded because a peer reported a drain; value: start time of the draining server
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
		drains:       map[routing.ServerID]gossipedDrain{},
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
			w.recordGossipedDrain(now, change)
		case gossip.Purge:
			w.applyGossipedPurge(now, change)
		}
	}
	w.updateGossipedDrains()
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

// recordGossipedDrain records a drain that a peer reported. It ignores the drain if the recorded
// drain of the same server belongs to a later start of the server.
func (w *Watcher) recordGossipedDrain(now float64, change gossip.Change) {
	started := clock.Duration(change.StartedAt)
	if known, ok := w.gossip.drains[change.Server]; ok && started < known.started {
		return
	}
	w.gossip.drains[change.Server] = gossipedDrain{started: started, receivedAt: now}
}

// applyGossipedPurge publishes a purge that a peer reported. It ignores purges that are older than
// the purge retention, or at least maxFuturePurge in the future.
func (w *Watcher) applyGossipedPurge(now float64, change gossip.Change) {
	retention := clock.Millis(w.config.Settings.PurgeRetention)
	inEffect := change.PurgedAt > now-retention && change.PurgedAt < now+maxFuturePurge
	if !inEffect {
		return
	}
	w.counters.Add("fleet_purges_taken", 1)
	purge := &platformconfig.Purge{Object: change.Object, Group: change.Group, At: change.PurgedAt}
	w.publish(platformconfig.WatchEvent{Seq: w.lastSeq, Purge: purge})
}

// followReports applies what the predecessor of this process and the peers have heard, as far as this
// router's own watch is stale.
func (w *Watcher) followReports() {
	w.followHandover()
	w.updateGossipedDrains()
}

// updateGossipedDrains applies the drains that peers reported if this router's own watch is stale.
// It drops those drains once the watch has been steady for catchUpPeriod; see
// gossipState.steadySince.
func (w *Watcher) updateGossipedDrains() {
	now := w.clock.Now()
	switch {
	case w.Stale(now):
		w.followGossipedDrains()
	case now-w.gossip.steadySince >= catchUpPeriod:
		w.dropGossipedDrains()
	}
}

// followGossipedDrains excludes each server whose drain a peer reported and this router's own watch
// missed (see gossipSlack).
func (w *Watcher) followGossipedDrains() {
	state := &w.gossip
	for id, drain := range state.drains {
		endpoint, listed := w.servers[id]
		_, active := state.activeDrains[id]
		if active || !listed || endpoint.StartedAt > drain.started || drain.receivedAt < w.lastFrameAt()-gossipSlack {
			continue
		}
		state.activeDrains[id] = drain.started
		w.counters.Add("fleet_drains_taken", 1)
		w.publishEndpoint(endpoint)
	}
}

// dropGossipedDrains ends the exclusion of all servers that followGossipedDrains has excluded. It
// also forgets each report that arrived more than gossipSlack before the latest frame, because the
// watch is then assumed to have received the drain itself (see gossipSlack).
func (w *Watcher) dropGossipedDrains() {
	state := &w.gossip
	for id, drain := range state.drains {
		if drain.receivedAt < w.lastFrameAt()-gossipSlack {
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
