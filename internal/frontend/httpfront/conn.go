package httpfront

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/textconn"
)

// healthCheckPath is the path of the platform's health check.
const healthCheckPath = "/healthz"

// connState is the state of a connection. Connections of a lower state are evicted first.
type connState int

const (
	stateRejected connState = iota // has its response and is read from until it ends
	stateNew                       // waits for its first request
	stateIdle                      // waits for another request
	stateActive                    // its request is being served
)

// conn is a client's connection. It belongs to the goroutine that runs serve, but for the
// fields that Server.mu guards.
type conn struct {
	server     *Server
	text       *textconn.Conn
	acceptedAt float64
	lastReadAt float64 // when the newest of the bytes that were read arrived

	// Guarded by Server.mu.
	state      connState
	stateSince float64
	receiving  bool // the first byte of a request was read
	evicted    bool // it is closed as soon as no request is open
}

func (s *Server) newConn(netConn net.Conn) *conn {
	now := s.Clock.Now()
	return &conn{
		server:     s,
		text:       textconn.New(netConn),
		acceptedAt: now,
		state:      stateNew,
		stateSince: now,
	}
}

// serve serves the requests of the connection and closes it.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer func() { _ = c.text.Close() }()
	for first := true; c.awaitRequest(first); first = false {
		r, err := c.readRequest()
		if err != nil {
			c.rejectUnread(err)
			return
		}
		// Symptom guarded against: a connection whose response had not announced the
		// close was closed on the client's next request when shutdown began just then.
		if !c.handleRequest(r) {
			return
		}
		if r.closeAfter {
			c.linger(finalLingerTimeoutMs)
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection
// ended or was idle for too long.
func (c *conn) awaitRequest(first bool) bool {
	state := stateIdle
	idleMs, requestMs := idleTimeoutMs, requestTimeoutMs
	if first {
		state = stateNew
		idleMs = c.remainingMs(firstRequestTimeoutMs)
		requestMs = idleMs
	}
	c.setState(state, false, idleMs)
	c.text.LimitRead(maxHeaderBytes)
	c.text.BeginMessage()
	if _, err := c.text.R.Peek(1); err != nil && !c.receivedAtTimeout(err) {
		return false
	}
	c.setState(state, true, requestMs)
	return true
}

// receivedAtTimeout reports whether a read timed out although bytes wait to be read.
//
// Symptom guarded against: a read whose deadline has passed does not look at the socket, and
// a request that had arrived in that moment was closed unread.
func (c *conn) receivedAtTimeout(err error) bool {
	return isTimeout(err) && c.text.Readable()
}

// handleRequest serves one request. It returns false if the connection cannot be used any
// more and must be closed at once.
func (c *conn) handleRequest(r *request) bool {
	if c.server.Handler != nil {
		return c.callHandler(r)
	}
	if r.path == healthCheckPath {
		return c.handleHealthCheck(r)
	}
	return c.dispatchRequest(r)
}

// callHandler serves a request by the Handler of the options.
func (c *conn) callHandler(r *request) bool {
	c.setState(stateActive, true, 0)
	status, body := c.server.Handler(context.Background(), r.method, r.path)
	r.closeAfter = true
	return c.writeMessage(r, status, contentTypeText, body)
}

// handleHealthCheck reports to the platform whether this router can serve requests.
func (c *conn) handleHealthCheck(r *request) bool {
	if r.method != http.MethodGet && r.method != http.MethodHead {
		return c.writeError(r, methodNotAllowed(http.MethodGet))
	}
	if c.server.healthChecksFail.Load() || !c.server.Ready() {
		return c.writeError(r, &requestError{status: http.StatusServiceUnavailable, message: "not ready"})
	}
	return c.writeMessage(r, http.StatusOK, contentTypeText, []byte("ok\n"))
}

// dispatchRequest submits a request to the dispatcher and writes its response.
func (c *conn) dispatchRequest(r *request) bool {
	dispatched, err := c.server.parseRequest(r)
	if err != nil {
		c.server.Metrics.Add("requests_malformed", 1)
		return c.writeError(r, err)
	}
	c.setState(stateActive, true, 0)
	open := c.server.Metrics.Counter("requests_open")
	open.Add(1)
	defer open.Add(-1)

	responses := make(chan dispatch.Response, 1)
	dispatched.Respond = func(response dispatch.Response) { responses <- response }
	if c.server.RecordClient {
		setClientInfo(dispatched, r, c.text.NetConn)
	}
	r.clientDeadline = dispatched.Deadline + responseMarginMs // read before Submit hands the request over
	if !c.server.Dispatcher.Submit(dispatched) {
		return c.writeError(r, &requestError{status: http.StatusServiceUnavailable, message: "stopping"})
	}
	return c.awaitResponse(r, dispatched, responses)
}

// awaitResponse waits for the response of a submitted request and writes it. Meanwhile the
// connection is read from, to notice a client that disconnects, also one that sent more
// before.
func (c *conn) awaitResponse(r *request, dispatched *dispatch.Request, responses <-chan dispatch.Response) bool {
	readAheadEnded := make(chan error, 1)
	go func() {
		readAheadEnded <- c.text.ReadAhead(maxReadAheadBytes, func() { c.lastReadAt = c.server.Clock.Now() })
	}()
	select {
	case response := <-responses:
		written := c.writeResponse(r, response)
		c.setReadTimeout(0) // ends the read-ahead: a connection has one reader at a time
		err := <-readAheadEnded
		return written && (isTimeout(err) || errors.Is(err, textconn.ErrMessageTooLong))
	case err := <-readAheadEnded:
		if !errors.Is(err, textconn.ErrMessageTooLong) {
			c.server.Dispatcher.Disconnect(dispatched)
			return false
		}
		// The client sends without end. The response is the last on this connection.
		return c.writeResponse(r, <-responses)
	}
}

// linger shuts the sending side of the connection and discards what the client still sends,
// until the client closes its side or the timeout passes.
//
// Symptom guarded against: a connection that is closed with unread bytes is reset, and the
// reset overtakes the response.
func (c *conn) linger(timeoutMs float64) {
	half, ok := c.text.NetConn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.setState(stateRejected, true, max(timeoutMs, 0))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.text.NetConn, maxLingerBytes))
}

