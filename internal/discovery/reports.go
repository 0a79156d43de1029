package discovery

import (
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
)

// This file applies the drains and purges that others report: the peers of the fleet, and the predecessor
// of this process in an upgrade. Reports can only exclude servers and copies.

// Durations in milliseconds.
const (
	// gossipSlack decides whether this router's own watch missed a reported drain. If
	// the latest frame arrived more than gossipSlack after the report, the watcher assumes that the
	// watch has received the drain. Otherwise, it assumes that the watch missed the drain. A frame
	// that arrives soon after the report does not show that the watch has received the drain,
	// because the frame of the drain itself may arrive later than the report.
	gossipSlack = 2000.0
	// catchUpPeriod is the time that a stale watch gets to receive the events that it missed. It
	// starts when frames arrive again. At its end, the watcher drops the reported
	// drains, and only this router's own endpoint list decides which servers are draining.
	catchUpPeriod = 500.0
	// maxFuturePurge is the limit for purges that are reported with a time in the future. The
	// watcher ignores a purge whose time is at least maxFuturePurge ahead.
	maxFuturePurge = 60_000.0
)

// reporter tells who made a report.
type reporter int

const (
	peer reporter = iota
	predecessor
)

// drainCounter returns the name of the counter of reported drains that took effect.
func drainCounter(from reporter) string {
	if from == predecessor {
		return "handover_drains_taken"
	}
	return "fleet_drains_taken"
}

// purgeCounter returns the name of the counter of reported purges that took effect.
func purgeCounter(from reporter) string {
	if from == predecessor {
		return "handover_purges_taken"
	}
	return "fleet_purges_taken"
}

// reportedDrain is the report that a server is draining.
type reportedDrain struct {
	reporter   reporter
	started    time.Duration // start time of the draining server
	receivedAt float64       // clock time in ms at which the report arrived
}

// recordReportedDrain records a reported drain. It ignores the drain if the recorded
// drain of the same server belongs to a later start of the server.
func (w *Watcher) recordReportedDrain(now float64, from reporter, change gossip.Change) {
	started := clock.Duration(change.StartedAt)
	if known, ok := w.gossip.drains[change.Server]; ok && started < known.started {
		return
	}
	w.gossip.drains[change.Server] = reportedDrain{reporter: from, started: started, receivedAt: now}
}

// applyReportedPurge publishes a reported purge. It ignores purges that are older than
// the purge retention, or at least maxFuturePurge in the future.
func (w *Watcher) applyReportedPurge(now float64, from reporter, change gossip.Change) {
	retention := clock.Millis(w.config.Settings.PurgeRetention)
	inEffect := change.PurgedAt > now-retention && change.PurgedAt < now+maxFuturePurge
	if !inEffect {
		return
	}
	w.counters.Add(purgeCounter(from), 1)
	purge := &platformconfig.Purge{Object: change.Object, Group: change.Group, At: change.PurgedAt}
	w.publish(platformconfig.WatchEvent{Seq: w.lastSeq, Purge: purge})
}

// followReports applies what the predecessor of this process and the peers have heard, as far as this
// router's own watch is stale.
func (w *Watcher) followReports() {
	w.followHandover()
	w.updateReportedDrains()
}

// updateReportedDrains applies the reported drains if this router's own watch is stale.
// It drops those drains once the watch has been steady for catchUpPeriod; see
// gossipState.steadySince.
func (w *Watcher) updateReportedDrains() {
	now := w.clock.Now()
	switch {
	case w.Stale(now):
		w.followReportedDrains()
	case now-w.gossip.steadySince >= catchUpPeriod:
		w.dropReportedDrains()
	}
}

// followReportedDrains excludes each server whose drain was reported and this router's own watch
// missed (see gossipSlack).
func (w *Watcher) followReportedDrains() {
	state := &w.gossip
	for id, drain := range state.drains {
		endpoint, listed := w.servers[id]
		_, active := state.activeDrains[id]
		if active || !listed || endpoint.StartedAt > drain.started || drain.receivedAt < w.lastFrameAt()-gossipSlack {
			continue
		}
		state.activeDrains[id] = drain.started
		w.counters.Add(drainCounter(drain.reporter), 1)
		w.publishEndpoint(endpoint)
	}
}

// dropReportedDrains ends the exclusion of all servers that followReportedDrains has excluded. It
// also forgets each report that arrived more than gossipSlack before the latest frame, because the
// watch is then assumed to have received the drain itself (see gossipSlack).
func (w *Watcher) dropReportedDrains() {
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
