// Package http is the front for the platform's protocol: HTTP/1.1 over
// textproto, one request at a time on a connection. It parses and answers;
// it decides nothing.
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

// Dispatcher is what the front needs of the core.
type Dispatcher interface {
	Submit(*dispatch.Request) bool
	Disconnect(*dispatch.Request)
}

// Options are what a Server needs.
type Options struct {
	Clock          clock.Clock
	Dispatcher     Dispatcher
	Transport      dispatch.Transport
	Classes        func() []routing.Class // as of now; their names and places do not change
	Ready          func() bool            // it has a list of caches
	Metrics        *metrics.Registry
	MaxConnections func() int // connections open at once, as of now
	RecordClient   bool       // requests are to tell where they come from
	// Handler answers every request by itself, one a connection; nil: requests go to the core.
	Handler func(ctx context.Context, method, path string) (status int, body []byte)
}

// Server owns the listener and the clients' connections.
type Server struct {
	Options
	connections        sync.WaitGroup
	keepAlivesDisabled atomic.Bool   // answers say so and no connection is kept
	shuttingDown       atomic.Bool   // what is idle is closed
	healthChecksFail   atomic.Bool   // the health check says so
	acceptDeadline     time.Time     // the listener is closed by then; set when the end begins
	serveDone          chan struct{} // closed when Serve has returned
	connectionClosed   chan struct{} // a connection was given back
	mu                 sync.Mutex
	conns              map[*conn]bool
	listener           net.Listener
}

// New returns a server that has not been started.
func New(o Options) *Server {
	return &Server{Options: o, conns: map[*conn]bool{}, connectionClosed: make(chan struct{}, 1), serveDone: make(chan struct{})}
}

// Serve accepts connections until Finish closes the listener. It is called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.serveDone)
	s.mu.Lock()
	s.listener = l
	if s.keepAlivesDisabled.Load() { // before it began
		l.Close()
	}
	s.mu.Unlock()
	for {
		s.drainBacklog()
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTimeout(err) { // the end has begun, and nothing waits
			if s.shuttingDown.Load() {
				l.Close()
			}
			continue
		}
		if err != nil { // out of descriptors, or a client that has gone again
			s.Metrics.Add("accept_errors", 1)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.Metrics.Add("connections_taken", 1)
		s.connections.Add(1)
		c := s.newConn(nc)
		s.admit(c)
		go func() {
			defer s.connections.Done()
			c.serve()
		}()
	}
}

// drainBacklog lets one more connection be accepted at the end, if it waits already.
//
// Symptom guarded against: a listener that is closed resets what waits to be accepted,
// with the requests that those connections have brought.
func (s *Server) drainBacklog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shuttingDown.Load() || s.listener == nil {
		return
	}
	until := time.Now().Add(backlogWait)
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || until.After(s.acceptDeadline) || l.SetDeadline(until) != nil {
		s.listener.Close()
	}
}

// admit waits until there is room for one more connection, and makes it.
//
// Symptom guarded against: connections that say nothing, or that asked once and
// stay, took all that may be open, and the usual clients waited outside.
func (s *Server) admit(c *conn) {
	for {
		s.mu.Lock()
		room := len(s.conns) < max(s.MaxConnections(), 1) || s.shuttingDown.Load() // at the end no more will come
		if room {
			s.conns[c] = true
		} else if v := s.evictionCandidate(); v != nil {
			s.Metrics.Add("connections_evicted", 1)
			v.evicted = true
			v.text.NetConn.SetReadDeadline(time.Now())
		}
		s.mu.Unlock()
		if room {
			return
		}
		select {
		case <-s.connectionClosed:
		case <-time.After(evictionInterval):
		}
	}
}

// evictionCandidate is the connection that can best be done without, or nil: one that was
// refused and is still read, then one that has had time for its first request,
// then the one that is idle for longest. Each is the longest of its kind.
func (s *Server) evictionCandidate() *conn {
	var best *conn
	for c := range s.conns {
		if c.evicted || c.state == stateActive || c.state == stateNew && s.Clock.Now()-c.stateSince < newConnGraceMs {
			continue
		}
		if best == nil || c.state < best.state || c.state == best.state && c.stateSince < best.stateSince {
			best = c
		}
	}
	return best
}

// FailHealthChecks makes the health check fail; all else goes on.
func (s *Server) FailHealthChecks() { s.healthChecksFail.Store(true) }

// StopAccepting ends Serve and has every answer end its connection. What is open goes
// on, and what waits to be accepted is left to others who hold the socket.
func (s *Server) StopAccepting() {
	s.keepAlivesDisabled.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
}

// Shutdown ends Serve, closes idle connections, lets the others finish what is
// open on them and returns when all are closed.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.keepAlivesDisabled.Store(true)
	s.shuttingDown.Store(true)
	s.acceptDeadline = time.Now().Add(maxBacklogWait)
	for c := range s.conns {
		if c.state != stateActive && !c.receiving {
			c.text.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(c.shutdownReadTimeout())))
		}
	}
	s.mu.Unlock()
	s.drainBacklog() // the listener, if there is one already
	<-s.serveDone
	s.connections.Wait()
}
