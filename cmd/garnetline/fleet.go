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

// maxEligibleHealthScore is the highest local health score with which a router may hold leases.
// With a higher score the router considers itself too slow.
const maxEligibleHealthScore = 3

// fleetServices holds the services that a router runs together with the other routers of its fleet.
// If the operators' file enables no fleet, daemon.fleet is nil, and the router has no fleet socket
// and no fleet goroutine. The methods Leave, Reload, Ready and ManagesBans accept a nil receiver.
type fleetServices struct {
	*transport.Transport
	watcher    *discovery.Watcher
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	metrics    *metrics.Registry

	leases        *leasemanager.Manager      // nil if the operators' file enables no leases
	loadReports   *loadreport.Collector      // nil if this router never polls servers on behalf of other routers
	recoveryProbe *recoveryprobe.Coordinator // nil if this router probes ejected servers on its own schedule
	bans          *bans.Manager              // nil if bans are not kept in the lease registry
	background    []backgroundService        // loadReports, recoveryProbe and bans, without those that are nil

	mu   sync.Mutex
	stop context.CancelFunc // set by Run
}

// backgroundService is a service with a goroutine of its own.
type backgroundService interface {
	// Run runs the service until ctx ends.
	Run(ctx context.Context)
	// Stopped returns a channel that is closed when Run has ended.
	Stopped() <-chan struct{}
}

// joinFleet creates the services of the fleet. It connects the watcher of the endpoint list to the
// transport between the routers, through which the routers report watch events to each other. It
// returns nil if the operators' file enables no fleet.
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
	fleetTransport, err := transport.New(transport.Options{
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
	router.watcher.SetGossip(fleetTransport)
	services := &fleetServices{Transport: fleetTransport, watcher: router.watcher, dispatcher: router.dispatcher, clock: router.clock, metrics: router.metrics}
	if operators.Leases.Enabled {
		if err := services.startLeases(router, settings.FleetName, zone); err != nil {
			return nil, fmt.Errorf("duties: %w", err)
		}
	}
	return services, nil
}

// storedBans returns the servers that operators have disabled at this router. It reads them from
// the router's state directory. If it cannot read the directory, it increments the counter
// "marks_unread" and returns no servers.
func (d *daemon) storedBans() []routing.ServerID {
	stored, err := disabled.NewStore(d.startup.platform.StateDir).List()
	if err != nil {
		d.metrics.Add("marks_unread", 1)
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
	// The transport stops after the lease manager, because the lease manager sends messages through
	// the transport when it transfers the leases. When the lease manager has stopped, the transport
	// notifies the other routers that this router leaves, and stops.
	transportCtx, stopTransport := context.WithCancel(context.WithoutCancel(ctx))
	for _, service := range f.background {
		go service.Run(ctx)
	}
	go func() {
		defer stopTransport()
		f.leases.Run(ctx)
	}()
	f.Transport.Run(transportCtx)
	stop()
	<-f.leases.Stopped()
	for _, service := range f.background {
		<-service.Stopped()
	}
}

// Leave makes Run release this router's leases, notify the other routers that this router leaves,
// and close the socket. Leave does not wait for Run to finish.
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

// Reload applies the keys and addresses of a reloaded operators' file, which was validated when
// it was read.
func (f *fleetServices) Reload(fleet operatorconfig.Fleet) {
	if f == nil {
		return
	}
	if settings, err := fleet.TransportSettings(); err == nil {
		f.Transport.Reload(settings)
	}
}

// Ready reports whether the fleet permits this router to report itself ready. It returns false
// until the ban manager, if there is one, is ready. It also returns false while the router has lost
// its peers, its servers and the change log, all three at the same time.
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

// eligible reports whether this router may hold leases. It may not if a successor process has taken
// over, if its local health score is too high, if no other router is present, if its fleet socket
// is not bound, or if its endpoint list is stale.
func (f *fleetServices) eligible() bool {
	view := f.Members()
	return !view.Superseded && view.HealthScore <= maxEligibleHealthScore && view.Present > 1 &&
		f.Status().Bound && !f.watcher.Stale(f.clock.Now())
}

// ManagesBans reports whether the lease registry keeps the operators' bans.
func (f *fleetServices) ManagesBans() bool { return f != nil && f.bans != nil }

// SetServerDisabled records in the lease registry that an operator disabled a server, or enabled it
// again.
func (f *fleetServices) SetServerDisabled(ctx context.Context, server routing.ServerID, disable bool) error {
	return f.bans.Apply(ctx, bans.Change{Server: server, Disable: disable})
}
