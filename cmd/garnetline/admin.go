package main

import (
	"garnetline/internal/admin"
	"garnetline/internal/dispatch"
)

// adminHandler answers the calls of operators.
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

// ready reports whether the router can answer requests well: it has an endpoint list that is
// current or has had its time to be, does not shut down, and its fleet does not object.
func (d *daemon) ready() bool {
	return d.listReceived.Load() && d.watcherSynced() && !d.stopping.Load() && d.fleet.Ready()
}

// watcherSynced reports whether the change log has spoken, or has had its time to.
func (d *daemon) watcherSynced() bool {
	select {
	case <-d.watcher.Synced():
		return true
	default:
		return false
	}
}

// adminMetrics returns what GET /metrics shows of this process.
func (d *daemon) adminMetrics() admin.Metrics {
	listed, unavailable := d.watcher.ServerCounts()
	shown := admin.Metrics{
		Relayed:            d.counter("attempts_relayed"),
		OpenRequests:       d.counter("requests_open"),
		ListedServers:      listed,
		UnavailableServers: unavailable + d.dispatcher.EjectedCount(),
		ReloadsAccepted:    d.counter("reloads"),
		ReloadsRejected:    d.counter("reloads_refused"),
	}
	for _, class := range d.classes() {
		shown.Classes = append(shown.Classes, admin.ClassMetrics{
			Name:     class.Name,
			Served:   d.counter(dispatch.ClassCounterName(class.Name, dispatch.Served)),
			Rejected: d.counter(dispatch.ClassCounterName(class.Name, dispatch.Rejected)),
			Failed:   d.counter(dispatch.ClassCounterName(class.Name, dispatch.Failed)),
		})
	}
	return shown
}

func (d *daemon) counter(name string) int64 { return d.metrics.Counter(name).Load() }
