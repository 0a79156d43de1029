package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"garnetline/internal/admin"
	"garnetline/internal/clock"
	"garnetline/internal/discovery"
	"garnetline/internal/dispatch"
	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/frontend/httpfront"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
	"garnetline/internal/trace/attach"
	"garnetline/internal/upstream"
	"garnetline/routing"
)

const (
	// lameDuck is how long a router that is to stop goes on taking requests:
	// the front sends some for 0.6 s yet.
	lameDuck = 700 * time.Millisecond
	// killAfter is how long after that a process has at the least, or the longest deadline
	// where that is shorter; endMargin is kept for the answers' way.
	killAfter = 3000.0
	endMargin = 200.0
	heapShare = 0.7 // of the memory limit, for the runtime; the kernel counts more
	connShare = 0.6 // of the descriptors, for clients
	linkShare = 0.3 // of the descriptors, for peers; files, the door and the DNS front have the rest
	doorConns = 12  // callers of the door at once
)

// setup is what the router is started with, and may be told anew.
type setup struct {
	conf *platformconfig.Config
	file operatorconfig.Config // the operators'
}

// admits tells whether a running router can go over to another setup.
func (s setup) admits(next setup) error {
	if err := s.conf.CheckReload(next.conf); err != nil {
		return err
	}
	return s.file.CheckReload(next.file)
}

// serve runs the router until a signal ends it. again reads its setup anew.
func serve(ctx context.Context, with setup, again func() (setup, error)) error {
	conf, lookups := with.conf, with.file.DNS
	log := logs.New(os.Stderr)
	if err := logs.SetLevel(with.file.Log.Level); err != nil {
		return err
	}
	bound(conf.Limits)
	var now atomic.Pointer[platformconfig.Config] // read whole by all parts, replaced whole
	now.Store(conf)
	count := metrics.New()
	defer func() { logs.WriteCounters(log, count.Snapshot()) }()
	clk := clock.NewSystem()

	// Before anything can be asked of the program: a signal that nobody waits
	// for would end it at once.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)

	listener, err := listen(conf)
	if err != nil {
		return err
	}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c, err := dispatch.New(clk, conf.Settings, conf.Seed, count)
	if err != nil {
		return err
	}
	var told, stopping atomic.Bool
	list := discovery.NewWatcher(clk, conf, func(ev platformconfig.WatchEvent) {
		c.HandleWatchEvent(ev)
		told.Store(true)
	}, count)
	pool := upstream.NewPool(ctx, upstream.Options{Clock: clk, Settings: func() platformconfig.Upstream { return now.Load().Upstream },
		Guard: list.Guard, Complete: c.Complete, Metrics: count,
		MaxConnections:  func() int64 { return int64(float64(now.Load().Limits.Sockets) * linkShare) },
		PropagateTraces: with.file.Trace.Enabled && with.file.Trace.PropagateToServers})
	classes := func() []routing.Class { return now.Load().Settings.Classes }
	rec, err := tracing(with.file.Trace, conf, clk, count, log, &now)
	if err != nil {
		return err
	}
	if rec != nil {
		rec.Kept = pool.TraceRetained
		c.SetTracer(attach.Core(rec))
	}
	mates, err := join(with.file, conf, list, c, clk, count, log)
	if err != nil {
		return err
	}
	names := dnsfront.New(dnsfront.Options{Config: lookups, Clock: clk, Dispatcher: c, Classes: classes,
		Guard: list.Guard, Metrics: count})
	c.AddListeners(pool, names)
	if lookups.Enabled {
		if _, err := names.Start(); err != nil {
			return err
		}
		defer func() {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			names.Shutdown(ctx)
		}()
	}
	front := httpfront.New(httpfront.Options{Clock: clk, Dispatcher: c, Transport: pool, Classes: classes,
		Ready: told.Load, Metrics: count, MaxConnections: func() int { return conns(now.Load().Limits) }, RecordClient: rec != nil})
	go c.Run(ctx)
	if rec != nil {
		go rec.Run()
		defer func() { // the core tells it of the last requests
			stop()
			<-c.Stopped()
			rec.Finish()
		}()
	}
	if mates != nil {
		go mates.Run(ctx)
		defer func() { // the socket is another process's from then on
			stop()
			<-mates.Stopped()
		}()
	}
	go list.Run(ctx)
	failed := make(chan error, 2)
	go func() {
		if conf.ListenFD != 0 { // others may hold the socket: take what can be served well
			<-list.Synced()
		}
		failed <- front.Serve(listener)
	}()
	if conf.AdminListen.IsValid() {
		l, err := net.Listen("tcp", conf.AdminListen.String())
		if err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
		pages := &admin.Handler{SetDisabled: list.SetDisabled,
			Ready:   func() bool { return told.Load() && caught(list) && !stopping.Load() && mates.Ready() },
			Metrics: func() admin.Metrics { return figures(classes(), count, list, c) }}
		if mates != nil {
			pages.Fleet = mates
			if mates.Keeps() {
				pages.SetDisabled = mates.Switch
			}
		}
		staff := httpfront.New(httpfront.Options{Clock: clk, Metrics: count, Handler: pages.Handle, MaxConnections: func() int { return doorConns }})
		go func() { failed <- staff.Serve(l) }()
		defer staff.Shutdown()
	}

	log.Info().Str("name", conf.Name).Str("listen", conf.Listen.String()).Str("version", version).Msg("serving")
	var done chan struct{} // closed when all is answered; nil until it is to stop
	for {
		select {
		case err := <-failed:
			if done == nil {
				return fmt.Errorf("listen: %w", err)
			}
		case <-done:
			return nil
		case s := <-signals:
			switch {
			case s == syscall.SIGUSR1:
				logs.WriteCounters(log, count.Snapshot())
			case s == syscall.SIGHUP: // while it stops too: what is open may outlive the old log
				next, err := again()
				if err == nil {
					err = with.admits(next)
				}
				if err == nil {
					err = logs.SetLevel(next.file.Log.Level)
				}
				if err != nil {
					count.Add("reloads_refused", 1)
					log.Error().Err(err).Msg("reload refused")
					continue
				}
				count.Add("reloads", 1)
				with = next
				bound(next.conf.Limits)
				now.Store(next.conf)
				c.Reload(next.conf.Settings)
				list.Reload(next.conf)
				mates.Reload(next.file.Fleet)
				if rec != nil {
					rec.Adopt(kept(next.file.Trace, next.conf.Settings.Classes))
				}
				log.Info().Msg("reloaded")
			case done == nil:
				stopping.Store(true)
				mates.Leave()
				front.FailHealthChecks()
				if conf.ListenFD != 0 { // its other holders take what comes from now on
					front.StopAccepting()
				}
				c.DrainBy(clk.Now() + endIn(classes()))
				done = make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(lameDuck)
					front.Shutdown()
				}()
			}
		}
	}
}

