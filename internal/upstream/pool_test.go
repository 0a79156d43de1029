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

// TestAddressReused checks that a new cache with the address of a removed cache is a different
// server. The new cache gets its own connections. The pool accepts no further attempt for the id of
// the removed cache.
func TestAddressReused(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const now = 1.7e12
	dials := make(chan netip.AddrPort, 4)
	completions := make(chan dispatch.Completion, 4)
	guard := &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 2: true, 8: true}}
	pool := NewPool(ctx, Options{
		Clock: clock.NewManual(now),
		Settings: func() platformconfig.Upstream {
			return platformconfig.Upstream{IdleTimeout: 15000, ConnectTimeout: 60_000, MaxStreams: 3}
		},
		MaxConnections: func() int64 { return 0 },
		Guard:          func() *routing.Guard { return guard },
		Metrics:        metrics.New(),
		Complete:       func(completion dispatch.Completion) { completions <- completion },
		Dial: func(_ context.Context, to netip.AddrPort) (net.Conn, error) {
			dials <- to
			return nil, errors.New("refused")
		},
	})
	addr := netip.MustParseAddrPort("127.0.0.9:5050")
	endpoint := func(id routing.ServerID, phase routing.Phase) platformconfig.Endpoint {
		return platformconfig.Endpoint{Server: routing.Server{ID: id, Phase: phase}, Addr: addr}
	}
	attempt := func(id routing.ServerID) *dispatch.Attempt {
		return &dispatch.Attempt{
			Request:   &dispatch.Request{TransactionID: fmt.Sprint(id)},
			Class:     &routing.Class{},
			Decision:  routing.SendAttempt{Server: id, FillSource: 8},
			ExpiresAt: now + 1000,
		}
	}
	pool.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{endpoint(1, routing.Ready)}})
	old := pool.upstreams[1]
	pool.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Endpoints: []platformconfig.Endpoint{endpoint(1, routing.Removed), endpoint(2, routing.Ready)}})
	if pool.upstreams[1] != nil || pool.upstreams[2] == nil || pool.upstreams[2] == old {
		t.Fatalf("got upstreams %v, want only a new one for server 2", pool.upstreams)
	}
	if completion := pool.Send(attempt(1)); completion == nil || completion.Result != routing.NotSent {
		t.Errorf("attempt to the removed server: got completion %v, want NotSent", completion)
	}
	if completion := pool.Send(attempt(2)); completion != nil {
		t.Errorf("attempt to the new server: completed by Send as %v, want it accepted", completion.Result)
	}
	if to, completion := <-dials, <-completions; to != addr || completion.Result != routing.ConnectFailed {
		t.Errorf("dialed %v and completed as %v, want the address of the new server and ConnectFailed", to, completion.Result)
	}
	<-old.stopped // the removed server's Upstream stops because nothing is in flight
}
