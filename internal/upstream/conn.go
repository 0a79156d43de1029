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
	maxConnections       = 8      // to one server, retired ones aside
	growThreshold        = 2      // requests in flight on a connection from which on one more is made
	growBackoff          = 2000.0 // ms without a further connection after a failed dial
	maxCanceledIDs       = 256    // on a connection, before it is retired
	writeTimeout         = 100.0  // ms; a write blocks the actor
	idleTimeoutShare     = 0.8    // of the settings' idle timeout, after which this side closes first
	unresponsiveAfter    = 250.0  // ms without a reply, after which a cancel retires the connection
	replyStallTimeout    = 800.0  // ms between reads of a reply, and for all of it besides its bytes' time
	replyTimeFactor      = 4.0    // times what a reply's bytes take at the settings' pace
	duplicateReplyWindow = 1000.0 // ms within which a second reply to an id is expected
)

// connection is one connection to the server. It belongs to the actor but for text's reading
// half, which is the reader goroutine's.
type connection struct {
	text        *textconn.Conn
	inFlight    map[string]*sentAttempt // by transaction id
	canceledIDs map[string]bool         // canceled here: a reply may still come
	unservedAt  map[string]float64      // when a reply other than a served one came: a second may follow
	lastReplyAt float64                 // zero: none has come
	lastUsedAt  float64                 // when something was written or read
	retired     bool                    // takes no new attempt, and is closed when none is in flight
	closed      bool
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	attempt   *dispatch.Attempt
	writtenAt float64
}

// connectionEvent reports to the actor: the result of a dial (dialed or err), a reply, or the
// end of a connection (err).
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

// accepts reports whether a request with an id can be sent on the connection. An id that is
// in flight there, or was canceled there, cannot: a reply that crosses the cancel would be
// taken for the new attempt's.
func (c *connection) accepts(id string, maxStreams int) bool {
	return !c.retired && len(c.inFlight) < maxStreams && c.inFlight[id] == nil && !c.canceledIDs[id]
}

// repliedSince reports whether a reply has come on the connection since a time.
func (c *connection) repliedSince(at float64) bool { return c.lastReplyAt >= at }

// nextReply waits for a reply and reads it. The time for that counts from its first byte.
//
// Symptoms guarded against: a reply that stopped short left the connection open and silent,
// and whatever else was in flight there ran into its deadline. A fixed time for the whole of
// it cut replies whose bytes came at the pace of the settings.
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
		transfer := 1000 * float64(bodyBytes) / bytesPerSecond
		c.text.SetReadPace(replyStallTimeout, replyStallTimeout+replyTimeFactor*transfer)
	})
}

// pickConnection returns the connection with the fewest requests in flight that accepts one
// with an id, or nil.
//
// Symptom guarded against: one malformed reply ended all that was in flight at the server,
// since all of it was on one connection.
func (u *Upstream) pickConnection(id string) *connection {
	var best *connection
	for _, conn := range u.connections {
		if conn.accepts(id, u.Settings().MaxStreams) && (best == nil || len(conn.inFlight) < len(best.inFlight)) {
			best = conn
		}
	}
	return best
}

// atConnectionLimit reports whether this server, or all together, have as many connections as
// they may.
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

// mayGrow reports whether a connection may be added to those there are.
func (u *Upstream) mayGrow() bool {
	return !u.atConnectionLimit() && u.Clock.Now() >= u.growAfter
}

// startDial begins to make a connection. There is one dial at a time.
func (u *Upstream) startDial(ctx context.Context) {
	u.dialing = true
	u.dialStartedAt = u.Clock.Now()
	u.openConnections.Add(1)
	u.Metrics.Add("peer_dials", 1)
	go u.dial(ctx)
}

// dial makes a connection and reports it to the actor. It runs on a goroutine of its own.
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

// readReplies reports the replies of a connection, and at last its end, to the actor. It runs
// on a goroutine of its own.
func (u *Upstream) readReplies(conn *connection) {
	for {
		r, err := conn.nextReply(u.Settings().BytesPerSecond)
		if !u.post(connectionEvent{connection: conn, reply: r, err: err}) || err != nil {
			return
		}
	}
}

// post hands an event to the actor. It reports whether the actor took it or has stopped.
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

// handleDialResult uses a new connection for what is queued, or fails that.
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

// handleDialFailure completes what waited for a connection. One that did not come up proves
// that nothing ran.
//
// Symptom guarded against: at a cache that holds few connections each request of each of many
// routers tried for one more, and each try cost it a handshake.
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

// recordDial enters the dial that has just ended in the trace of an attempt that waited for it.
func (u *Upstream) recordDial(attempt *dispatch.Attempt) {
	if attempt.Trace == nil {
		return
	}
	attempt.Trace.Timing.DialedAt = u.dialStartedAt
	attempt.Trace.Timing.ConnectedAt = u.Clock.Now()
}

// flush writes a command that was appended to the connection's write buffer, and reports
// whether that worked. After an error nobody knows what came through, and the connection is
// closed.
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

// cancelSent cancels an attempt that was written to a connection.
func (u *Upstream) cancelSent(conn *connection, sent *sentAttempt) {
	attempt := sent.attempt
	id := attempt.Request.TransactionID
	delete(conn.inFlight, id)
	// Symptom guarded against: on a connection that had brought no reply since the attempt
	// was written the cancel did not arrive, and the retry was a second copy of the request.
	if attempt.MayRetry && !conn.repliedSince(sent.writtenAt) {
		u.closeConnection(conn)
		u.completeCanceled(attempt)
		return
	}
	conn.canceledIDs[id] = true
	// Symptom guarded against: a machine that vanished leaves its connections open and
	// silent. Commands written to them after its return were lost too, and it looked silent
	// for ever. The delay keeps connections whose clients merely disconnect soon: all of them
	// were retired for that once, and no more could be made.
	unresponsive := !conn.repliedSince(sent.writtenAt) && u.Clock.Now()-sent.writtenAt >= unresponsiveAfter
	if unresponsive || len(conn.canceledIDs) > maxCanceledIDs {
		conn.retired = true
	}
	u.flush(conn, appendCancelCommand(conn.text.WriteBuffer(), id))
	u.completeCanceled(attempt)
	u.closeIfRetired(conn)
}

// closeConnection closes a connection, which cancels everything in flight on it, and completes
// that as lost. No connection is closed anywhere else once it is up.
func (u *Upstream) closeConnection(conn *connection) {
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.text.Close() // the connection is given up in any case
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

// closeIdle closes connections that have been idle for most of the settings' idle timeout,
// before the server does, and forgets ids that no second reply is expected for.
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
