package httpfront

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/memorybudget"
	"garnetline/internal/textconn"
)

// healthCheckPath is the path that the platform requests to check this router's health.
const healthCheckPath = "/healthz"

// connState is the state of a connection. Connections with a lower value are evicted first.
type connState int

const (
	stateRejected connState = iota // the last response, often a rejection, was written; the server discards further bytes
	stateNew                       // the server waits for the first request
	statePaused                    // more requests wait, but the client has not received the last response
	stateIdle                      // the server waits for another request
	stateActive                    // the server serves a request
)

// conn is a client's connection. The goroutine that runs serve owns it, except for the fields
// that Server.mu guards.
type conn struct {
	server     *Server
	text       *textconn.Conn
	acceptedAt float64 // time on Server.Clock in ms
	lastReadAt float64 // time on Server.Clock in ms when bytes were last read; 0: no bytes were read yet
	pace       pacer
	readAhead  readAheadRun
	rejected   bool // the last response was a rejection by the dispatcher

	memory          *memorybudget.Reservation // of the current request
	readAheadMemory *memorybudget.Reservation // while a request is open, the goroutine that reads ahead owns it
	held            atomic.Int64              // bytes in both reservations

	// Guarded by Server.mu.
	state            connState
	stateSince       float64 // time on Server.Clock in ms
	receiving        bool    // the first byte of a request has arrived
	receivingSince   float64 // time on Server.Clock in ms at which that byte arrived
	writing          bool    // a response is being written
	evicted          bool    // the server closes the connection as soon as it has no open request
	evictedForMemory bool    // the connection was evicted because of the memory that it held
}

func (s *Server) newConn(netConn net.Conn) *conn {
	now := s.Clock.Now()
	if socket, ok := netConn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = socket.SetReadBuffer(receiveBufferBytes) // a connection that has ended already is noticed by its first read
	}
	text := textconn.New(netConn)
	text.SetGate(s.readers)
	return &conn{
		server:          s,
		text:            text,
		acceptedAt:      now,
		state:           stateNew,
		stateSince:      now,
		memory:          s.Memory.NewReservation(),
		readAheadMemory: s.Memory.NewReservation(),
	}
}

// serve serves the requests of the connection one after another, and then closes the connection.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.releaseAll()
	defer func() { _ = c.text.Close() }()
	defer c.text.LeaveGate()
	for first := true; c.awaitRequest(first); first = false {
		r, err := c.readRequest()
		c.text.LeaveGate()
		if err != nil {
			c.handleReadError(err)
			return
		}
		// writeMessage decides whether the connection stays open, and stores the decision in
		// r.closeAfter. If serve checked the server's state again, a shutdown that begins after the
		// response was written could close a connection whose response did not announce the close.
		// The client's next request would then be lost.
		if !c.handleRequest(r) {
			return
		}
		if r.closeAfter {
			c.releaseRequest()
			c.linger(finalLingerTimeoutMs)
			return
		}
		c.releaseRequest()
		if !c.awaitBackpressure() {
			return
		}
		c.pace.wait(c.server.Clock.Now())
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the client closed the
// connection or the wait timed out.
func (c *conn) awaitRequest(first bool) bool {
	state := stateIdle
	idleMs, requestMs := idleTimeoutMs, requestTimeoutMs
	if c.server.keepAlivesDisabled.Load() {
		requestMs = min(requestMs, c.server.drainingMs())
	}
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
// A read whose deadline has passed fails without looking at the socket. Without
// readableAfterTimeout, a request that arrived just before the timeout would be lost when the
// connection is closed.
func (c *conn) readableAfterTimeout(err error) bool {
	return isTimeout(err) && c.text.Readable()
}

// handleRequest serves one request. It returns false if the response could not be written or the
// client has disconnected. The connection must then be closed immediately.
func (c *conn) handleRequest(r *request) bool {
	if c.server.Handler != nil {
		return c.callHandler(r)
	}
	if r.path == healthCheckPath {
		return c.handleHealthCheck(r)
	}
	return c.dispatchRequest(r)
}

// callHandler answers a request with the result of Options.Handler. The connection is closed after
// the response.
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
		return c.writeError(r, unavailable(reasonNotReady, "not ready"))
	}
	return c.writeMessage(r, http.StatusOK, contentTypeText, []byte("ok\n"))
}

