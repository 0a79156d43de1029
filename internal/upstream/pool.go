// Package upstream is the client side of the caches, parents and the origin: it carries
// dispatch's attempts to them over RESP.
//
// A Pool has one Upstream for each listed server. An Upstream is an actor: its goroutine owns
// the server's connections, the attempts in flight on them and those that are queued, and
// takes messages from a mailbox. Each connection has a reader goroutine besides, and each
// dial one of its own; both report to the actor. The Pool itself belongs to the goroutine of
// the dispatcher, which is the only one that may call it.
//
// Every attempt that Send accepted is completed exactly once.
package upstream

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// Options are what a Pool shares with its Upstreams.
type Options struct {
	Clock    clock.Clock
	Settings func() platformconfig.Upstream // as of now
	Guard    func() *routing.Guard          // as of now
	Complete func(dispatch.Completion)      // receives each attempt's completion; it may block
	Metrics  *metrics.Registry

	// Dial makes a connection; nil stands for TCP with TCP_NODELAY set.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	// MaxConnections bounds the connections to all servers together; zero is no bound.
	MaxConnections func() int64

	// PropagateTraces tells whether servers take the fields trace and kept. Those of the
	// platform do not.
	PropagateTraces bool

	openConnections *atomic.Int64 // of all Upstreams, those being dialed among them
}

// Pool holds an Upstream for each server of the endpoint list. Only the dispatcher's
// goroutine may call its methods, none of which blocks.
type Pool struct {
	Options
	ctx       context.Context
	upstreams map[routing.ServerID]*Upstream
}

// NewPool returns an empty pool. Its Upstreams close their connections when ctx ends.
func NewPool(ctx context.Context, options Options) *Pool {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	options.openConnections = new(atomic.Int64)
	return &Pool{Options: options, ctx: ctx, upstreams: map[routing.ServerID]*Upstream{}}
}

// dialTCP makes a TCP connection. The net package sets TCP_NODELAY on it: a command held back
// by the system would be lost when the connection is reset.
func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
}

// UpdateEndpoints applies a change of the endpoint list. A new server gets an Upstream; that
// of a removed one ends when no attempt is in flight there any more.
func (p *Pool) UpdateEndpoints(event platformconfig.WatchEvent) {
	listed := map[routing.ServerID]bool{}
	for _, endpoint := range event.Endpoints {
		listed[endpoint.ID] = endpoint.Phase != routing.Removed
		if listed[endpoint.ID] {
			p.ensureUpstream(endpoint)
		}
	}
	for id, upstream := range p.upstreams {
		if stays, named := listed[id]; !stays && (named || event.Snapshot) {
			upstream.drain()
		}
		if upstream.removed && upstream.inFlight.Load() == 0 {
			delete(p.upstreams, id)
		}
	}
}

// ensureUpstream starts an Upstream for a listed server, unless there is one. A server that
// has come back, or is listed at another address, is another process and gets a new one.
func (p *Pool) ensureUpstream(endpoint platformconfig.Endpoint) {
	upstream := p.upstreams[endpoint.ID]
	if upstream != nil && upstream.addr == endpoint.Addr && !upstream.removed {
		return
	}
	if upstream != nil {
		upstream.drain()
	}
	upstream = newUpstream(p.Options, endpoint.Addr)
	p.upstreams[endpoint.ID] = upstream
	go upstream.run(p.ctx)
}

// Send hands an attempt to its server's Upstream. It returns the completion of one that
// cannot be taken, or nil.
func (p *Pool) Send(attempt *dispatch.Attempt) *dispatch.Completion {
	upstream := p.upstreams[attempt.Decision.Server]
	if upstream == nil || upstream.removed {
		return dispatch.Unsent(attempt, routing.NotSent)
	}
	if upstream.inFlight.Load() >= maxInFlight {
		return dispatch.Unsent(attempt, routing.Rejected)
	}
	attempt.TransportState = upstream
	upstream.inFlight.Add(1)
	upstream.mailbox <- message{send: attempt}
	return nil
}

// TraceRetained notifies a server, with the next command written to it, that a trace in which
// it took part is retained. A server to which nothing is sent is not notified; its own limit
// then drops what it holds of the trace.
func (p *Pool) TraceRetained(server routing.ServerID, id trace.ID) {
	upstream := p.upstreams[server]
	if upstream == nil || !p.PropagateTraces {
		return
	}
	select {
	case upstream.retainedTraces <- id:
	default:
		p.Metrics.Add("verdicts_dropped", 1)
	}
}
