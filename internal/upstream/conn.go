package upstream

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

const (
	maxConnections       = 8      // to one server, not counting retired connections
	growThreshold        = 2      // requests in flight on a connection that make another connection desirable
	growBackoff          = 2000.0 // ms after a failed dial in which no additional connection is dialed
	maxCanceledIDs       = 256    // canceled ids on a connection; one more retires it
	writeTimeout         = 100.0  // ms; short, because a write blocks the actor
	idleTimeoutShare     = 0.8    // fraction of the idle timeout after which this side closes, before the server does
	unresponsiveAfter    = 250.0  // ms since the write without any reply, after which a cancel retires the connection
	replyStallTimeout    = 800.0  // ms for each read of a reply, and for the whole reply on top of the time for its body
	replyTimeFactor      = 4.0    // multiple of the body's transfer time at the configured BytesPerSecond
	duplicateReplyWindow = 1000.0 // ms within which a second reply to an id is taken for a duplicate
)

// connection is one connection to the server. The actor owns it, except that the reader
// goroutine calls the methods of text that read.
type connection struct {
	text        *textconn.Conn
	inFlight    map[string]*sentAttempt // by transaction id
	canceledIDs map[string]bool         // ids canceled on this connection; a reply may still come
	unservedAt  map[string]float64      // by id: time of a reply that was not served, which may be duplicated
	lastReplyAt float64                 // clock time in ms; zero if no reply has come
	lastUsedAt  float64                 // clock time in ms of the last write or reply
	retired     bool                    // accepts no new attempt and is closed once none is in flight
	closed      bool
}

// sentAttempt is an attempt that was written to a connection and not yet completed.
type sentAttempt struct {
	attempt   *dispatch.Attempt
	writtenAt float64 // clock time in ms
}

// connectionEvent reports to the actor the result of a dial (dialed or err), a reply, or the end
// of a connection (err).
type connectionEvent struct {
	connection *connection // nil for the result of a dial
	dialed     net.Conn
	reply      reply
	err        error
}

func newConnection(netConn net.Conn, now float64) *connection {
	return &connection{
		text:        textconn.New(netConn),
		inFlight:    map[string]*sentAttempt{},
		canceledIDs: map[string]bool{},
		unservedAt:  map[string]float64{},
		lastUsedAt:  now,
	}
}

// accepts reports whether an attempt with the given id can be sent on the connection. An id that
// is in flight or was canceled on the connection is not accepted: a reply that crosses the
// cancel command would be taken for the reply to the new attempt.
func (c *connection) accepts(id string, maxStreams int) bool {
	return !c.retired && len(c.inFlight) < maxStreams && c.inFlight[id] == nil && !c.canceledIDs[id]
}

// repliedSince reports whether any reply has come on the connection at or after the given time.
func (c *connection) repliedSince(since float64) bool { return c.lastReplyAt >= since }

// nextReply waits for a reply without a deadline and reads it. The time limits for reading count
// from the first byte of the reply.
//
// Without a limit, a truncated reply left the connection open and silent, and all other attempts
// in flight on it ran into their deadlines. A fixed limit, regardless of the length, aborted
// large replies that arrived at the configured BytesPerSecond.
func (c *connection) nextReply(bytesPerSecond float64) (reply, error) {
	if err := c.text.NetConn.SetReadDeadline(time.Time{}); err != nil {
		return reply{}, err
	}
	c.text.LimitRead(maxReplyBytes)
	if _, err := c.text.R.Peek(1); err != nil {
		return reply{}, err
	}
	c.text.SetReadPace(replyStallTimeout, replyStallTimeout)
	defer c.text.SetReadPace(0, 0)
	return readReply(c.text, func(bodyBytes int) {
		if bytesPerSecond <= 0 {
			return
		}
		transferMillis := 1000 * float64(bodyBytes) / bytesPerSecond
		c.text.SetReadPace(replyStallTimeout, replyStallTimeout+replyTimeFactor*transferMillis)
	})
}

