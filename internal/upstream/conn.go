package upstream

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/memorybudget"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

const (
	maxConnections       = 8      // limit of connections to one server; retired connections do not count
	growThreshold        = 2      // with this number of requests in flight, a connection counts as busy and another one may be dialed
	growBackoff          = 2000.0 // ms; after a failed dial, no additional connection is dialed for this time
	maxCanceledIDs       = 256    // limit of canceled ids on a connection; a connection above the limit is retired
	writeTimeout         = 100.0  // ms; short, because the actor handles no message during a write
	idleTimeoutShare     = 0.8    // fraction of the server's idle timeout after which the router closes a connection, before the server closes it
	unresponsiveAfter    = 250.0  // ms; a cancel retires the connection if the attempt was written at least this long ago and no reply has come since
	replyStallTimeout    = 800.0  // ms; limits each read of a reply; the whole reply may take this time plus the time for its body
	replyTimeFactor      = 4.0    // the body of a reply may take its transfer time at BytesPerSecond, multiplied by this factor
	duplicateReplyWindow = 1000.0 // ms; of two replies to the same id within this time, both with a result other than Served, the second counts as a duplicate
)

// connection is one connection to the server. The actor owns it. The reader goroutine only calls
// the read methods of text.
type connection struct {
	text        *textconn.Conn
	inFlight    map[string]*sentAttempt // by transaction id
	canceledIDs map[string]bool         // ids whose attempts were canceled on this connection; their replies may still come
	unservedAt  map[string]float64      // by id: time of the latest reply with a result other than Served; the server may send that reply again
	lastReplyAt float64                 // clock time in ms; zero if no reply has come
	lastUsedAt  float64                 // clock time in ms of the last write or reply
	retired     bool                    // the connection accepts no new attempt, and is closed when no attempt is in flight on it
	closed      bool
}

// sentAttempt is an attempt that was written to a connection and that has no completion yet.
type sentAttempt struct {
	attempt   *dispatch.Attempt
	writtenAt float64 // clock time in ms
}

// connectionEvent reports one of three events to the actor: the result of a dial (field dialed or
// err), a reply, or the end of a connection (field err).
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

// accepts reports whether an attempt with the given id can be sent on the connection. The id must
// not be in flight on the connection, and must not have been canceled on it. Otherwise, a late
// reply to the canceled attempt would be taken for the reply to the new attempt.
func (c *connection) accepts(id string, maxStreams int) bool {
	return !c.retired && len(c.inFlight) < maxStreams && c.inFlight[id] == nil && !c.canceledIDs[id]
}

// repliedSince reports whether the last reply on the connection came at or after the given time.
func (c *connection) repliedSince(since float64) bool { return c.lastReplyAt >= since }

// nextReply waits for the first byte of a reply without a deadline, and then reads the reply. The
// time limits for the read count from that first byte.
//
// Without these limits, a truncated reply would leave the connection open and silent, and all other
// attempts in flight on it would run into their deadlines. With a limit that does not depend on the
// length, large replies that arrive at the configured BytesPerSecond would be aborted.
func (c *connection) nextReply(bytesPerSecond float64, memory *memorybudget.Budget) (reply, error) {
	if err := c.text.NetConn.SetReadDeadline(time.Time{}); err != nil {
		return reply{}, err
	}
	c.text.LimitRead(maxReplyBytes)
	if _, err := c.text.R.Peek(1); err != nil {
		return reply{}, err
	}
	c.text.SetReadPace(replyStallTimeout, replyStallTimeout)
	defer c.text.SetReadPace(0, 0)
	extendDeadline := func(bodyBytes int) {
		if bytesPerSecond <= 0 {
			return
		}
		transferMillis := 1000 * float64(bodyBytes) / bytesPerSecond
		c.text.SetReadPace(replyStallTimeout, replyStallTimeout+replyTimeFactor*transferMillis)
	}
	return replyReader{conn: c.text, onBodyLength: extendDeadline, memory: memory}.read()
}

// pickConnection returns the connection for an attempt with the given id. Among the connections
// that accept the attempt, it returns the connection with the fewest requests in flight. It returns
// nil if no connection accepts the attempt.
//
// Requests are spread over several connections because a malformed reply closes its connection.
// With a single connection, a malformed reply would end all requests in flight at the server.
func (u *Upstream) pickConnection(id string) *connection {
	var best *connection
	for _, conn := range u.connections {
		if conn.accepts(id, u.Settings().MaxStreams) && (best == nil || len(conn.inFlight) < len(best.inFlight)) {
			best = conn
		}
	}
	return best
}

