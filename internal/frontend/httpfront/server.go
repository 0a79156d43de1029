// Package httpfront serves the platform's client protocol, which is HTTP/1.1 with one request at a
// time on a connection. It reads and validates requests, submits them to the dispatcher and writes
// the responses. Routing decisions are left to the dispatcher. The admin API uses the same server
// with Options.Handler set.
//
// A Server owns the listener and all client connections. Each connection is owned by a goroutine.
// While a request is open, another goroutine reads ahead, so that the server detects immediately
// that the client disconnects. Exported methods may be called from any goroutine.
package httpfront

import (
	"context"
	"errors"
	"math"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/logs"
	"garnetline/internal/memorybudget"
	"garnetline/internal/metrics"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

// Dispatcher serves the requests of clients.
type Dispatcher interface {
	// Submit passes a request to the dispatcher. It returns false if the dispatcher has stopped.
	// The dispatcher then never calls the request's Respond.
	Submit(*dispatch.Request) bool
	// Disconnect reports that the client of a submitted request has disconnected.
	Disconnect(*dispatch.Request)
}

// Options holds the settings and the dependencies of a Server.
type Options struct {
	Clock      clock.Clock
	Dispatcher Dispatcher
	Transport  dispatch.Transport // forwards the attempts of the requests

	// Classes returns the classes of the current configuration. Their names and order do
	// not change while the server runs.
	Classes func() []routing.Class

	// Ready reports whether requests can be served. The health check fails while Ready returns
	// false.
	Ready   func() bool
	Metrics *metrics.Registry

	// MaxConnections returns the maximum number of open connections. The server calls it for each
	// new connection.
	MaxConnections func() int

	// MaxShutdownConnections returns the maximum number of open connections at shutdown, when only the
	// connections in the backlog are still accepted. Nil means no limit.
	MaxShutdownConnections func() int

	// Memory limits what the connections hold. Nil means no limit.
	Memory *memorybudget.Budget

	// Log receives an event for each rejected request, up to ten a second. The zero value logs nothing.
	Log zerolog.Logger

	// RecordClient adds the client's address and trace context to the submitted requests.
	RecordClient bool

	// Handler, if set, answers every request in place of the dispatcher. The connection is
	// closed after each response.
	Handler func(ctx context.Context, method, path string) (status int, body []byte)
}

// Server owns a listener and the client connections that it accepted.
type Server struct {
	Options
	connections        sync.WaitGroup
	keepAlivesDisabled atomic.Bool // every response closes its connection
	shuttingDown       atomic.Bool // idle connections are closed
	healthChecksFail   atomic.Bool // set by FailHealthChecks
	rejectionLog       zerolog.Logger
	readers            textconn.Gate // limits the connections whose received bytes are processed at a time
	rejectionPacer     sharedPacer   // limits pipelined requests behind rejected ones
	serveDone          chan struct{} // closed when Serve returns
	connectionClosed   chan struct{} // receives a value when a connection is closed

	mu             sync.Mutex
	conns          map[*conn]bool
	listener       net.Listener
	acceptDeadline time.Time // time by which Serve closes the listener; set by Shutdown
	drainBy        float64   // time on Clock in ms; see DrainBy
}

// New returns a Server that accepts no connections until Serve is called.
func New(o Options) *Server {
	if o.MaxShutdownConnections == nil {
		o.MaxShutdownConnections = func() int { return math.MaxInt }
	}
	return &Server{
		Options:          o,
		conns:            map[*conn]bool{},
		drainBy:          math.Inf(1),
		rejectionLog:     logs.Throttled(o.Log, o.Clock),
		readers:          textconn.NewGate(readersPerProcessor * runtime.GOMAXPROCS(0)),
		connectionClosed: make(chan struct{}, 1),
		serveDone:        make(chan struct{}),
	}
}

// Serve accepts connections until StopAccepting or Shutdown closes the listener, and then
// returns nil. It is called once.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.serveDone)
	s.setListener(listener)
	for {
		s.limitBacklogWait()
		netConn, err := listener.Accept()
		if err == nil {
			s.startConn(netConn)
			continue
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err): // no connection is waiting in the backlog
			if s.shuttingDown.Load() {
				_ = listener.Close()
			}
		default: // no file descriptors are left, or the client disconnected before the accept
			s.Metrics.Add("accept_errors", 1)
			time.Sleep(acceptRetryInterval)
		}
	}
}

// setListener stores the listener for StopAccepting and Shutdown. If StopAccepting or Shutdown was
// called already, setListener closes the listener.
func (s *Server) setListener(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	if s.keepAlivesDisabled.Load() {
		_ = listener.Close()
	}
}

// openListener returns the listener, or nil before Serve, and the time by which Serve closes it.
func (s *Server) openListener() (listener net.Listener, closeBy time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener, s.acceptDeadline
}

// limitBacklogWait sets a deadline for the next accept if the server is shutting down. Serve then
// accepts the connections that wait in the backlog before it closes the listener. If the listener
// were closed immediately, those connections would be reset and their requests would be lost.
func (s *Server) limitBacklogWait() {
	listener, closeBy := s.openListener()
	if !s.shuttingDown.Load() || listener == nil {
		return
	}
	deadline := time.Now().Add(backlogWait)
	deadlineListener, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok || deadline.After(closeBy) || deadlineListener.SetDeadline(deadline) != nil {
		closeWithin(listener, maxCloseWait)
	}
}