// pickConnection returns, among the connections that accept an attempt with the given id, the
// one with the fewest requests in flight, or nil if none accepts it.
//
// Requests are spread over several connections because a malformed reply closes its connection:
// with a single one, it ended all requests in flight at the server.
func (u *Upstream) pickConnection(id string) *connection {
	var best *connection
	for _, conn := range u.connections {
		if conn.accepts(id, u.Settings().MaxStreams) && (best == nil || len(conn.inFlight) < len(best.inFlight)) {
			best = conn
		}
	}
	return best
}

// atConnectionLimit reports whether the limit of connections to this server, or to all servers
// together, is reached.
func (u *Upstream) atConnectionLimit() bool {
	limit := u.MaxConnections()
	usable := 0
	for _, conn := range u.connections {
		if !conn.retired {
			usable++
		}
	}
	return usable >= maxConnections || limit > 0 && u.openConnections.Load() >= limit
}

// mayGrow reports whether a connection may be added to the existing ones.
func (u *Upstream) mayGrow() bool {
	return !u.atConnectionLimit() && u.Clock.Now() >= u.growAfter
}

// startDial starts to dial a connection in the background. At most one dial runs at a time.
func (u *Upstream) startDial(ctx context.Context) {
	u.dialing = true
	u.dialStartedAt = u.Clock.Now()
	u.openConnections.Add(1)
	u.Metrics.Add("peer_dials", 1)
	go u.dial(ctx)
}

// dial connects to the server and reports the result to the actor. It runs in its own goroutine.
func (u *Upstream) dial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(u.Settings().ConnectTimeout))
	defer cancel()
	netConn, err := u.Dial(ctx, u.addr)
	if u.post(connectionEvent{dialed: netConn, err: err}) {
		return
	}
	u.openConnections.Add(-1) // the actor has stopped
	if netConn != nil {
		_ = netConn.Close() // nothing was written to it
	}
}

// readReplies reports each reply on a connection, and finally the read error that ends it, to
// the actor. It runs in its own goroutine.
func (u *Upstream) readReplies(conn *connection) {
	for {
		r, err := conn.nextReply(u.Settings().BytesPerSecond)
		if !u.post(connectionEvent{connection: conn, reply: r, err: err}) || err != nil {
			return
		}
	}
}

// post sends an event to the actor. It returns false if the actor has stopped.
func (u *Upstream) post(event connectionEvent) bool {
	select {
	case u.connectionEvents <- event:
		return true
	case <-u.stopped:
		return false
	}
}

func (u *Upstream) handleConnectionEvent(ctx context.Context, event connectionEvent) {
	switch {
	case event.connection == nil:
		u.handleDialResult(ctx, event)
	case event.err != nil:
		u.closeConnection(event.connection)
	case !event.connection.closed:
		u.handleReply(ctx, event.connection, event.reply)
	}
}

// handleDialResult sends the queued attempts on the new connection, or completes them as
// ConnectFailed if the dial failed.
func (u *Upstream) handleDialResult(ctx context.Context, event connectionEvent) {
	u.dialing = false
	for _, attempt := range u.queued {
		u.recordDial(attempt)
	}
	if event.err != nil {
		u.handleDialFailure()
		return
	}
	conn := newConnection(event.dialed, u.Clock.Now())
	u.connections = append(u.connections, conn)
	go u.readReplies(conn)
	u.sendQueued(ctx)
}

// handleDialFailure completes the attempts that waited for a connection as ConnectFailed: since
// no connection was made, the server has executed none of them.
//
// If another connection is open, mayGrow returns false for the next growBackoff milliseconds.
// Without this pause, at a cache that accepts few connections, each request of each of many
// routers dialed once more and cost the cache a handshake.
func (u *Upstream) handleDialFailure() {
	u.openConnections.Add(-1)
	u.Metrics.Add("peer_dials_failed", 1)
	if len(u.connections) > 0 {
		u.growAfter = u.Clock.Now() + growBackoff
	}
	failed := u.queued
	u.queued = nil
	for _, attempt := range failed {
		u.Complete(*dispatch.Unsent(attempt, routing.ConnectFailed))
	}
}

