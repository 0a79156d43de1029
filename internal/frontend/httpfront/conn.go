package httpfront

import (
	"context"
	"io"
	"net"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/textconn"
)

// connState is what a connection is at, in the order in which they make room.
type connState int

const (
	stateRejected connState = iota // it has its answer and is read to its end
	stateNew                       // its first request is not whole
	stateIdle
	stateActive
)

// conn is one client's connection. The goroutine in serve owns it; phase to kicked are
// the server's, under its lock.
type conn struct {
	server     *Server
	text       *textconn.Conn
	acceptedAt float64
	state      connState
	stateSince float64 // when the phase began
	receiving  bool    // a request has begun to come
	evicted    bool    // it is to make room
	lastReadAt float64 // when the newest of what was read came
}

func (s *Server) newConn(nc net.Conn) *conn {
	now := s.Clock.Now()
	return &conn{server: s, text: textconn.New(nc), acceptedAt: now, state: stateNew, stateSince: now}
}

// setState goes over to a phase, in which reads may go on for some time. A
// connection that is to make room, or is idle when all end, has none.
func (c *conn) setState(p connState, asking bool, within float64) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if p != c.state {
		c.state, c.stateSince = p, c.server.Clock.Now()
	}
	c.receiving = asking
	switch {
	case p == stateActive:
		c.text.NetConn.SetReadDeadline(time.Time{})
		return
	case c.evicted && p == stateRejected:
		within = 0
	case c.evicted && asking:
		within = min(within, evictedReadTimeoutMs)
	case c.evicted:
		within = 0
	case c.server.shuttingDown.Load() && !asking:
		within = min(within, c.shutdownReadTimeout())
	}
	c.text.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(within)))
}

// shutdownReadTimeout is how long a connection without a request waits for one when all end.
func (c *conn) shutdownReadTimeout() float64 {
	if c.state == stateNew {
		return shutdownFirstRequestTimeoutMs
	}
	return 0
}

// remaining is what is left of a time that began with the connection.
func (c *conn) remaining(of float64) float64 { return c.acceptedAt + of - c.server.Clock.Now() }

// serve answers the requests of a connection. It is the one place where a
// client's connection is given back.
func (c *conn) serve() {
	s := c.server
	defer func() {
		c.text.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		select {
		case s.connectionClosed <- struct{}{}:
		default:
		}
	}()
	for first := true; c.awaitRequest(first); first = false {
		req, bad := c.readRequest()
		if bad != nil {
			if bad.status != 0 {
				s.Metrics.Add("requests_malformed", 1)
				c.rejectUnread(bad)
			}
			return
		}
		// Symptom guarded against: a connection whose answer had not said that it
		// ends was closed when the end began just then, on the next request.
		if !c.handleRequest(req) {
			return
		}
		if req.closeAfter {
			c.linger(finalLingerTimeoutMs)
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(first bool) bool {
	p, within, rest := stateNew, c.remaining(firstRequestTimeoutMs), c.remaining(firstRequestTimeoutMs)
	if !first {
		p, within, rest = stateIdle, idleTimeoutMs, requestTimeoutMs
	}
	c.setState(p, false, within)
	c.text.LimitRead(maxHeaderBytes)
	c.text.BeginMessage()
	if _, err := c.text.R.Peek(1); err != nil && !(isTimeout(err) && c.text.Readable()) {
		return false
	}
	c.setState(p, true, rest)
	return true
}

// keepAlive tells whether the connection stays open after a request.
func (c *conn) keepAlive(r *request) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !r.closeAfter && !c.server.keepAlivesDisabled.Load() && !c.evicted && !c.text.Discarded()
}

// handleRequest answers one request; it reports whether the connection still holds.
func (c *conn) handleRequest(r *request) bool {
	if c.server.Handler != nil {
		c.setState(stateActive, true, 0)
		status, body := c.server.Handler(context.Background(), r.method, r.path)
		r.closeAfter = true
		return c.writeMessage(r, status, "Content-Type: text/plain\r\n", body)
	}
	if r.path == "/healthz" {
		return c.handleHealthCheck(r)
	}
	q, bad := c.server.parseRequest(r)
	if bad != nil {
		c.server.Metrics.Add("requests_malformed", 1)
		return c.writeError(r, bad)
	}
	c.setState(stateActive, true, 0)
	open := c.server.Metrics.Counter("requests_open")
	open.Add(1)
	defer open.Add(-1)
	answers := make(chan dispatch.Response, 1)
	q.Respond = func(a dispatch.Response) { answers <- a }
	if c.server.RecordClient {
		c.server.setClientInfo(q, r, c.text.NetConn)
	}
	r.clientDeadline = q.Deadline + responseMarginMs // from Submit on the core owns the request
	if !c.server.Dispatcher.Submit(q) {
		return c.writeError(r, &requestError{status: 503, message: "stopping"})
	}
	// An error says that the client has gone: also one that wrote more before it left.
	heard := make(chan error, 1)
	go func() { heard <- c.text.ReadAhead(maxReadAheadBytes, func() { c.lastReadAt = c.server.Clock.Now() }) }()
	select {
	case a := <-answers:
		ok := c.writeResponse(r, a)
		// The watcher is waited for: the connection has one reader at a time.
		c.text.NetConn.SetReadDeadline(time.Now())
		err := <-heard
		return ok && (isTimeout(err) || err == textconn.ErrMessageTooLong)
	case err := <-heard:
		if err != textconn.ErrMessageTooLong {
			c.server.Dispatcher.Disconnect(q)
			return false
		}
		return c.writeResponse(r, <-answers) // it sends without end: the answer is its last
	}
}

// handleHealthCheck answers the front's question whether this router can be used.
func (c *conn) handleHealthCheck(r *request) bool {
	switch {
	case r.method != "GET" && r.method != "HEAD":
		return c.writeError(r, &requestError{status: 405, message: "GET only", allow: "GET"})
	case c.server.healthChecksFail.Load() || !c.server.Ready():
		return c.writeError(r, &requestError{status: 503, message: "not ready"})
	}
	return c.writeMessage(r, 200, "Content-Type: text/plain\r\n", []byte("ok\n"))
}

// linger ends this side of a connection and reads what still comes, for some time.
func (c *conn) linger(within float64) {
	if half, ok := c.text.NetConn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.setState(stateRejected, true, max(within, 0))
		io.Copy(io.Discard, io.LimitReader(c.text.NetConn, maxLingerBytes))
	}
}