// setState sets the state of the connection and the time that reads may take in it. Less is
// left to a connection that is evicted, or that has no request at shutdown.
func (c *conn) setState(state connState, receiving bool, timeoutMs float64) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if state != c.state {
		c.state = state
		c.stateSince = c.server.Clock.Now()
	}
	c.receiving = receiving
	switch {
	case state == stateActive:
		_ = c.text.NetConn.SetReadDeadline(time.Time{})
		return
	case c.evicted && receiving && state != stateRejected:
		timeoutMs = min(timeoutMs, evictedReadTimeoutMs)
	case c.evicted:
		timeoutMs = 0
	case c.server.shuttingDown.Load() && !receiving:
		timeoutMs = min(timeoutMs, c.shutdownReadTimeoutMs())
	}
	c.setReadTimeout(timeoutMs)
}

// setReadTimeout lets reads of the connection end after a time, counted from now. A deadline
// that cannot be set means that the connection is closed, which the next read reports.
func (c *conn) setReadTimeout(timeoutMs float64) {
	_ = c.text.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(timeoutMs)))
}

// shutdownReadTimeoutMs is how long a connection waits for a request at shutdown. Server.mu
// is held.
func (c *conn) shutdownReadTimeoutMs() float64 {
	if c.state == stateNew {
		return shutdownFirstRequestTimeoutMs
	}
	return 0
}

// evictable reports whether the connection may be closed for another one. Server.mu is held.
func (c *conn) evictable() bool {
	switch {
	case c.evicted, c.state == stateActive:
		return false
	case c.state == stateNew:
		return c.server.Clock.Now()-c.stateSince >= newConnGraceMs
	}
	return true
}

// remainingMs is what is left of a time that began when the connection was accepted.
func (c *conn) remainingMs(timeoutMs float64) float64 {
	return c.acceptedAt + timeoutMs - c.server.Clock.Now()
}

// keepAlive reports whether the connection stays open after the response to r.
func (c *conn) keepAlive(r *request) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !r.closeAfter && !c.server.keepAlivesDisabled.Load() && !c.evicted && !c.text.Discarded()
}

// isTimeout reports whether a read or an accept ended at its deadline.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