// atConnectionLimit reports whether one of two limits is reached: the limit of connections to this
// server, or the limit of connections to all servers together.
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

// mayGrow reports whether an additional connection may be dialed now.
func (u *Upstream) mayGrow() bool {
	return !u.atConnectionLimit() && u.Clock.Now() >= u.growAfter
}

// startDial dials a connection in the background. The Upstream must not have another dial in
// progress.
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

// readReplies reports each reply on a connection to the actor. When a read fails, it reports the
// error, which ends the connection, and returns. It runs in its own goroutine.
func (u *Upstream) readReplies(conn *connection) {
	for {
		r, err := conn.nextReply(u.Settings().BytesPerSecond, u.Memory)
		posted := u.post(connectionEvent{connection: conn, reply: r, err: err})
		if !posted {
			r.memory.Release()
		}
		if !posted || err != nil {
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
		if !event.connection.closed {
			u.recordMalformedReply(event.err)
		}
		u.closeConnection(event.connection)
	case event.connection.closed:
		event.reply.memory.Release()
	default:
		u.handleReply(ctx, event.connection, event.reply)
	}
}

// handleDialResult handles the end of a dial. If the dial succeeded, it sends the queued attempts
// on the new connection. If the dial failed, it completes them as ConnectFailed.
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

// handleDialFailure completes the attempts that waited for the dial as ConnectFailed. The attempts
// were not written, so the server has executed none of them.
//
// If another connection is open, mayGrow returns false for the next growBackoff milliseconds.
// Without this pause, each request to a cache that accepts few connections would cause another
// dial. With many routers, the handshakes would load the cache.
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

// recordDial records the start and end of a dial in the trace of an attempt that waited for that
// dial. The dial has just ended.
func (u *Upstream) recordDial(attempt *dispatch.Attempt) {
	if attempt.Trace == nil {
		return
	}
	attempt.Trace.Timing.DialedAt = u.dialStartedAt
	attempt.Trace.Timing.ConnectedAt = u.Clock.Now()
}

// flush writes a command that was appended to the connection's write buffer, and then further parts of
// it. It reports whether the write succeeded. If the write fails, the server may have received a part of the command.
// flush then closes the connection.
func (u *Upstream) flush(conn *connection, command []byte, parts ...[]byte) bool {
	conn.lastUsedAt = u.Clock.Now()
	if err := conn.text.Flush(command, writeTimeout, parts...); err != nil {
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
	// If no reply has come on the connection since the attempt was written, the server may never
	// receive the cancel command. The retry would then run at the same time as this attempt. Close
	// the connection, which cancels the attempt at the server.
	if attempt.MayRetry && !conn.repliedSince(sent.writtenAt) {
		u.closeConnection(conn)
		u.completeCanceled(attempt)
		return
	}
	conn.canceledIDs[id] = true
	// A machine that vanishes leaves its connections open and silent. After the machine returns,
	// commands that are written to these connections are lost, so the machine would seem
	// unresponsive for ever. Retire the connection, so that the next attempt uses a new connection.
	// If a client disconnects before unresponsiveAfter, the silence proves nothing, and the
	// connection stays in use. Otherwise, such disconnects would retire all connections, and no
	// further connection could be made.
	unresponsive := !conn.repliedSince(sent.writtenAt) && u.Clock.Now()-sent.writtenAt >= unresponsiveAfter
	if unresponsive || len(conn.canceledIDs) > maxCanceledIDs {
		conn.retired = true
	}
	u.flush(conn, appendCancelCommand(conn.text.WriteBuffer(), id))
	u.completeCanceled(attempt)
	u.closeIfRetired(conn)
}

// closeConnection closes a connection and completes the attempts in flight on it as ConnectionLost.
// The server cancels those attempts when their connection closes. After the actor has received a
// connection from a dial, only closeConnection closes it.
func (u *Upstream) closeConnection(conn *connection) {
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.text.Close() // an error is ignored, because the connection is not used again
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

// closeIdle closes the connections that have been idle for more than idleTimeoutShare of the
// configured idle timeout, so that the router closes them before the server does. It also forgets
// replies that are older than duplicateReplyWindow.
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