// startConn waits until admit has added an accepted connection. It then starts a goroutine that
// serves the connection.
func (s *Server) startConn(netConn net.Conn) {
	s.Metrics.Add("connections_taken", 1)
	s.connections.Add(1)
	c := s.newConn(netConn)
	s.admit(c)
	go func() {
		defer s.connections.Done()
		c.serve()
	}()
}

// admit adds a connection to the open connections. It waits until fewer than MaxConnections are
// open, and evicts other connections while it waits. Without eviction, connections that send
// nothing or stay idle after a request could use up MaxConnections and keep other clients out.
func (s *Server) admit(c *conn) {
	for !s.tryAdmit(c) {
		select {
		case <-s.connectionClosed:
		case <-time.After(evictionInterval):
		}
	}
}

// connectionLimit returns how many connections may be open now. The caller holds s.mu.
func (s *Server) connectionLimit() int {
	if s.shuttingDown.Load() {
		return s.MaxShutdownConnections()
	}
	return s.MaxConnections()
}

// tryAdmit adds a connection if fewer than connectionLimit are open and the memory budget has room for
// another one. Otherwise it evicts another connection and returns false.
func (s *Server) tryAdmit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasRoom := len(s.conns) < max(s.connectionLimit(), 1)
	if hasRoom && s.Memory.Reserve(memorybudget.Connections, connectionBytes, 0) == nil {
		s.conns[c] = true
		return true
	}
	s.evict()
	return false
}

// evict evicts one idle connection, or up to maxEvictions connections without a whole first request.
// If it evicted only one of the latter, clients that open connections by hundreds would keep others
// waiting for an accept. The caller holds s.mu.
func (s *Server) evict() {
	for range maxEvictions {
		candidate := s.evictionCandidate()
		if candidate == nil {
			return
		}
		s.evictConn(candidate)
		if candidate.state >= statePaused {
			return
		}
	}
}

// EnforceConnectionLimit evicts connections if more than MaxConnections are open, because the limit has
// become lower.
func (s *Server) EnforceConnectionLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	staying := 0
	for c := range s.conns {
		if !c.evicted {
			staying++
		}
	}
	for excess := staying - max(s.connectionLimit(), 1); excess > 0; excess-- {
		candidate := s.evictionCandidate()
		if candidate == nil {
			return
		}
		s.evictConn(candidate)
	}
}

// evictConn makes the pending read of a connection fail. The caller holds s.mu.
func (s *Server) evictConn(candidate *conn) {
	s.Metrics.Add("connections_evicted", 1)
	candidate.evicted = true
	candidate.setReadTimeout(0)
}

// evictionCandidate returns the connection to evict next, or nil if none may be evicted. It prefers
// connections in stateRejected, then connections in stateNew older than newConnGraceMs, then
// connections in statePaused, then connections in stateIdle. Among connections in the same state, it
// returns the connection that entered the state first. The caller holds s.mu.
func (s *Server) evictionCandidate() *conn {
	var candidate *conn
	for c := range s.conns {
		if !c.evictable() {
			continue
		}
		if candidate == nil || c.state < candidate.state || c.state == candidate.state && c.stateSince < candidate.stateSince {
			candidate = c
		}
	}
	return candidate
}

// remove deletes a closed connection from the open connections and wakes admit.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.connectionClosed <- struct{}{}:
	default:
	}
}

// FailHealthChecks makes all later health checks fail. Other requests are served as before.
func (s *Server) FailHealthChecks() { s.healthChecksFail.Store(true) }

// StopAccepting closes the listener, which ends Serve, and makes every later response close its
// connection, unless the client has already sent more requests on it. Requests that are open are still
// served. Connections in the backlog are left to the other processes that hold the listening socket.
func (s *Server) StopAccepting() {
	s.keepAlivesDisabled.Store(true)
	if listener, _ := s.openListener(); listener != nil {
		closeWithin(listener, maxCloseWait)
	}
}

// closeWithin closes a listener. It returns before the end if that takes longer: a close waits for an accept that
// waits in the kernel.
func closeWithin(listener net.Listener, limit time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = listener.Close()
	}()
	waitWithin(closed, limit)
}

// waitWithin waits until a channel is closed, or until limit has passed.
func waitWithin(closed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}

// DrainBy limits how long the server reads requests that clients sent before the last response on their
// connection. The argument is the time on Options.Clock in ms by which the last response must be written.
// Without DrainBy there is no limit.
func (s *Server) DrainBy(at float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainBy = at
}

// drainingMs returns the time in ms that is left until the limit set by DrainBy.
func (s *Server) drainingMs() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainBy - s.Clock.Now()
}

// Shutdown makes Serve accept the connections in the backlog and then return. It closes idle
// connections and lets open requests finish. It returns when Serve has returned, or has not for maxServeWait,
// and all connections are closed. Serve must therefore be called before Shutdown or concurrently.
func (s *Server) Shutdown() {
	s.beginShutdown()
	s.limitBacklogWait()
	waitWithin(s.serveDone, maxServeWait)
	s.connections.Wait()
}

// beginShutdown marks the server as shutting down. It shortens the read timeout of connections on
// which no byte of a request has arrived.
func (s *Server) beginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlivesDisabled.Store(true)
	s.shuttingDown.Store(true)
	s.acceptDeadline = time.Now().Add(maxBacklogWait)
	for c := range s.conns {
		if c.state != stateActive && !c.receiving {
			c.setReadTimeout(c.shutdownReadTimeoutMs())
		}
	}
}
