// Package peer speaks RESP to caches, parents and the origin. Each has an
// actor with a mailbox that owns its connections and what is open on them.
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

// Options are what a Pool shares among its peers.
type Options struct {
	Clock          clock.Clock
	Settings       func() platformconfig.Upstream // as of now
	Guard          func() *routing.Guard          // as of now
	Complete       func(dispatch.Completion)      // takes the ends of attempts; it may block
	Metrics        *metrics.Registry
	Dial           func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // nil: TCP
	MaxConnections func() int64                                                   // connections of all peers together; 0: no bound
	// PropagateTraces says that peers take the fields trace and kept. The platform's do not.
	PropagateTraces bool
	openConnections *atomic.Int64 // of those, open or being dialled
}

// Pool holds the peers by id. It belongs to the core's goroutine.
type Pool struct {
	Options
	ctx       context.Context
	upstreams map[routing.ServerID]*Upstream
}

// NewPool returns a pool whose peers end with ctx.
func NewPool(ctx context.Context, o Options) *Pool {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
		}
	}
	o.openConnections = new(atomic.Int64)
	return &Pool{Options: o, ctx: ctx, upstreams: map[routing.ServerID]*Upstream{}}
}

// UpdateEndpoints takes a change of the list: new peers get an actor, those that left
// lose theirs once nothing is out.
func (p *Pool) UpdateEndpoints(ev platformconfig.WatchEvent) {
	named := map[routing.ServerID]bool{}
	for _, h := range ev.Endpoints {
		named[h.ID] = h.Phase != routing.Removed
		q := p.upstreams[h.ID]
		if q != nil && (q.addr != h.Addr || q.removed) && h.Phase != routing.Removed {
			q.drain() // another process, or the same at another address
			delete(p.upstreams, h.ID)
			q = nil
		}
		if q == nil && h.Phase != routing.Removed {
			q = newUpstream(p.Options, h.ID, h.Addr)
			p.upstreams[h.ID] = q
			go q.run(p.ctx)
		}
	}
	for id, q := range p.upstreams {
		if listed, ok := named[id]; !listed && (ok || ev.Snapshot) {
			q.drain()
		}
		if q.removed && q.inFlight.Load() == 0 {
			delete(p.upstreams, id)
		}
	}
}

// Send hands an attempt to its peer.
func (p *Pool) Send(a *dispatch.Attempt) *dispatch.Completion {
	q := p.upstreams[a.Decision.Server]
	if q == nil || q.removed {
		return dispatch.Unsent(a, routing.NotSent)
	}
	if q.inFlight.Load() >= maxInFlight {
		return dispatch.Unsent(a, routing.Rejected)
	}
	a.TransportState = q
	q.inFlight.Add(1)
	q.mailbox <- message{send: a}
	return nil
}

// TraceRetained tells a server, with what is next written to it, that a trace in which it had a
// part is kept. A server that is sent nothing for long is not told: it has a limit.
func (p *Pool) TraceRetained(server routing.ServerID, id trace.ID) {
	if q := p.upstreams[server]; q != nil && p.PropagateTraces {
		select {
		case q.retainedTraces <- id:
		default:
			p.Metrics.Add("verdicts_dropped", 1)
		}
	}
}

// Cancel has an attempt given up.
func (p *Pool) Cancel(a *dispatch.Attempt) {
	if q, ok := a.TransportState.(*Upstream); ok {
		q.mailbox <- message{cancel: a}
	}
}

// Release books that the core has taken the end of an attempt.
func (p *Pool) Release(a *dispatch.Attempt) {
	if q, ok := a.TransportState.(*Upstream); ok {
		q.inFlight.Add(-1)
	}
}
