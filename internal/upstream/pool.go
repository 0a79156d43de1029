// Package upstream is the client of the caches, parents and the origin. It sends the dispatcher's
// attempts to these servers over RESP and reads the replies.
//
// A Pool has one Upstream for each server of the endpoint list. An Upstream is an actor: its
// goroutine owns the connections to the server, the attempts in flight on them and the queued
// attempts, and receives messages from a mailbox. Each connection has a reader goroutine, and each
// dial runs in its own goroutine. These goroutines report to the actor. Only the dispatcher's
// goroutine may use the Pool.
//
// Every attempt that Send accepts is completed exactly once.
package upstream

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/logs"
	"garnetline/internal/memorybudget"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// Options configure a Pool and the Upstreams that it starts.
type Options struct {
	Clock    clock.Clock
	Settings func() platformconfig.Upstream // returns the current settings
	Guard    func() *routing.Guard          // returns the current guard
	Complete func(dispatch.Completion)      // receives the completion of each attempt; the call may block
	Metrics  *metrics.Registry

	// Log receives an event for each malformed reply, up to ten a second. The zero value logs nothing.
	Log zerolog.Logger

	// Dial connects to a server; nil means TCP with TCP_NODELAY set.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	// MaxConnections returns the limit of connections to all servers together; zero means no
	// limit.
	MaxConnections func() int64

	// Memory limits the bodies of replies that the router holds. Nil means no limit.
	Memory *memorybudget.Budget

	// PropagateTraces says whether the servers accept the command fields "trace" and "kept". The
	// platform's own servers do not accept them.
	PropagateTraces bool

	openConnections *atomic.Int64 // connections of all Upstreams, including those being dialed
}

// Pool holds an Upstream for each server of the endpoint list. Only the dispatcher's goroutine may
// call its methods. None of the methods blocks.
type Pool struct {
	Options
	ctx       context.Context
	upstreams map[routing.ServerID]*Upstream
}

// NewPool returns an empty pool. The Upstreams of the pool close their connections when ctx is
// done.
func NewPool(ctx context.Context, options Options) *Pool {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	options.openConnections = new(atomic.Int64)
	options.Log = logs.Throttled(options.Log, options.Clock)
	return &Pool{Options: options, ctx: ctx, upstreams: map[routing.ServerID]*Upstream{}}
}

// dialTCP makes a TCP connection. The net package sets TCP_NODELAY on the connection. This option
// is required: without it, the kernel may delay a command, and a reset of the connection would lose
// the delayed command.
func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
}

// UpdateEndpoints applies a change of the endpoint list. It starts an Upstream for each new server.
// The Upstream of a removed server ends when no attempt to that server is in flight.
func (p *Pool) UpdateEndpoints(event platformconfig.WatchEvent) {
	listed := map[routing.ServerID]bool{}
	for _, endpoint := range event.Endpoints {
		listed[endpoint.ID] = endpoint.Phase != routing.Removed
		if listed[endpoint.ID] {
			p.ensureUpstream(endpoint)
		}
	}
	for id, upstream := range p.upstreams {
		if stillListed, inEvent := listed[id]; !stillListed && (inEvent || event.Snapshot) {
			upstream.drain()
		}
		if upstream.removed && upstream.inFlight.Load() == 0 {
			delete(p.upstreams, id)
		}
	}
}

// ensureUpstream starts an Upstream for a listed server that has none. A server that is listed
// again after its removal, with another address or with another start time, is a different process. It
// gets a new Upstream.
func (p *Pool) ensureUpstream(endpoint platformconfig.Endpoint) {
	upstream := p.upstreams[endpoint.ID]
	if upstream != nil && upstream.servedBy(endpoint) {
		return
	}
	if upstream != nil {
		upstream.drain()
	}
	upstream = newUpstream(p.Options, endpoint)
	p.upstreams[endpoint.ID] = upstream
	go upstream.run(p.ctx)
}

// Send passes an attempt to the Upstream of its server and returns nil. If the Upstream cannot
// accept the attempt, Send returns a completion instead.
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

// TraceRetained tells a server that a trace in which the server took part is retained. One of the
// next commands to the server carries this message. If no further command follows, the server does
// not get the message. The server then removes its part of the trace because of its own limit for
// traces.
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
