package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// A new cache may have the address of one that has gone: it is another peer,
// with connections of its own, and the old id gets nothing more.
func TestAddressReused(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	dials := make(chan netip.AddrPort, 4)
	g := &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 2: true, 8: true}}
	ends := make(chan dispatch.Completion, 4)
	p := NewPool(ctx, Options{Clock: clock.NewManual(1.7e12), Settings: func() platformconfig.Upstream {
		return platformconfig.Upstream{IdleTimeout: 15000, ConnectTimeout: 60_000, MaxStreams: 3}
	}, MaxConnections: func() int64 { return 0 },
		Guard: func() *routing.Guard { return g }, Metrics: metrics.New(), Complete: func(e dispatch.Completion) { ends <- e },
		Dial: func(_ context.Context, to netip.AddrPort) (net.Conn, error) {
			dials <- to
			return nil, errors.New("refused")
		}})
	at := netip.MustParseAddrPort("127.0.0.9:5050")
	host := func(id int, phase routing.Phase) platformconfig.Endpoint {
		return platformconfig.Endpoint{Server: routing.Server{ID: routing.ServerID(id), Phase: phase}, Addr: at}
	}
	attempt := func(id int) *dispatch.Attempt {
		return &dispatch.Attempt{Request: &dispatch.Request{TransactionID: fmt.Sprint(id)}, Class: &routing.Class{}, ExpiresAt: 1.7e12 + 1000,
			Decision: routing.SendAttempt{Server: routing.ServerID(id), FillSource: 8}}
	}
	p.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{host(1, routing.Ready)}})
	old := p.upstreams[1]
	p.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Endpoints: []platformconfig.Endpoint{host(1, routing.Removed), host(2, routing.Ready)}})
	if p.upstreams[1] != nil || p.upstreams[2] == nil || p.upstreams[2] == old {
		t.Fatalf("peers %v", p.upstreams)
	}
	if e := p.Send(attempt(1)); e == nil || e.Result != routing.NotSent {
		t.Errorf("an attempt to the one that has gone: %v", e)
	}
	if e := p.Send(attempt(2)); e != nil {
		t.Errorf("an attempt to the new one: %v", e.Result)
	}
	if to, e := <-dials, <-ends; to != at || e.Result != routing.ConnectFailed {
		t.Errorf("dialled %v, ended as %v", to, e.Result)
	}
	<-old.stopped // it ends by itself: nothing is out
}
