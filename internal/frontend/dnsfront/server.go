// Package dnsfront answers DNS queries with the server that the dispatcher selects: a name
// carries class, object and chunk. It is off unless the operators' configuration enables it.
//
// Names have the form
//
//	CHUNK.OBJECT[.gGROUP].CLASS.ZONE
//
// as in 3.7f3a9c21e0b4d655.g17.video-part.garnetline.local. The answer to an A query is the
// address of the server. An SRV query is answered with the port too, and with a target name
// that resolves for a second.
//
// A Server owns its sockets and the addresses of the listed servers. Queries are handled on
// goroutines of the DNS library; all methods may be called from any goroutine.
package dnsfront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/miekg/dns"
	"golang.org/x/net/netutil"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const (
	recordTTL        = 0      // seconds; with 1 an answer could outlive a drain
	targetLifetimeMs = 1000.0 // for which the target of an SRV answer resolves
	ioTimeout        = 2 * time.Second
	idleTimeout      = 4 * time.Second
)

// Dispatcher takes the requests that queries stand for.
type Dispatcher interface {
	// Submit hands a request over. It returns false if the dispatcher has stopped.
	Submit(*dispatch.Request) bool
	// Disconnect reports that nobody waits for the response to a request any more.
	Disconnect(*dispatch.Request)
}

// Options are what a Server needs.
type Options struct {
	Config
	Clock      clock.Clock
	Dispatcher Dispatcher

	// Classes returns the classes of the current configuration. Their names and order do
	// not change while the server runs.
	Classes func() []routing.Class
	Guard   func() *routing.Guard // the latest one
	Metrics *metrics.Registry
}

// Server answers queries over UDP and TCP. It is also the dispatch.Transport of their
// requests: an attempt is complete once its server is selected, as the client connects to
// the server by itself.
type Server struct {
	Options
	slots chan struct{} // one for each query that may wait for the dispatcher
	udp   *dns.Server
	tcp   *dns.Server

	mu           sync.Mutex
	addresses    map[routing.ServerID]netip.AddrPort
	targetExpiry map[routing.ServerID]float64 // until when a server's SRV target resolves
}

var (
	_ dispatch.Transport        = (*Server)(nil)
	_ dispatch.EndpointListener = (*Server)(nil)
)

// New returns a server that does not listen yet.
func New(o Options) *Server {
	return &Server{
		Options:      o,
		slots:        make(chan struct{}, max(o.MaxInflight, 1)),
		addresses:    map[routing.ServerID]netip.AddrPort{},
		targetExpiry: map[routing.ServerID]float64{},
	}
}

// Start listens on UDP and TCP and answers queries until Shutdown; ctx bounds the start alone.
// It returns the address in use, which has the port that was taken where the configured one is 0.
func (s *Server) Start(ctx context.Context) (netip.AddrPort, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("dns: listen: %w", err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	packetConn, err := listenConfig.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		_ = listener.Close()
		return address, fmt.Errorf("dns: listen: %w", err)
	}
	s.udp = &dns.Server{
		PacketConn:   packetConn,
		Handler:      s,
		ReadTimeout:  ioTimeout,
		WriteTimeout: ioTimeout,
	}
	s.tcp = &dns.Server{
		Listener:     netutil.LimitListener(listener, max(s.MaxConnections, 1)),
		Handler:      s,
		ReadTimeout:  ioTimeout,
		WriteTimeout: ioTimeout,
		IdleTimeout:  func() time.Duration { return idleTimeout },
	}
	var started sync.WaitGroup
	for _, server := range []*dns.Server{s.udp, s.tcp} {
		started.Add(1)
		server.NotifyStartedFunc = started.Done
		go func() { _ = server.ActivateAndServe() }()
	}
	started.Wait()
	return address, nil
}

// Shutdown closes the sockets once the open queries are answered, or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Join(s.udp.ShutdownContext(ctx), s.tcp.ShutdownContext(ctx))
}

// UpdateEndpoints keeps the addresses of the listed servers.
func (s *Server) UpdateEndpoints(ev platformconfig.WatchEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ev.Snapshot {
		clear(s.addresses)
	}
	for _, endpoint := range ev.Endpoints {
		if endpoint.Phase == routing.Removed {
			delete(s.addresses, endpoint.ID)
		} else {
			s.addresses[endpoint.ID] = endpoint.Addr
		}
	}
}

// Send completes an attempt with the server that was selected for it, unless that server may
// not be used any more.
func (s *Server) Send(attempt *dispatch.Attempt) *dispatch.Completion {
	guard := s.Guard()
	if guard.Excludes(attempt.Decision.Server) || guard.Excludes(attempt.Decision.FillSource) {
		return dispatch.Unsent(attempt, routing.NotSent)
	}
	return dispatch.Resolved(attempt)
}
