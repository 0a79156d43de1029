package main

import (
	"os"

	"garnetline/internal/admin"
	"garnetline/internal/dispatch"
	"garnetline/internal/procstat"
)

// adminHandler returns the handler of the admin API. If the fleet keeps bans in the lease registry,
// the handler disables and enables servers through the registry.
func (d *daemon) adminHandler() *admin.Handler {
	handler := &admin.Handler{SetDisabled: d.watcher.SetDisabled, Ready: d.ready, Metrics: d.adminMetrics}
	if d.fleet != nil {
		handler.Fleet = d.fleet
		if d.fleet.ManagesBans() {
			handler.SetDisabled = d.fleet.SetServerDisabled
		}
	}
	return handler
}

// ready reports whether the router can serve requests. It is true if the dispatcher has an endpoint
// list, the watcher has synced or timed out, no shutdown has begun, and the Ready method of the
// fleet returns true.
func (d *daemon) ready() bool {
	return d.listReceived.Load() && d.watcherSynced() && !d.stopping.Load() && d.fleet.Ready()
}

// watcherSynced reports whether the change log has sent a frame, or the watcher's timeout for the
// first frame has passed.
func (d *daemon) watcherSynced() bool {
	select {
	case <-d.watcher.Synced():
		return true
	default:
		return false
	}
}

// adminMetrics returns the router's own values for GET /metrics. The fleet's metrics are not among
// them: the admin handler appends them separately.
func (d *daemon) adminMetrics() admin.Metrics {
	listed, unavailable := d.watcher.ServerCounts()
	values := admin.Metrics{
		Relayed:            d.counter("attempts_relayed"),
		OpenRequests:       d.counter("requests_open"),
		ListedServers:      listed,
		UnavailableServers: unavailable + d.dispatcher.EjectedCount(),
		ReloadsAccepted:    d.counter("reloads"),
		ReloadsRejected:    d.counter("reloads_refused"),
		PendingTimers:      d.counter("timers_pending"),
		HeapBytes:          heapBytes(),
		WatchFrames:        d.counter("changelog_frames"),
		Processes:          d.resources.processes.Load(),
		ResidentBytes:      procstat.ResidentBytes(os.Getpid()),
	}
	usage := d.resources.budget.Usage()
	values.MemoryBudgetBytes = usage.Limit
	for _, account := range usage.Accounts {
		values.Memory = append(values.Memory, admin.MemoryMetrics{Account: account.Account.String(), Bytes: account.Bytes, Refused: account.Refused})
	}
	if staleness, stale := d.watcher.Staleness(d.clock.Now()); stale {
		values.WatchStale = 1
		values.WatchStaleSince = int64(staleness.Since)
		values.WatchStaleReason = staleness.Reason
	}
	for _, class := range d.classes() {
		values.Classes = append(values.Classes, admin.ClassMetrics{
			Name:     class.Name,
			Served:   d.counter(dispatch.ClassCounterName(class.Name, dispatch.Served)),
			Rejected: d.counter(dispatch.ClassCounterName(class.Name, dispatch.Rejected)),
			Failed:   d.counter(dispatch.ClassCounterName(class.Name, dispatch.Failed)),
		})
	}
	return values
}

func (d *daemon) counter(name string) int64 { return d.metrics.Counter(name).Load() }