// recordDial records the times of the dial that has just ended in the trace of an attempt that
// waited for it.
func (u *Upstream) recordDial(attempt *dispatch.Attempt) {
	if attempt.Trace == nil {
		return
	}
	attempt.Trace.Timing.DialedAt = u.dialStartedAt
	attempt.Trace.Timing.ConnectedAt = u.Clock.Now()
}

// flush writes a command that was appended to the connection's write buffer, and reports whether
// the write succeeded. It closes the connection after an error, because it is not known how much
// of the command the server received.
func (u *Upstream) flush(conn *connection, command []byte) bool {
	conn.lastUsedAt = u.Clock.Now()
	if err := conn.text.Flush(command, nil, writeTimeout); err != nil {
		u.closeConnection(conn)
		return false
	}
	return true
}

// closeIfRetired closes a retired connection on which nothing is in flight.
func (u *Upstream) closeIfRetired(conn *connection) {
	if conn.retired && len(conn.inFlight) == 0 {
		u.closeConnection(conn)
	}
}

// cancelSent cancels an attempt that was written to a connection, and completes it as Canceled.
func (u *Upstream) cancelSent(conn *connection, sent *sentAttempt) {
	attempt := sent.attempt
	id := attempt.Request.TransactionID
	delete(conn.inFlight, id)
	// If no reply has come on the connection since the attempt was written, the cancel command
	// may not arrive, and the retry would run beside the first attempt. Close the connection.
	if attempt.MayRetry && !conn.repliedSince(sent.writtenAt) {
		u.closeConnection(conn)
		u.completeCanceled(attempt)
		return
	}
	conn.canceledIDs[id] = true
	// A machine that vanishes leaves its connections open and silent. Commands that were written
	// to them after the machine's return were lost too, so that it seemed unresponsive for ever.
	// The delay of unresponsiveAfter keeps connections whose clients merely disconnect early:
	// without it all connections were retired, and no more could be made.
	unresponsive := !conn.repliedSince(sent.writtenAt) && u.Clock.Now()-sent.writtenAt >= unresponsiveAfter
	if unresponsive || len(conn.canceledIDs) > maxCanceledIDs {
		conn.retired = true
	}
	u.flush(conn, appendCancelCommand(conn.text.WriteBuffer(), id))
	u.completeCanceled(attempt)
	u.closeIfRetired(conn)
}

// closeConnection closes a connection, which cancels everything in flight on it, and completes
// those attempts as ConnectionLost. Once the actor has a connection, only this method closes it.
func (u *Upstream) closeConnection(conn *connection) {
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.text.Close() // the connection is abandoned even if this fails
	u.openConnections.Add(-1)
	u.connections = slices.DeleteFunc(u.connections, func(other *connection) bool { return other == conn })
	for _, sent := range conn.inFlight {
		u.Complete(dispatch.Completion{Attempt: sent.attempt, Result: routing.ConnectionLost, Load: dispatch.UnknownLoad()})
	}
	conn.inFlight = nil
}

func (u *Upstream) closeAllConnections() {
	for len(u.connections) > 0 {
		u.closeConnection(u.connections[0])
	}
}

// closeIdle closes the connections that have been idle for idleTimeoutShare of the configured
// idle timeout, before the server does. It also drops the records of replies whose
// duplicateReplyWindow is over.
func (u *Upstream) closeIdle() {
	now := u.Clock.Now()
	for _, conn := range slices.Clone(u.connections) {
		maps.DeleteFunc(conn.unservedAt, func(_ string, at float64) bool { return now-at >= duplicateReplyWindow })
		if len(conn.inFlight) > 0 {
			continue
		}
		conn.text.ShrinkWriteBuffer()
		if now-conn.lastUsedAt > u.Settings().IdleTimeout*idleTimeoutShare {
			u.closeConnection(conn)
		}
	}
}
