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

// healthCheckPath is the path that the platform requests to check this router's health.
const healthCheckPath = "/healthz"

// connState is the state of a connection. Connections with a lower value are evicted first.
type connState int

const (
	stateRejected connState = iota // its request was rejected; the client's remaining bytes are discarded
	stateNew                       // waits for the first request
	stateIdle                      // waits for another request
	stateActive                    // its request is being served
)

// conn is a client's connection. The goroutine that runs serve owns it, except for the fields
// that Server.mu guards.
type conn struct {
	server     *Server
	text       *textconn.Conn
	acceptedAt float64 // time on Server.Clock in ms
	lastReadAt float64 // time on Server.Clock in ms when the last bytes were read; 0: not yet

	// Guarded by Server.mu.
	state      connState
	stateSince float64 // time on Server.Clock in ms
	receiving  bool    // the first byte of a request has arrived
	evicted    bool    // the server closes it as soon as no request is open on it
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

// serve serves the requests of the connection one after another and closes it at the end.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer func() { _ = c.text.Close() }()
	for first := true; c.awaitRequest(first); first = false {
		r, err := c.readRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		// Whether the connection is kept alive is decided once, when the response is written,
		// and stored in r.closeAfter. Checking the server's state again here could close a
		// connection whose response did not announce it, if shutdown began in between, and
		// the client's next request would be lost.
		if !c.handleRequest(r) {
			return
		}
		if r.closeAfter {
			c.linger(finalLingerTimeoutMs)
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the client closed the
// connection or the wait timed out.
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
	if _, err := c.text.R.Peek(1); err != nil && !c.readableAfterTimeout(err) {
		return false
	}
	c.setState(state, true, requestMs)
	return true
}

// readableAfterTimeout reports whether a read timed out although the socket holds unread bytes.
// A read whose deadline has passed fails without looking at the socket. Without this check, a
// request that arrived just before the timeout would be lost when the connection is closed.
func (c *conn) readableAfterTimeout(err error) bool {
	return isTimeout(err) && c.text.Readable()
}

// handleRequest serves one request. It returns false if the connection must be closed at once,
// because the response could not be written or the client has disconnected.
func (c *conn) handleRequest(r *request) bool {
	if c.server.Handler != nil {
		return c.callHandler(r)
	}
	if r.path == healthCheckPath {
		return c.handleHealthCheck(r)
	}
	return c.dispatchRequest(r)
}

// callHandler answers a request with the result of Options.Handler and closes the connection
// after it.
func (c *conn) callHandler(r *request) bool {
	c.setState(stateActive, true, 0)
	status, body := c.server.Handler(context.Background(), r.method, r.path)
	r.closeAfter = true
	return c.writeMessage(r, status, contentTypeText, body)
}

// handleHealthCheck answers the platform's health check, which asks whether this router can serve
// requests.
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
	openRequests := c.server.Metrics.Counter("requests_open")
	openRequests.Add(1)
	defer openRequests.Add(-1)

	responses := make(chan dispatch.Response, 1)
	dispatched.Respond = func(response dispatch.Response) { responses <- response }
	if c.server.RecordClient {
		setClientInfo(dispatched, r, c.text.NetConn)
	}
	r.clientDeadline = dispatched.Deadline + responseMarginMs // computed here, since the dispatcher owns the request after Submit
	if !c.server.Dispatcher.Submit(dispatched) {
		return c.writeError(r, &requestError{status: http.StatusServiceUnavailable, message: "stopping"})
	}
	return c.awaitResponse(r, dispatched, responses)
}

// awaitResponse waits for the response to a submitted request and writes it. While it waits, it
// reads ahead on the connection to detect that the client disconnects, even if the client has
// pipelined more bytes before that.
func (c *conn) awaitResponse(r *request, dispatched *dispatch.Request, responses <-chan dispatch.Response) bool {
	readAheadEnded := make(chan error, 1)
	go func() {
		readAheadEnded <- c.text.ReadAhead(maxReadAheadBytes, func() { c.lastReadAt = c.server.Clock.Now() })
	}()
	select {
	case response := <-responses:
		written := c.writeResponse(r, response)
		c.setReadTimeout(0) // stops the read-ahead, so that the connection has one reader at a time
		err := <-readAheadEnded
		return written && (isTimeout(err) || errors.Is(err, textconn.ErrMessageTooLong))
	case err := <-readAheadEnded:
		if !errors.Is(err, textconn.ErrMessageTooLong) {
			c.server.Dispatcher.Disconnect(dispatched)
			return false
		}
		// The client has sent more than ReadAhead discards before it returns. The response is
		// the last on this connection.
		return c.writeResponse(r, <-responses)
	}
}

// linger closes the sending side of the connection and discards what the client still sends,
// until the client closes its side, the timeout passes or maxLingerBytes have been read. The
// system resets a connection that is closed while it holds unread bytes, and the client may
// then see the reset before it has read the response.
func (c *conn) linger(timeoutMs float64) {
	halfCloser, ok := c.text.NetConn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	c.setState(stateRejected, true, max(timeoutMs, 0))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.text.NetConn, maxLingerBytes))
}

// setState sets the state of the connection and the timeout of its reads in that state. The
// timeout is shortened if the connection is evicted, or if the server shuts down and no byte of a
// request has arrived. Reads have no timeout in stateActive.
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

// setReadTimeout sets the read deadline of the connection to a time from now. It ignores the error
// of a closed connection, because the next read reports it.
func (c *conn) setReadTimeout(timeoutMs float64) {
	_ = c.text.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(timeoutMs)))
}

// shutdownReadTimeoutMs returns how long a connection still waits for a request once the server
// shuts down. The caller holds Server.mu.
func (c *conn) shutdownReadTimeoutMs() float64 {
	if c.state == stateNew {
		return shutdownFirstRequestTimeoutMs
	}
	return 0
}

// evictable reports whether the connection may be closed to make room for another one. The caller
// holds Server.mu.
func (c *conn) evictable() bool {
	switch {
	case c.evicted, c.state == stateActive:
		return false
	case c.state == stateNew:
		return c.server.Clock.Now()-c.stateSince >= newConnGraceMs
	}
	return true
}

// remainingMs returns how much is left of a timeout that started when the connection was accepted.
// The result is negative once the timeout has passed.
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
