package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"garnetline/internal/discovery"
	"garnetline/internal/dispatch"
	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/frontend/httpfront"
	"garnetline/internal/platformconfig"
	"garnetline/internal/replayguard"
	"garnetline/internal/trace/instrument"
	"garnetline/internal/upstream"
)

// dnsShutdownTimeout is how long a shutdown waits until the DNS front has answered its open
// queries.
const dnsShutdownTimeout = time.Second

// build creates the parts and connects them to each other. startDNS and startParts start them.
func (d *daemon) build(ctx context.Context) error {
	platform, operators := d.startup.platform, d.startup.operators
	var err error
	d.dispatcher, err = dispatch.New(d.clock, platform.Settings, platform.Seed, d.metrics)
	if err != nil {
		return err
	}
	d.dispatcher.SetExecutionHistory(d.newReplayGuard())
	d.watcher = discovery.NewWatcher(d.clock, platform, d.handleWatchEvent, d.metrics)
	d.watcher.SetLog(*d.log)
	d.upstreams = upstream.NewPool(ctx, upstream.Options{
		Clock:           d.clock,
		Settings:        func() platformconfig.Upstream { return d.platform.Load().Upstream },
		Guard:           d.watcher.Guard,
		Memory:          d.resources.budget,
		Complete:        d.dispatcher.Complete,
		Metrics:         d.metrics,
		Log:             *d.log,
		MaxConnections:  func() int64 { return maxUpstreamConnections(d.resources.limits()) },
		PropagateTraces: operators.Trace.Enabled && operators.Trace.PropagateToServers,
	})
	d.recorder, err = newRecorder(d)
	if err != nil {
		return err
	}
	if d.recorder != nil {
		d.recorder.NotifyRetained = d.upstreams.TraceRetained
		d.dispatcher.SetTracer(instrument.Dispatcher(d.recorder))
	}
	d.fleet, err = joinFleet(d)
	if err != nil {
		return err
	}
	d.dns = dnsfront.New(dnsfront.Options{
		Config:     operators.DNS,
		Clock:      d.clock,
		Dispatcher: d.dispatcher,
		Classes:    d.classes,
		Guard:      d.watcher.Guard,
		Metrics:    d.metrics,
	})
	d.dispatcher.AddListeners(d.upstreams, d.dns)
	d.front = httpfront.New(httpfront.Options{
		Clock:          d.clock,
		Dispatcher:     d.dispatcher,
		Transport:      d.upstreams,
		Classes:        d.classes,
		Ready:          d.listReceived.Load,
		Metrics:        d.metrics,
		MaxConnections: func() int { return maxClientConnections(d.resources.limits()) },
		Memory:         d.resources.budget,
		RecordClient:   d.recorder != nil,
		Log:            d.log.With().Str("front", "clients").Logger(),

		MaxShutdownConnections: func() int { return maxShutdownConnections(d.resources.limits()) },
	})
	return nil
}

// newReplayGuard returns the history of executed requests, which the processes of the router share.
func (d *daemon) newReplayGuard() *replayguard.Guard {
	guard := replayguard.New(d.metrics)
	if group := d.resources.group; group != nil {
		if err := guard.Share(d.startup.platform.StateDir, group.Slot()); err != nil {
			d.log.Warn().Err(err).Msg("cannot share the ids of executed requests with other processes of the router")
		}
		d.onClose(guard.Close)
	}
	return guard
}

// handleWatchEvent passes a watch event to the dispatcher. It runs on the watcher's goroutine.
func (d *daemon) handleWatchEvent(event platformconfig.WatchEvent) {
	d.dispatcher.HandleWatchEvent(event)
	d.listReceived.Store(true)
}

// startDNS starts the DNS front if it is enabled.
func (d *daemon) startDNS(ctx context.Context) error {
	if !d.startup.operators.DNS.Enabled {
		return nil
	}
	if _, err := d.dns.Start(ctx); err != nil {
		return err
	}
	d.onClose(func() {
		// ctx may be canceled already. With a canceled context, Shutdown would not wait for open
		// DNS queries.
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dnsShutdownTimeout)
		defer cancel()
		d.dns.Shutdown(shutdownCtx) //nolint:errcheck // queries still open after the timeout get no response
	})
	return nil
}

// startParts starts the goroutines of the dispatcher and the watcher. It also starts those of the
// recorder and the fleet, if these parts are enabled.
func (d *daemon) startParts(ctx context.Context) {
	go d.resources.run(ctx)
	go d.front.ReclaimMemory(ctx)
	go d.dispatcher.Run(ctx)
	if d.recorder != nil {
		go d.recorder.Run()
		d.onClose(func() {
			// The recorder shuts down after the dispatcher, because the dispatcher reports the last
			// requests to the recorder.
			d.stopParts()
			<-d.dispatcher.Stopped()
			d.recorder.Shutdown()
		})
	}
	if d.fleet != nil {
		go d.fleet.Run(ctx)
		d.onClose(func() {
			// When the channel that Stopped returns is closed, the fleet has closed its socket, and
			// a successor process can bind the address.
			d.stopParts()
			<-d.fleet.Stopped()
		})
	}
	go d.watcher.Run(ctx)
}

// acceptClients accepts and serves client connections. With an inherited socket, it first waits
// until the watcher has synced or timed out. Meanwhile, the other process that holds the socket
// accepts the connections.
func (d *daemon) acceptClients(listener net.Listener) {
	if d.startup.platform.ListenFD != 0 {
		<-d.watcher.Synced()
	}
	d.serveErrors <- d.front.Serve(listener)
}

// startAdmin starts the admin API if the configuration has an address for it.
func (d *daemon) startAdmin(ctx context.Context) error {
	address := d.startup.platform.AdminListen
	if !address.IsValid() {
		return nil
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address.String())
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	server := httpfront.New(httpfront.Options{
		Clock:          d.clock,
		Metrics:        d.metrics,
		Handler:        d.adminHandler().Handle,
		Log:            d.log.With().Str("front", "admin").Logger(),
		MaxConnections: func() int { return maxAdminConnections },
	})
	go func() { d.serveErrors <- server.Serve(listener) }()
	d.onClose(server.Shutdown)
	return nil
}
