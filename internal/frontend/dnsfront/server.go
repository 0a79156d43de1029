// Package dnsfront is a DNS server for the selection of caches: the name in a query encodes a
// class, an object and a chunk, and the answer names the server that the dispatcher selects for
// them. The server runs only if the operators' configuration enables it.
//
// Names have the form
//
//	CHUNK.OBJECT[.gGROUP].CLASS.ZONE
//
// for example 3.7f3a9c21e0b4d655.g17.video-part.garnetline.local. The answer to an A query holds
// the address of the server. The answer to an SRV query holds its port and a target name, which
// resolves to the address for one second.
//
// A Server owns its sockets and a copy of the addresses in the endpoint list. The DNS library
// handles each query on a goroutine of its own. All methods may be called from any goroutine.
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
	recordTTL        = 0      // seconds; with 1, a cached answer could still name a server after its drain began
	targetLifetimeMs = 1000.0 // how long the target name of an SRV answer resolves
	ioTimeout        = 2 * time.Second
	idleTimeout      = 4 * time.Second
	// maxConnectionQueries is the number of queries after which a TCP connection is closed, so that no client holds it
	// for good. Queries that a client has sent beyond them are lost, so it is far above what clients send at once.
	maxConnectionQueries = 4096
)

// Dispatcher selects a server for each request. The DNS server submits one request for each query.
type Dispatcher interface {
	// Submit passes a request to the dispatcher. It returns false if the dispatcher has stopped.
	Submit(*dispatch.Request) bool
	// Disconnect reports that the DNS server no longer waits for the response to a request.
	Disconnect(*dispatch.Request)
}

// Options holds the settings and the dependencies of a Server.
type Options struct {
	Config
	Clock      clock.Clock
	Dispatcher Dispatcher

	// Classes returns the classes of the current configuration. Their names and order do
	// not change while the server runs.
	Classes func() []routing.Class
	Guard   func() *routing.Guard // returns the guard of the latest endpoint list
	Metrics *metrics.Registry
}

// Server answers DNS queries over UDP and TCP. It is also the dispatch.Transport of the requests
// that it submits. It forwards nothing, because the client of the DNS query connects to the
// selected server itself. An attempt is complete once its server is selected.
type Server struct {
	Options
	slots chan struct{} // holds one value for each query being answered
	udp   *dns.Server
	tcp   *dns.Server

	mu           sync.Mutex
	addresses    map[routing.ServerID]netip.AddrPort
	targetExpiry map[routing.ServerID]float64 // time in ms at which a server's SRV target stops resolving
}

var (
	_ dispatch.Transport        = (*Server)(nil)
	_ dispatch.EndpointListener = (*Server)(nil)
)

// New returns a Server that does not listen until Start is called.
func New(o Options) *Server {
	return &Server{
		Options:      o,
		slots:        make(chan struct{}, max(o.MaxInflight, 1)),
		addresses:    map[routing.ServerID]netip.AddrPort{},
		targetExpiry: map[routing.ServerID]float64{},
	}
}

// Start listens on UDP and TCP and answers queries until Shutdown is called. ctx applies only to
// opening the sockets. Start returns the address on which it listens. If the configured port is 0,
// the address has the port that the system assigned.
func (s *Server) Start(ctx context.Context) (netip.AddrPort, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("dns: listen over TCP: %w", err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	packetConn, err := listenConfig.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		_ = listener.Close()
		return address, fmt.Errorf("dns: listen over UDP: %w", err)
	}
	s.udp = &dns.Server{
		PacketConn:   packetConn,
		Handler:      s,
		ReadTimeout:  ioTimeout,
		WriteTimeout: ioTimeout,
	}
	s.tcp = &dns.Server{
		Listener:      netutil.LimitListener(listener, max(s.MaxConnections, 1)),
		Handler:       s,
		ReadTimeout:   ioTimeout,
		WriteTimeout:  ioTimeout,
		IdleTimeout:   func() time.Duration { return idleTimeout },
		MaxTCPQueries: maxConnectionQueries,
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

// Shutdown stops the server. It returns once the open queries are answered or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Join(s.udp.ShutdownContext(ctx), s.tcp.ShutdownContext(ctx))
}

// UpdateEndpoints applies a change of the endpoint list to the addresses of the servers.
func (s *Server) UpdateEndpoints(event platformconfig.WatchEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Snapshot {
		clear(s.addresses)
	}
	for _, endpoint := range event.Endpoints {
		if endpoint.Phase == routing.Removed {
			delete(s.addresses, endpoint.ID)
		} else {
			s.addresses[endpoint.ID] = endpoint.Addr
		}
	}
}

// Send completes an attempt with the server that the dispatcher selected. If the guard now excludes
// that server or the selected fill source, Send reports that the attempt was not sent.
func (s *Server) Send(attempt *dispatch.Attempt) *dispatch.Completion {
	guard := s.Guard()
	if guard.Excludes(attempt.Decision.Server) || guard.Excludes(attempt.Decision.FillSource) {
		return dispatch.Unsent(attempt, routing.NotSent)
	}
	return dispatch.Resolved(attempt)
}