// endIn is when, in ms from the signal on, all that is open has its answer.
//
// Symptom guarded against: a request of a class with a long deadline waited for a cache that
// hung until the process was killed.
func endIn(classes []routing.Class) float64 {
	return clock.Millis(lameDuck) + max(min(clock.Millis(routing.MaxDeadline(classes)), killAfter)-endMargin, 0)
}

// listen opens the clients' socket, or takes the one that the platform holds and
// passes on from one process to the next.
func listen(conf *platformconfig.Config) (net.Listener, error) {
	if conf.ListenFD == 0 {
		l, err := net.Listen("tcp", conf.Listen.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	f := os.NewFile(uintptr(conf.ListenFD), "listen")
	defer f.Close() // the listener has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("EDGE_LISTEN_FD: %w", err)
	}
	return l, nil
}

// caught tells whether the change log has spoken, or has had its time to.
func caught(l *discovery.Watcher) bool {
	select {
	case <-l.Synced():
		return true
	default:
		return false
	}
}

// figures puts together what staff see.
func figures(classes []routing.Class, count *metrics.Registry, list *discovery.Watcher, c *dispatch.Dispatcher) admin.Metrics {
	n := func(name string) int64 { return count.Counter(name).Load() }
	all, barred := list.ServerCounts()
	f := admin.Metrics{Relayed: n("attempts_relayed"), OpenRequests: n("requests_open"), ListedServers: all, UnavailableServers: barred + c.EjectedCount(),
		ReloadsAccepted: n("reloads"), ReloadsRejected: n("reloads_refused")}
	for _, k := range classes {
		f.Classes = append(f.Classes, admin.ClassMetrics{Name: k.Name, Served: n(dispatch.ClassCounterName(k.Name, dispatch.Served)),
			Rejected: n(dispatch.ClassCounterName(k.Name, dispatch.Rejected)), Failed: n(dispatch.ClassCounterName(k.Name, dispatch.Failed))})
	}
	return f
}

// bound keeps the process inside its limits.
func bound(l platformconfig.Limits) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(l.MemoryMB<<20) * heapShare))
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores+0.5)))
	}
}

// conns is how many clients' connections are open at once.
func conns(l platformconfig.Limits) int {
	if l.Sockets == 0 {
		return 1024
	}
	return max(1, int(float64(l.Sockets)*connShare))
}
