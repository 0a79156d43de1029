// Package plugin brings the edge router's decisions into a gRPC client: which
// server an RPC goes to, how long to wait, when to retry and when to give up.
// Servers are found by DNS, and an OpenAPI or AsyncAPI description tells what
// may be retried.
//
//	operations, err := plugin.OpenAPI(doc, []string{"part", "form"})
//	p, err := plugin.New(plugin.Options{Classes: classes, Operations: operations, Key: key})
//	defer p.Close()
//	conn, err := grpc.NewClient("garnetline://127.0.0.1:53/_puzzles._tcp.example.org", append(p.DialOptions(), credentials)...)
//
// A Plugin serves one ClientConn. It is the resolver of the connection's target, chooses
// the server of each RPC in its interceptors, and its balancer picks the connection to
// that server.
package plugin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/trace/instrument"
	"garnetline/internal/trace/recorder"
	"garnetline/routing"
)

// Plugin makes the decisions for one ClientConn. All its methods may be called from any
// goroutine.
type Plugin struct {
	options    Options // with defaults
	clock      clock.Clock
	dispatcher *dispatch.Dispatcher
	classes    *classTable
	metrics    *metrics.Registry
	servers    atomic.Pointer[serverAddresses] // of the latest endpoint list
	recorder   *recorder.Recorder              // nil: nothing is traced
	cancel     context.CancelFunc              // ends the dispatcher
	stopped    chan struct{}                   // closed when the dispatcher has ended
	closeOnce  sync.Once
}

// serverAddresses are the addresses of listed servers, as HOST:PORT.
type serverAddresses map[routing.ServerID]string

// New returns a Plugin that has no servers yet. Close releases what it uses.
func New(options Options) (*Plugin, error) { return newPlugin(options, clock.NewSystem()) }

func newPlugin(options Options, clk clock.Clock) (*Plugin, error) {
	options = options.withDefaults()
	if options.RefreshInterval < 0 || options.MaxAttempts < 0 {
		return nil, errors.New("plugin: Refresh, Attempts: want more than 0")
	}
	classes, err := newClassTable(options.Classes)
	if err != nil {
		return nil, err
	}
	if err := classes.checkOperations(options.Operations); err != nil {
		return nil, err
	}
	plugin := &Plugin{
		options: options,
		clock:   clk,
		classes: classes,
		metrics: metrics.New(),
		stopped: make(chan struct{}),
	}
	plugin.servers.Store(&serverAddresses{})
	settings := routingSettings(options.MaxAttempts, classes.routing)
	if plugin.dispatcher, err = dispatch.New(clk, settings, rand.Uint64(), plugin.metrics); err != nil {
		return nil, fmt.Errorf("plugin: %w", err)
	}
	if plugin.recorder, err = newRecorder(options.Trace, clk, plugin.metrics, options.Classes); err != nil {
		return nil, fmt.Errorf("plugin: Trace: %w", err)
	}
	plugin.start()
	return plugin, nil
}

// start runs the dispatcher and, if calls are traced, the recorder. Close waits for both.
func (p *Plugin) start() {
	if p.recorder != nil {
		p.dispatcher.SetTracer(instrument.Dispatcher(p.recorder))
		go p.recorder.Run()
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.stopped)
		p.dispatcher.Run(ctx)
	}()
}

// Close ends the plugin's goroutines and waits for them, but for those of the ClientConn's
// resolver, which the ClientConn ends. RPCs begun after it fail with codes.Canceled.
func (p *Plugin) Close() {
	p.closeOnce.Do(func() {
		p.cancel()
		<-p.stopped
		if p.recorder != nil {
			p.recorder.Shutdown()
		}
	})
}

// DialOptions returns the options that the ClientConn must be made with.
func (p *Plugin) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithResolvers(p),
		grpc.WithDefaultServiceConfig(fmt.Sprintf(`{"loadBalancingConfig":[{%q:{}}]}`, balancerName)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(), // the plugin decides what is retried
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
	}
}

// serverAddress returns the address of a server that is listed now, and whether it is.
func (p *Plugin) serverAddress(id routing.ServerID) (string, bool) {
	address, ok := (*p.servers.Load())[id]
	return address, ok
}
