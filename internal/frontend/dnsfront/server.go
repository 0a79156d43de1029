// Package dns is the front that answers name lookups: a name carries class,
// object and part, and the answer is the box that the core chose for them. It
// is off unless an operator's file switches it on.
//
// Names have the form
//
//	PART.OBJECT[.gGROUP].CLASS.ZONE
//
// as in 3.7f3a9c21e0b4d655.g17.video-part.garnetline.local. An A lookup gives
// the address; SRV gives the port too, and a target that resolves for a second.
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
	targetLifetimeMs = 1000.0 // ms for which the target of an SRV answer resolves
	ioTimeout        = 2 * time.Second
	idleTimeout      = 4 * time.Second
)

// Dispatcher is what the front needs of the core.
type Dispatcher interface {
	Submit(*dispatch.Request) bool
	Disconnect(*dispatch.Request)
}

// Options are what a Server needs.
type Options struct {
	Config
	Clock      clock.Clock
	Dispatcher Dispatcher
	Classes    func() []routing.Class // as of now; their names and places do not change
	Guard      func() *routing.Guard
	Metrics    *metrics.Registry
}

// Server answers lookups over UDP and TCP. It is a carrier too: the attempt of
// a lookup is over once its box is named.
type Server struct {
	Options
	slots chan struct{}
	udp   *dns.Server
	tcp   *dns.Server

	mu           sync.Mutex
	addresses    map[routing.ServerID]netip.AddrPort
	targetExpiry map[routing.ServerID]float64 // until when an SRV target resolves
}

// New returns a server that has not been started.
func New(o Options) *Server {
	return &Server{Options: o, slots: make(chan struct{}, max(o.MaxInflight, 1)),
		addresses: map[routing.ServerID]netip.AddrPort{}, targetExpiry: map[routing.ServerID]float64{}}
}

// Start listens on UDP and TCP and serves until Stop. It returns the address
// taken, which tells the port where the configuration has 0.
func (s *Server) Start() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("dns: listen: %w", err)
	}
	at := l.Addr().(*net.TCPAddr).AddrPort()
	pc, err := net.ListenPacket("udp", at.String())
	if err != nil {
		l.Close()
		return at, fmt.Errorf("dns: listen: %w", err)
	}
	idle := func() time.Duration { return idleTimeout }
	s.udp = &dns.Server{PacketConn: pc, Handler: s, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout}
	s.tcp = &dns.Server{Listener: netutil.LimitListener(l, max(s.MaxConnections, 1)), Handler: s, ReadTimeout: ioTimeout,
		WriteTimeout: ioTimeout, IdleTimeout: idle}
	var up sync.WaitGroup
	for _, d := range []*dns.Server{s.udp, s.tcp} {
		up.Add(1)
		d.NotifyStartedFunc = up.Done
		go d.ActivateAndServe()
	}
	up.Wait()
	return at, nil
}

// Shutdown ends both listeners once what is open is answered, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Join(s.udp.ShutdownContext(ctx), s.tcp.ShutdownContext(ctx))
}

// UpdateEndpoints keeps the boxes' addresses.
func (s *Server) UpdateEndpoints(ev platformconfig.WatchEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ev.Snapshot {
		clear(s.addresses)
	}
	for _, h := range ev.Endpoints {
		if s.addresses[h.ID] = h.Addr; h.Phase == routing.Removed {
			delete(s.addresses, h.ID)
		}
	}
}

// Send names the box of an attempt.
func (s *Server) Send(a *dispatch.Attempt) *dispatch.Completion {
	if g := s.Guard(); g.Excludes(a.Decision.Server) || g.Excludes(a.Decision.FillSource) {
		return dispatch.Unsent(a, routing.NotSent)
	}
	return dispatch.Resolved(a)
}

// Cancel has nothing to give up: no attempt is out after Send.
func (s *Server) Cancel(*dispatch.Attempt) {}

// Release has nothing to book either.
func (s *Server) Release(*dispatch.Attempt) {}

// selectServer has the core choose a box.
func (s *Server) selectServer(l query) (netip.AddrPort, routing.ServerID, bool) {
	if s.mayBeStale(l) {
		return netip.AddrPort{}, 0, false
	}
	answers := make(chan dispatch.Response, 1)
	r := &dispatch.Request{Class: l.class, Object: l.object, Chunk: l.chunk, Group: max(l.group, 0), Transport: s,
		Deadline: s.Clock.Now() + s.TimeoutMs, Respond: func(a dispatch.Response) { answers <- a }}
	if !s.Dispatcher.Submit(r) {
		return netip.AddrPort{}, 0, false
	}
	// The core answers by the deadline; the wait here is bounded for the case
	// that it stops meanwhile.
	wait := time.NewTimer(clock.Duration(s.TimeoutMs) + ioTimeout)
	defer wait.Stop()
	var a dispatch.Response
	select {
	case a = <-answers:
	case <-wait.C:
		s.Dispatcher.Disconnect(r)
	}
	// Held against the change log once more: the answer leaves now.
	if a.Kind != dispatch.Served || s.Guard().Excludes(a.Server) || s.mayBeStale(l) {
		return netip.AddrPort{}, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.addresses[a.Server]
	if ok && at.Addr().Is4() {
		s.targetExpiry[a.Server] = s.Clock.Now() + targetLifetimeMs
		return at, a.Server, true
	}
	return at, 0, false
}

// mayBeStale tells whether old copies of the object may lie about. A DNS answer
// cannot say how old a copy may be, so no box may be named meanwhile.
func (s *Server) mayBeStale(l query) bool {
	return !s.Classes()[l.class].Write && s.Guard().MayBeStale(clock.Duration(s.Clock.Now()), l.object, l.group)
}
