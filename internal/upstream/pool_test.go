package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

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

// TestRestartedServerIsAnotherProcess checks that a server with a new start time, at the same address and
// under the same id, gets none of the attempts that wait for its predecessor.
func TestRestartedServerIsAnotherProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const now = 1.7e12
	dials := make(chan chan net.Conn, 2)
	completions := make(chan dispatch.Completion, 2)
	guard := &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 8: true}}
	pool := NewPool(ctx, Options{
		Clock:          clock.NewManual(now),
		Settings:       func() platformconfig.Upstream { return platformconfig.Upstream{ConnectTimeout: 60_000, MaxStreams: 3} },
		MaxConnections: func() int64 { return 0 },
		Guard:          func() *routing.Guard { return guard },
		Metrics:        metrics.New(),
		Complete:       func(completion dispatch.Completion) { completions <- completion },
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			dialed := make(chan net.Conn)
			dials <- dialed
			return <-dialed, nil
		},
	})
	list := func(started time.Duration) *Upstream {
		server := routing.Server{ID: 1, Phase: routing.Ready, StartedAt: started}
		pool.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{
			{Server: server, Addr: netip.MustParseAddrPort("127.0.0.9:5050")},
		}})
		return pool.upstreams[1]
	}
	old := list(0)
	if list(0) != old {
		t.Error("got another Upstream for the same process")
	}
	waiting := &dispatch.Attempt{
		Request: &dispatch.Request{TransactionID: "a"}, Class: &routing.Class{}, ExpiresAt: now + 1000,
		Decision: routing.SendAttempt{Server: 1, FillSource: 8},
	}
	if completion := pool.Send(waiting); completion != nil {
		t.Fatalf("attempt completed by Send as %v, want it accepted", completion.Result)
	}
	dialed := <-dials
	if list(5*time.Second) == old {
		t.Fatal("got the same Upstream for a process that was started later")
	}
	if completion := <-completions; completion.Result != routing.NotSent {
		t.Errorf("attempt that waited for the old process completed as %v, want NotSent", completion.Result)
	}
	waiting.TransportState.Release(waiting)
	conn := newFakeConn()
	dialed <- conn // the new process accepts the connection that was meant for the old one
	<-old.stopped
	if written := conn.written.String(); written != "" {
		t.Errorf("got %q written to the new process", written)
	}
}
