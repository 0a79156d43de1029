// Package httpfront serves the platform's client protocol: HTTP/1.1, one request at a time on
// a connection. It reads and validates requests, hands them to the dispatcher and writes the
// responses. It makes no routing decision. The admin API uses the same server with a Handler.
//
// A Server owns the listener and all client connections. Each connection has a goroutine that
// owns it; a second one reads ahead while a request is open, so that a client that
// disconnects is noticed at once. Exported methods may be called from any goroutine.
package httpfront

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// Dispatcher takes the requests of clients.
type Dispatcher interface {
	// Submit hands a request over. It returns false if the dispatcher has stopped; the
	// request's Respond is then never called.
	Submit(*dispatch.Request) bool
	// Disconnect reports that the client of a submitted request has disconnected.
	Disconnect(*dispatch.Request)
}

// Options are what a Server needs.
type Options struct {
	Clock      clock.Clock
	Dispatcher Dispatcher
	Transport  dispatch.Transport // forwards the attempts of the requests

	// Classes returns the classes of the current configuration. Their names and order do
	// not change while the server runs.
	Classes func() []routing.Class

	// Ready reports whether requests can be served; the health check fails until then.
	Ready   func() bool
	Metrics *metrics.Registry

	// MaxConnections returns how many connections may be open at once. It is asked for each
	// new connection.
	MaxConnections func() int

	// RecordClient has requests carry the client's address and trace context.
	RecordClient bool

	// Handler, if set, answers every request in place of the dispatcher, one request a
	// connection.
	Handler func(ctx context.Context, method, path string) (status int, body []byte)
}

// Server owns a listener and the client connections that it accepted.
type Server struct {
	Options
	connections        sync.WaitGroup
	keepAlivesDisabled atomic.Bool   // every response closes its connection
	shuttingDown       atomic.Bool   // idle connections are closed
	healthChecksFail   atomic.Bool   // set by FailHealthChecks
	serveDone          chan struct{} // closed when Serve has returned
	connectionClosed   chan struct{} // holds one value once a connection was closed

	mu             sync.Mutex
	conns          map[*conn]bool
	listener       net.Listener
	acceptDeadline time.Time // the listener is closed by then; set by Shutdown
}

// New returns a server that does not accept connections yet.
func New(o Options) *Server {
	return &Server{
		Options:          o,
		conns:            map[*conn]bool{},
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
		case isTimeout(err): // nothing waits to be accepted
			if s.shuttingDown.Load() {
				_ = listener.Close()
			}
		default: // out of descriptors, or a client that has disconnected again
			s.Metrics.Add("accept_errors", 1)
			time.Sleep(acceptRetryInterval)
		}
	}
}

// setListener keeps the listener for StopAccepting and Shutdown, and closes it if one of them
// was called before.
func (s *Server) setListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	if s.keepAlivesDisabled.Load() {
		_ = listener.Close()
	}
}

// limitBacklogWait bounds the next accept once the server shuts down, so that connections
// that already wait to be accepted are served and the listener is closed after them.
//
// Symptom guarded against: a listener that is closed resets the connections that wait to be
// accepted, together with the requests that they have brought.
func (s *Server) limitBacklogWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shuttingDown.Load() || s.listener == nil {
		return
	}
	until := time.Now().Add(backlogWait)
	limited, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || until.After(s.acceptDeadline) || limited.SetDeadline(until) != nil {
		_ = s.listener.Close()
	}
}

// startConn serves an accepted connection on a goroutine of its own, as soon as there is
// capacity for one more.
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

// admit waits until there is capacity for one more connection, and evicts others for it.
//
// Symptom guarded against: connections that sent nothing, or that stayed idle after one
// request, used up all that may be open, and the usual clients were not accepted.
func (s *Server) admit(c *conn) {
	for !s.tryAdmit(c) {
		select {
		case <-s.connectionClosed:
		case <-time.After(evictionInterval):
		}
	}
}

// tryAdmit adds a connection if there is capacity, and evicts another one if there is none.
// At shutdown there is always capacity, as no more connections will come.
func (s *Server) tryAdmit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < max(s.MaxConnections(), 1) || s.shuttingDown.Load() {
		s.conns[c] = true
		return true
	}
	if candidate := s.evictionCandidate(); candidate != nil {
		s.Metrics.Add("connections_evicted", 1)
		candidate.evicted = true
		candidate.setReadTimeout(0)
	}
	return false
}

// evictionCandidate returns the connection to be closed first, or nil if all are in use: one
// whose request was rejected and which is still read from, then a new one past its grace
// time, then the one that has been idle for longest. Within a state it is the oldest.
func (s *Server) evictionCandidate() *conn {
	var first *conn
	for c := range s.conns {
		if !c.evictable() {
			continue
		}
		if first == nil || c.state < first.state || c.state == first.state && c.stateSince < first.stateSince {
			first = c
		}
	}
	return first
}

// remove forgets a connection that was closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.connectionClosed <- struct{}{}:
	default:
	}
}

// FailHealthChecks makes the health check fail from now on. Requests are served as before.
func (s *Server) FailHealthChecks() { s.healthChecksFail.Store(true) }

// StopAccepting ends Serve and lets every response close its connection. Open requests are
// served. Connections that wait to be accepted are left to the other processes that hold
// the listening socket.
func (s *Server) StopAccepting() {
	s.keepAlivesDisabled.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Shutdown ends Serve after the connections that wait to be accepted, closes idle
// connections, waits until the others have been served, and returns once all are closed.
// Serve must have been called, or be called later.
func (s *Server) Shutdown() {
	s.beginShutdown()
	s.limitBacklogWait()
	<-s.serveDone
	s.connections.Wait()
}

// beginShutdown ends the wait of connections that have no request.
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
