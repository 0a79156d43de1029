package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/discovery"
	"garnetline/internal/dispatch"
	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/frontend/httpfront"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/trace/recorder"
	"garnetline/internal/upstream"
	"garnetline/routing"
)

// daemon is one running router: its configuration, and its parts in the order in which build
// creates them. Only the goroutine that calls run may use the fields active and drained. All other
// fields are set before the parts start.
type daemon struct {
	log     *zerolog.Logger
	metrics *metrics.Registry
	clock   clock.System
	signals chan os.Signal

	startup  daemonConfig                          // configuration at the start of the process
	active   daemonConfig                          // configuration in use: startup, or that of the last successful reload
	platform atomic.Pointer[platformconfig.Config] // active.platform, read by all parts
	load     func() (daemonConfig, error)          // reads the configuration files again

	resources  *resources
	dispatcher *dispatch.Dispatcher
	watcher    *discovery.Watcher
	upstreams  *upstream.Pool
	recorder   *recorder.Recorder // nil if tracing is disabled
	fleet      *fleetServices     // nil if the fleet is disabled
	dns        *dnsfront.Server
	front      *httpfront.Server

	listReceived atomic.Bool   // the dispatcher has an endpoint list
	stopping     atomic.Bool   // the shutdown has begun
	serveErrors  chan error    // errors of the listeners
	drained      chan struct{} // closed when all requests are answered; nil before the shutdown

	stopParts context.CancelFunc
	cleanups  []func() // run by close in reverse order
}

// serve runs a router until SIGTERM or SIGINT has shut it down, or until a part fails. For each
// reload, it calls load, which reads the configuration files again.
func serve(ctx context.Context, initial daemonConfig, load func() (daemonConfig, error)) error {
	log := logs.New(os.Stderr)
	if err := logs.SetLevel(initial.operators.Log.Level); err != nil {
		return err
	}
	router := &daemon{
		log:         log,
		metrics:     metrics.New(),
		clock:       clock.NewSystem(),
		startup:     initial,
		active:      initial,
		load:        load,
		serveErrors: make(chan error, 2),
	}
	router.platform.Store(initial.platform)
	defer router.close()
	if err := router.start(ctx); err != nil {
		return err
	}
	return router.run()
}

// onClose registers a function that close has to call. close calls the registered functions in
// reverse order.
func (d *daemon) onClose(cleanup func()) {
	d.cleanups = append(d.cleanups, cleanup)
}

// close calls the registered functions in reverse order, so that the part that started last stops
// first.
func (d *daemon) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

// start builds the parts and starts them. If start returns an error, the caller still has to call
// close, which stops the parts that were started.
func (d *daemon) start(ctx context.Context) error {
	d.onClose(d.logCounters)
	d.receiveSignals()
	d.resources = newResources(d)
	listener, err := openListener(ctx, d.startup.platform)
	if err != nil {
		return err
	}
	ctx, d.stopParts = context.WithCancel(ctx)
	d.onClose(d.stopParts)
	if err := d.build(ctx); err != nil {
		return err
	}
	if err := d.startDNS(ctx); err != nil {
		return err
	}
	d.startParts(ctx)
	go d.acceptClients(listener)
	if err := d.startAdmin(ctx); err != nil {
		return err
	}
	platform := d.startup.platform
	d.log.Info().Str("name", platform.Name).Str("listen", platform.Listen.String()).Str("version", version).Msg("serving")
	return nil
}

// receiveSignals registers the signal handlers. It has to run before the router opens a socket,
// because a signal without a handler terminates the process immediately.
func (d *daemon) receiveSignals() {
	d.signals = make(chan os.Signal, 4)
	signal.Notify(d.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	d.onClose(func() { signal.Stop(d.signals) })
}

// run handles signals. It returns nil when all requests are answered after a SIGTERM or SIGINT. It
// returns an error if a listener fails before the shutdown begins.
func (d *daemon) run() error {
	for {
		select {
		case err := <-d.serveErrors:
			if d.drained == nil {
				return fmt.Errorf("listen: %w", err)
			}
		case <-d.drained:
			return nil
		case received := <-d.signals:
			d.handleSignal(received)
		}
	}
}

func (d *daemon) handleSignal(received os.Signal) {
	switch received {
	case syscall.SIGUSR1:
		d.logCounters()
	case syscall.SIGHUP:
		// The configuration is reloaded during a shutdown too, because watch events still apply to
		// open requests, and the router may have to read them from a change log at a new address.
		d.reload()
	default:
		if d.drained == nil {
			d.beginShutdown()
		}
	}
}

func (d *daemon) logCounters() {
	logs.WriteCounters(d.log, d.metrics.Snapshot())
}

// classes returns the request classes of the active configuration. It is safe for concurrent
// use.
func (d *daemon) classes() []routing.Class {
	return d.platform.Load().Settings.Classes
}
