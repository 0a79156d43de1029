// Package plugin brings the edge router's decisions into a gRPC client: which
// server an RPC goes to, how long to wait, when to try again and when to give
// up. Servers are found by DNS, and an OpenAPI or AsyncAPI description tells
// what may be repeated.
//
//	ops, err := plugin.OpenAPI(doc, []string{"part", "form"})
//	p, err := plugin.New(plugin.Options{Classes: classes, Operations: ops, Key: key})
//	defer p.Close()
//	cc, err := grpc.NewClient("garnetline://127.0.0.1:53/_puzzles._tcp.example.org", append(p.DialOptions(), creds)...)
//
// A Plugin serves one ClientConn.
package plugin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/trace/instrument"
	"garnetline/internal/trace/recorder"
	"garnetline/routing"
)

// Plugin holds the decisions for one ClientConn.
type Plugin struct {
	options    Options
	clock      clock.Clock
	dispatcher *dispatch.Dispatcher
	classes    map[classKey]int
	metrics    *metrics.Registry
	servers    atomic.Pointer[map[routing.ServerID]string] // listed ones, by id
	recorder   *recorder.Recorder                          // nil: none
	cancel     context.CancelFunc
	stopped    chan struct{}
	closeOnce  sync.Once
}

// classKey is a class with an idempotency: the module takes it from the class.
type classKey struct {
	name        string
	idempotency Idempotency
}

// New returns a Plugin that has no servers yet; Close ends it.
func New(o Options) (*Plugin, error) { return newPlugin(o, clock.NewSystem()) }

func newPlugin(o Options, c clock.Clock) (*Plugin, error) {
	o = o.withDefaults()
	if o.RefreshInterval < 0 || o.MaxAttempts < 0 {
		return nil, errors.New("plugin: Refresh, Attempts: want more than 0")
	}
	p := &Plugin{options: o, clock: c, classes: map[classKey]int{}, metrics: metrics.New(), stopped: make(chan struct{})}
	p.servers.Store(&map[routing.ServerID]string{})
	set := routing.Settings{Zones: 1, Kinds: 1, ParentKind: -1, OriginKind: -1, RoutersByZone: []int{1}, Routers: 1,
		MaxAttempts: o.MaxAttempts, MaxRetryAfter: time.Second, CanCancel: true, WeightIsCapacity: true,
		CacheSlowStart: routing.SlowStart{InitialCapacity: 1}}
	for i, k := range o.Classes {
		if k.Name == "" || k.LatencyObjective <= 0 || k.Deadline <= 0 {
			return nil, fmt.Errorf("plugin: Classes[%d]: want a Name, an Aim and a Deadline", i)
		}
		for e := Idempotent; e <= NonIdempotent; e++ {
			p.classes[classKey{k.Name, e}] = len(set.Classes)
			set.Classes = append(set.Classes, routing.Class{Name: k.Name, Idempotency: routing.Idempotency(e), KeyWindow: k.KeyWindow,
				LatencyObjective: k.LatencyObjective, Deadline: k.Deadline, PriorityWeight: max(k.PriorityWeight, 0)})
		}
	}
	for id, op := range o.Operations {
		if _, ok := p.classes[classKey{op.Class, op.Effect}]; !ok {
			return nil, fmt.Errorf("plugin: Operations[%q]: class %q is not one of Classes", id, op.Class)
		}
	}
	var err error
	if p.dispatcher, err = dispatch.New(p.clock, set, rand.Uint64(), p.metrics); err != nil {
		return nil, fmt.Errorf("plugin: %w", err)
	}
	if p.recorder, err = o.Trace.newRecorder(c, p.metrics, o.Classes); err != nil {
		return nil, fmt.Errorf("plugin: Trace: %w", err)
	}
	if p.recorder != nil {
		p.dispatcher.SetTracer(instrument.Dispatcher(p.recorder))
		go p.recorder.Run()
	}
	ctx, stop := context.WithCancel(context.Background())
	p.cancel = stop
	go func() {
		p.dispatcher.Run(ctx)
		close(p.stopped)
	}()
	return p, nil
}

// Close ends the plugin's goroutine. RPCs begun after it fail.
func (p *Plugin) Close() {
	p.closeOnce.Do(func() {
		p.cancel()
		<-p.stopped
		if p.recorder != nil {
			p.recorder.Shutdown()
		}
	})
}

// DialOptions are what the ClientConn is to be made with.
func (p *Plugin) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithResolvers(p),
		grpc.WithDefaultServiceConfig(fmt.Sprintf(`{"loadBalancingConfig":[{%q:{}}]}`, balancerName)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(), // the module decides what is tried again
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
	}
}

// newRequest makes the core's request of an RPC.
func (p *Plugin) newRequest(ctx context.Context, method string, req any) (*dispatch.Request, error) {
	op, ok := p.options.Operations.Find(method)
	if !ok {
		return nil, status.Errorf(codeNotDescribed, "garnetline: %s is not in the description", method)
	}
	r := &dispatch.Request{Class: p.classes[classKey{op.Class, op.Effect}]}
	k := Key{}
	if p.options.Key != nil {
		k = p.options.Key(method, req)
	}
	k = k.withDefaults(method)
	r.Object, r.Chunk, r.Group = routing.ObjectID(k.Object), k.Chunk, k.Group
	left := clock.Millis(p.options.Classes[r.Class/int(NonIdempotent+1)].Deadline)
	if at, ok := ctx.Deadline(); ok {
		left = clock.Millis(time.Until(at))
	}
	r.Deadline = p.clock.Now() + left
	if p.recorder != nil {
		r.Client = &dispatch.ClientInfo{ReceivedAt: p.clock.Now(), TraceParent: callerTraceparent(ctx)}
	}
	return r, nil
}

// serverAddress tells the address of a server that may be sent to now.
func (p *Plugin) serverAddress(id routing.ServerID) (string, bool) {
	addr, ok := (*p.servers.Load())[id]
	return addr, ok
}
