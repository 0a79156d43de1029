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

// Class describes a class of RPCs.
type Class struct {
	Name     string
	Aim      time.Duration // an answer within it is in time
	Deadline time.Duration // where the caller's context has none
	Window   time.Duration // for keyed operations: repeats are dropped for so long
	Worth    float64       // of an answer in time, against other classes; 0 is 1
}

// Key names what an RPC asks for. RPCs for the same object and part go to the
// same server while that is well.
type Key struct {
	Object      uint64
	Part, Group int
}

// Options configure a Plugin.
type Options struct {
	Classes    []Class
	Operations Operations
	Key        func(fullMethod string, req any) Key // nil: by the method alone
	Refresh    time.Duration                        // between DNS lookups; 0: half a second
	Attempts   int                                  // of one RPC at the most; 0: 4
	Trace      *Trace                               // nil: nothing is traced, and no metadata is added
}

// Plugin holds the decisions for one ClientConn.
type Plugin struct {
	opts    Options
	clock   clock.Clock
	core    *dispatch.Dispatcher
	classes map[classKey]int
	count   *metrics.Registry
	servers atomic.Pointer[map[routing.ServerID]string] // listed ones, by id
	tracer  *recorder.Recorder                          // nil: none
	stop    context.CancelFunc
	done    chan struct{}
	close   sync.Once
}

// classKey is a class with an effect: the module takes the effect from the class.
type classKey struct {
	name   string
	effect Effect
}

// New returns a Plugin that has no servers yet; Close ends it.
func New(o Options) (*Plugin, error) { return newPlugin(o, clock.NewSystem()) }

func newPlugin(o Options, c clock.Clock) (*Plugin, error) {
	if o.Refresh == 0 {
		o.Refresh = 500 * time.Millisecond
	}
	if o.Attempts == 0 {
		o.Attempts = 4
	}
	if o.Refresh < 0 || o.Attempts < 0 {
		return nil, errors.New("plugin: Refresh, Attempts: want more than 0")
	}
	p := &Plugin{opts: o, clock: c, classes: map[classKey]int{}, count: metrics.New(), done: make(chan struct{})}
	p.servers.Store(&map[routing.ServerID]string{})
	set := routing.Settings{Zones: 1, Kinds: 1, ParentKind: -1, OriginKind: -1, RoutersByZone: []int{1}, Routers: 1,
		MaxAttempts: o.Attempts, MaxRetryAfter: time.Second, CanCancel: true, WeightIsCapacity: true,
		CacheSlowStart: routing.SlowStart{InitialCapacity: 1}}
	for i, k := range o.Classes {
		if k.Name == "" || k.Aim <= 0 || k.Deadline <= 0 {
			return nil, fmt.Errorf("plugin: Classes[%d]: want a Name, an Aim and a Deadline", i)
		}
		for e := Safe; e <= Unsafe; e++ {
			p.classes[classKey{k.Name, e}] = len(set.Classes)
			set.Classes = append(set.Classes, routing.Class{Name: k.Name, Idempotency: routing.Idempotency(e), KeyWindow: k.Window,
				LatencyObjective: k.Aim, Deadline: k.Deadline, PriorityWeight: max(k.Worth, 0)})
			if k.Worth == 0 {
				set.Classes[len(set.Classes)-1].PriorityWeight = 1
			}
		}
	}
	for id, op := range o.Operations {
		if _, ok := p.classes[classKey{op.Class, op.Effect}]; !ok {
			return nil, fmt.Errorf("plugin: Operations[%q]: class %q is not one of Classes", id, op.Class)
		}
	}
	var err error
	if p.core, err = dispatch.New(p.clock, set, rand.Uint64(), p.count); err != nil {
		return nil, fmt.Errorf("plugin: %w", err)
	}
	if p.tracer, err = o.Trace.recorder(c, p.count, o.Classes); err != nil {
		return nil, fmt.Errorf("plugin: Trace: %w", err)
	}
	if p.tracer != nil {
		p.core.SetTracer(instrument.Dispatcher(p.tracer))
		go p.tracer.Run()
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		p.core.Run(ctx)
		close(p.done)
	}()
	return p, nil
}

// Close ends the plugin's goroutine. RPCs begun after it fail.
func (p *Plugin) Close() {
	p.close.Do(func() {
		p.stop()
		<-p.done
		if p.tracer != nil {
			p.tracer.Shutdown()
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
		grpc.WithChainUnaryInterceptor(p.unary),
		grpc.WithChainStreamInterceptor(p.stream),
	}
}

// request makes the core's request of an RPC.
func (p *Plugin) request(ctx context.Context, method string, req any) (*dispatch.Request, error) {
	op, ok := p.opts.Operations.Find(method)
	if !ok {
		return nil, status.Errorf(codeUnknown, "garnetline: %s is not in the description", method)
	}
	r := &dispatch.Request{Class: p.classes[classKey{op.Class, op.Effect}]}
	k := Key{}
	if p.opts.Key != nil {
		k = p.opts.Key(method, req)
	}
	if k.Object == 0 {
		k.Object = hash(method)
	}
	r.Object, r.Chunk, r.Group = routing.ObjectID(k.Object), k.Part, k.Group
	left := clock.Millis(p.opts.Classes[r.Class/int(Unsafe+1)].Deadline)
	if at, ok := ctx.Deadline(); ok {
		left = clock.Millis(time.Until(at))
	}
	r.Deadline = p.clock.Now() + left
	if p.tracer != nil {
		r.Client = &dispatch.ClientInfo{ReceivedAt: p.clock.Now(), TraceParent: caller(ctx)}
	}
	return r, nil
}

// listed tells the address of a server that may be sent to now.
func (p *Plugin) listed(id routing.ServerID) (string, bool) {
	addr, ok := (*p.servers.Load())[id]
	return addr, ok
}
