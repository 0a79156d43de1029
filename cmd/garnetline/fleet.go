package main

import (
	"context"
	"fmt"
	"sync"

	"garnetline/internal/admin/disabled"
	"garnetline/internal/clock"
	"garnetline/internal/discovery"
	"garnetline/internal/dispatch"
	"garnetline/internal/fleet/bans"
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/leasemanager"
	"garnetline/internal/fleet/loadreport"
	"garnetline/internal/fleet/recoveryprobe"
	"garnetline/internal/fleet/transport"
	"garnetline/internal/metrics"
	"garnetline/internal/operatorconfig"
	"garnetline/routing"
)

// maxEligibleHealthScore is the local health score from which on a router takes itself for
// too slow to hold leases.
const maxEligibleHealthScore = 3

// fleetServices are what a router does together with the others of its fleet, where the
// operators' file has one. Without a fleet it is nil: no socket, no goroutine, and the
// methods that the daemon calls on nil do nothing.
type fleetServices struct {
	*transport.Transport
	watcher    *discovery.Watcher
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	metrics    *metrics.Registry

	leases        *leasemanager.Manager      // nil: this router takes part in no leases
	loadReports   *loadreport.Collector      // nil: it polls no servers for others
	recoveryProbe *recoveryprobe.Coordinator // nil: it probes ejected servers on its own schedule
	bans          *bans.Manager              // nil: the lease registry keeps no bans
	actors        []actor                    // of the last three, those that are there

	mu   sync.Mutex
	stop context.CancelFunc // set by Run
}

// actor runs until its context ends, and says when it has.
type actor interface {
	Run(ctx context.Context)
	Stopped() <-chan struct{}
}

// joinFleet makes the transport to the other routers and connects the endpoint list to it. It
// returns nil where the operators' file has no fleet.
func joinFleet(router *daemon) (*fleetServices, error) {
	platform, operators := router.startup.platform, router.startup.operators
	if !operators.Fleet.Enabled {
		return nil, nil
	}
	settings, err := operators.Fleet.TransportSettings()
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	zone := operators.Fleet.Zone
	if zone == "" {
		zone = platform.Zones[platform.Settings.Zone]
	}
	link, err := transport.New(transport.Options{
		Settings:    settings,
		Name:        platform.Name,
		Zone:        zone,
		Version:     version,
		StateDir:    platform.StateDir,
		InitialBans: router.storedBans(),
		Clock:       router.clock,
		Log:         router.log,
		Metrics:     router.metrics,
	})
	if err != nil {
		return nil, err
	}
	router.watcher.SetGossip(link)
	services := &fleetServices{Transport: link, watcher: router.watcher, dispatcher: router.dispatcher, clock: router.clock, metrics: router.metrics}
	if operators.Leases.Enabled {
		if err := services.startLeases(router, settings.FleetName, zone); err != nil {
			return nil, fmt.Errorf("duties: %w", err)
		}
	}
	return services, nil
}

// storedBans returns the servers that operators have disabled at this router.
func (router *daemon) storedBans() []routing.ServerID {
	stored, err := disabled.NewStore(router.startup.platform.StateDir).List()
	if err != nil {
		router.metrics.Add("marks_unread", 1)
	}
	var servers []routing.ServerID
	for server := range stored {
		servers = append(servers, server)
	}
	return servers
}

// Run runs the services until ctx ends or Leave is called.
func (f *fleetServices) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f.mu.Lock()
	f.stop = stop
	f.mu.Unlock()
	if f.leases == nil {
		f.Transport.Run(ctx)
		return
	}
	// Leases are transferred before the others are notified that this router leaves, so the
	// transport ends after the lease manager.
	transportCtx, stopTransport := context.WithCancel(context.WithoutCancel(ctx))
	for _, service := range f.actors {
		go service.Run(ctx)
	}
	go func() {
		defer stopTransport()
		f.leases.Run(ctx)
	}()
	f.Transport.Run(transportCtx)
	stop()
	<-f.leases.Stopped()
	for _, service := range f.actors {
		<-service.Stopped()
	}
}

// Leave has Run release this router's leases, notify the others that it leaves, and give the
// socket back. It does not wait for that.
func (f *fleetServices) Leave() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		f.stop()
	}
}

// Reload goes over to the keys and addresses of another operators' file, which was checked
// when it was read.
func (f *fleetServices) Reload(fleet operatorconfig.Fleet) {
	if f == nil {
		return
	}
	if settings, err := fleet.TransportSettings(); err == nil {
		f.Transport.Reload(settings)
	}
}

// Ready reports whether the fleet lets this router call itself ready: not one that has lost
// its peers, its servers and the change log.
func (f *fleetServices) Ready() bool {
	if f == nil {
		return true
	}
	if f.bans != nil && !f.bans.Ready() {
		return false
	}
	listed, unavailable := f.watcher.ServerCounts()
	available := listed - unavailable
	serversLost := available > 0 && f.dispatcher.EjectedCount() >= available
	state := connectivity.Together
	if f.Status().Connectivity == connectivity.Alone.String() {
		state = connectivity.Alone
	}
	return state.Ready(serversLost, f.watcher.Stale(f.clock.Now()))
}

// eligible reports whether this router may hold leases: not one that is cut off from its
// servers, that takes itself for slow, or whose successor runs.
func (f *fleetServices) eligible() bool {
	view := f.Members()
	return !view.Superseded && view.HealthScore <= maxEligibleHealthScore && view.Present > 1 &&
		f.Status().Bound && !f.watcher.Stale(f.clock.Now())
}

// ManagesBans reports whether the lease registry keeps the operators' bans.
func (f *fleetServices) ManagesBans() bool { return f != nil && f.bans != nil }

// SetServerDisabled disables a server by order of an operator, or enables it again, through
// the lease registry.
func (f *fleetServices) SetServerDisabled(ctx context.Context, server routing.ServerID, disable bool) error {
	return f.bans.Apply(ctx, bans.Change{Server: server, Disable: disable})
}