// dispatchRequest submits a request to the dispatcher and writes its response.
func (c *conn) dispatchRequest(r *request) bool {
	dispatched, rejection := c.server.parseRequest(r)
	if rejection != nil {
		c.recordRejection(rejection)
		return c.writeError(r, rejection)
	}
	c.setState(stateActive, true, 0)
	openRequests := c.server.Metrics.Counter("requests_open")
	openRequests.Add(1)
	defer openRequests.Add(-1)

	responses := newResponseSlot()
	dispatched.Respond = responses.deliver
	defer responses.abandon()
	if c.text.PeerClosed() {
		c.server.Metrics.Add("clients_gone_unread", 1)
		return false
	}
	dispatched.ProbeClient = c.text.PeerClosed
	if c.server.RecordClient {
		setClientInfo(dispatched, r, c.text.NetConn)
	}
	r.clientDeadline = dispatched.Deadline + responseMarginMs // computed before Submit, because after Submit the dispatcher owns the request
	if !c.server.Dispatcher.Submit(dispatched) {
		return c.writeError(r, unavailable(reasonStopping, "stopping"))
	}
	return c.awaitResponse(r, dispatched, responses)
}

// awaitResponse waits for the response to a submitted request and writes it. While it waits, it
// reads ahead on the connection to detect that the client disconnects, also behind pipelined bytes.
func (c *conn) awaitResponse(r *request, dispatched *dispatch.Request, responses *responseSlot) bool {
	c.startReadAhead()
	select {
	case response := <-responses.delivered:
		written := c.writeResponse(r, response)
		return isTimeout(c.stopReadAhead()) && written
	case <-c.readAhead.ended: // the connection has ended
		c.server.Dispatcher.Disconnect(dispatched)
		return false
	}
}

// linger closes the sending side of the connection and discards the bytes that the client still
// sends. It ends when the client closes its side, the timeout passes or maxLingerBytes have been
// read. Without lingering, the system would reset a connection that is closed while it holds unread
// bytes. The client could then see the reset before it has read the response.
func (c *conn) linger(timeoutMs float64) {
	halfCloser, ok := c.text.NetConn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	c.setState(stateRejected, true, max(timeoutMs, 0))
	c.text.Discard(maxLingerBytes)
}

// setState sets the state of the connection and the timeout of its reads in that state. Reads have
// no timeout in stateActive. In the other states, an eviction shortens the timeout. A shutdown
// shortens the timeout if no byte of a request has arrived.
func (c *conn) setState(state connState, receiving bool, timeoutMs float64) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if state != c.state {
		c.state = state
		c.stateSince = c.server.Clock.Now()
	}
	if receiving && !c.receiving {
		c.receivingSince = c.server.Clock.Now()
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

// setReadTimeout makes pending and later reads from the connection time out after timeoutMs. It
// ignores the error of a closed connection, because the next read returns that error too.
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

// remainingMs returns the remaining ms of a timeout that started when the connection was accepted.
// The result is negative once the timeout has passed.
func (c *conn) remainingMs(timeoutMs float64) float64 {
	return c.acceptedAt + timeoutMs - c.server.Clock.Now()
}

// keepAlive reports whether the connection stays open after the response to r. If keep-alives are disabled, it
// stays open only for the requests that the client has already sent.
func (c *conn) keepAlive(r *request) bool {
	if r.closeAfter || c.isEvicted() {
		return false
	}
	if !c.server.keepAlivesDisabled.Load() {
		return true
	}
	c.stopReadAhead() //nolint:errcheck // if the connection has ended, the response cannot be written
	return c.hasPipelined() && c.server.drainingMs() > 0
}

// isTimeout reports whether err says that a read or an accept reached its deadline.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
