// Package plugin makes the edge router's decisions within a gRPC client: which
// server an RPC goes to, how long to wait, when to retry and when to give up.
// The plugin finds the servers by DNS. An OpenAPI or AsyncAPI description tells
// it which operations may be retried.
//
//	operations, err := plugin.OpenAPI(doc, []string{"part", "form"})
//	p, err := plugin.New(plugin.Options{Classes: classes, Operations: operations, Key: key})
//	defer p.Close()
//	conn, err := grpc.NewClient("garnetline://127.0.0.1:53/_puzzles._tcp.example.org", append(p.DialOptions(), credentials)...)
//
// A Plugin serves one ClientConn. It resolves the target of the ClientConn, its
// interceptors select the server of each RPC, and its balancer picks the
// connection to that server.
package plugin

import (
	"context"
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

// Plugin routes and retries the RPCs of one ClientConn. Its methods are safe for concurrent use.
type Plugin struct {
	options    Options // after withDefaults
	clock      clock.Clock
	dispatcher *dispatch.Dispatcher
	classes    *classTable
	metrics    *metrics.Registry
	servers    atomic.Pointer[serverAddresses] // servers on the latest endpoint list
	recorder   *recorder.Recorder              // nil if RPCs are not traced
	cancel     context.CancelFunc              // stops the dispatcher
	stopped    chan struct{}                   // closed once the dispatcher has stopped
	closeOnce  sync.Once
}

// serverAddresses maps the id of each server on the endpoint list to its address, as HOST:PORT.
type serverAddresses map[routing.ServerID]string

// New returns a Plugin for a new ClientConn. The plugin finds its servers when the ClientConn
// resolves its target. The caller must call Close to release the plugin's resources. New returns an
// error if the options are invalid or if the folder for traces cannot be opened.
func New(options Options) (*Plugin, error) { return newPlugin(options, clock.NewSystem()) }

// newPlugin is like New, but uses the clock clk.
func newPlugin(options Options, clk clock.Clock) (*Plugin, error) {
	options = options.withDefaults()
	if options.RefreshInterval < 0 || options.MaxAttempts < 0 {
		return nil, fmt.Errorf("plugin: Options: expected RefreshInterval and MaxAttempts of at least 0 (0 selects the default), got RefreshInterval %v and MaxAttempts %d", options.RefreshInterval, options.MaxAttempts)
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
		return nil, fmt.Errorf("plugin: Trace: open trace store: %w", err)
	}
	plugin.start()
	return plugin, nil
}

// start starts the dispatcher and, if RPCs are traced, the recorder. Close stops both.
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

// Close stops the plugin's goroutines and waits for them to end. It does not stop the goroutine of
// the resolver. The ClientConn stops that goroutine when the ClientConn is closed. RPCs that begin
// after Close fail with codes.Canceled.
func (p *Plugin) Close() {
	p.closeOnce.Do(func() {
		p.cancel()
		<-p.stopped
		if p.recorder != nil {
			p.recorder.Shutdown()
		}
	})
}

// DialOptions returns the options with which the caller must create the ClientConn.
func (p *Plugin) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithResolvers(p),
		grpc.WithDefaultServiceConfig(fmt.Sprintf(`{"loadBalancingConfig":[{%q:{}}]}`, balancerName)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(), // the plugin itself decides which RPCs are retried
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
	}
}

// serverAddress returns the address of a server and whether the server is on the latest endpoint
// list.
func (p *Plugin) serverAddress(id routing.ServerID) (string, bool) {
	address, ok := (*p.servers.Load())[id]
	return address, ok
}
