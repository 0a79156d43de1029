package upstream

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
	"garnetline/internal/trace"
	"garnetline/routing"
)

const (
	maxInFlight              = 512 // limit of attempts to one server; an attempt counts from Send until Release
	maxRetainedTraces        = 256 // limit of retained trace ids that wait for the next command to the server
	retainedTracesPerCommand = 4
	closeIdleInterval        = time.Second

	// mailboxSize leaves room for two messages per attempt (send and cancel) and for the drain
	// message. The pool therefore never blocks when it adds a message.
	mailboxSize = 2*maxInFlight + 8
)

// Upstream is the actor that manages the connections to one server. Only the pool uses the field
// removed. Several goroutines may use the channels and inFlight. The goroutine of the method run
// owns the field connections and all fields that follow that field.
type Upstream struct {
	Options
	addr    netip.AddrPort
	started time.Duration // start time of the server's process; 0: not known
	removed bool          // used only by the pool: the server has left the endpoint list

	mailbox          chan message  // written by the pool
	retainedTraces   chan trace.ID // written by the pool
	connectionEvents chan connectionEvent
	stopped          chan struct{} // closed when run returns
	inFlight         atomic.Int64  // attempts accepted by Send and not yet released

	connections   []*connection
	queued        []*dispatch.Attempt // waiting for a connection
	draining      bool
	dialing       bool
	dialStartedAt float64 // clock time, in ms
	growAfter     float64 // clock time in ms; no additional connection is dialed before it
}

// message is a request from the pool to an Upstream. Exactly one field is set.
type message struct {
	send   *dispatch.Attempt
	cancel *dispatch.Attempt
	drain  bool
}

func newUpstream(options Options, endpoint platformconfig.Endpoint) *Upstream {
	return &Upstream{
		Options:          options,
		addr:             endpoint.Addr,
		started:          endpoint.StartedAt,
		mailbox:          make(chan message, mailboxSize),
		retainedTraces:   make(chan trace.ID, maxRetainedTraces),
		connectionEvents: make(chan connectionEvent),
		stopped:          make(chan struct{}),
	}
}

// servedBy reports whether the endpoint is the process that the Upstream is connected to. Only the pool
// calls servedBy.
func (u *Upstream) servedBy(endpoint platformconfig.Endpoint) bool {
	restarted := endpoint.StartedAt != 0 && endpoint.StartedAt != u.started
	return !u.removed && u.addr == endpoint.Addr && !restarted
}

// drain tells the actor to stop when no attempt is in flight. Further calls have no effect. Only
// the pool calls drain.
func (u *Upstream) drain() {
	if u.removed {
		return
	}
	u.removed = true
	u.mailbox <- message{drain: true}
}

// Cancel implements dispatch.TransportState. It tells the actor to cancel the attempt. Only the
// dispatcher's goroutine calls Cancel.
func (u *Upstream) Cancel(attempt *dispatch.Attempt) { u.mailbox <- message{cancel: attempt} }

// Release implements dispatch.TransportState. The dispatcher calls it after it has handled the
// completion of an attempt. Only the dispatcher's goroutine calls Release.
func (u *Upstream) Release(*dispatch.Attempt) { u.inFlight.Add(-1) }

// run is the actor's event loop. It returns when the server has been drained or when ctx is done.
// Before it returns, it closes all connections and completes the attempts in flight on them.
func (u *Upstream) run(ctx context.Context) {
	defer close(u.stopped)
	defer u.closeAllConnections()
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for !u.drained() {
		select {
		case m := <-u.mailbox:
			u.handleMessage(ctx, m)
		case event := <-u.connectionEvents:
			u.handleConnectionEvent(ctx, event)
		case <-ticker.C:
			u.closeIdle()
		case <-ctx.Done():
			return
		}
	}
}

// drained reports whether the pool has drained the server and no attempt or message is left.
func (u *Upstream) drained() bool {
	return u.draining && u.inFlight.Load() == 0 && len(u.mailbox) == 0
}

func (u *Upstream) handleMessage(ctx context.Context, m message) {
	switch {
	case m.send != nil:
		u.queued = append(u.queued, m.send)
		u.sendQueued(ctx)
	case m.cancel != nil:
		u.cancelAttempt(m.cancel)
	case m.drain:
		u.draining = true
		u.sendQueued(ctx) // completes the attempts that wait for a connection
	}
}

// sendQueued writes each queued attempt for which a connection is available. It starts a dial in
// two cases: attempts still wait for a connection, or a connection that it used is busy and an
// additional connection may be dialed.
func (u *Upstream) sendQueued(ctx context.Context) {
	waiting := u.queued[:0]
	busy := false
	for _, attempt := range u.queued {
		conn := u.pickConnection(attempt.Request.TransactionID)
		cause := u.rejectBeforeWrite(attempt)
		switch {
		case cause != nil:
			u.reject(attempt, cause)
		case u.draining: // another process may answer at the address now
			u.Complete(*dispatch.Unsent(attempt, routing.NotSent))
		case conn != nil:
			u.writeAttempt(conn, attempt)
			busy = busy || len(conn.inFlight) >= growThreshold
		case !u.dialing && u.atConnectionLimit():
			u.Complete(*dispatch.Unsent(attempt, routing.Rejected))
		default:
			waiting = append(waiting, attempt)
		}
	}
	clear(u.queued[len(waiting):])
	u.queued = waiting
	if u.dialing {
		return
	}
	if len(waiting) > 0 || busy && u.mayGrow() {
		u.startDial(ctx)
	}
}

// rejection says why the actor does not write an attempt. The attempt completes with the given
// result.
type rejection struct {
	result routing.Result
	reason string
}

// The rejections are package variables, so that rejecting an attempt allocates no rejection.
var (
	rejectedExcluded           = &rejection{routing.NotSent, "server or fill source excluded"}
	rejectedClientDisconnected = &rejection{routing.NotSent, "client disconnected"}
	rejectedSendWindowClosed   = &rejection{routing.NotSent, "send window closed"}
	rejectedExpired            = &rejection{routing.TimedOut, "expired"}
)

// rejectBeforeWrite returns the reason not to write an attempt, or nil if the attempt may be
// written. It repeats the checks of the routing decision. While the attempt waited for a
// connection, the endpoint list may have changed, the client may have disconnected, or the deadline
// may have passed.
func (u *Upstream) rejectBeforeWrite(attempt *dispatch.Attempt) *rejection {
	guard := u.Guard()
	switch {
	case guard.Excludes(attempt.Decision.Server), guard.Excludes(attempt.Decision.FillSource):
		return rejectedExcluded
	case attempt.Request.ClientDisconnected(): // the cancel message of the attempt has not arrived yet
		return rejectedClientDisconnected
	case attempt.SendDeadline > 0 && u.Clock.Now() >= attempt.SendDeadline:
		return rejectedSendWindowClosed
	case u.Clock.Now() >= attempt.ExpiresAt:
		return rejectedExpired
	}
	return nil
}

// reject completes an attempt that rejectBeforeWrite rejected. The attempt is not written.
func (u *Upstream) reject(attempt *dispatch.Attempt, cause *rejection) {
	if cause == rejectedClientDisconnected {
		u.Metrics.Add("attempts_unwanted", 1)
	}
	u.Complete(*dispatch.Unsent(attempt, cause.result))
}

// writeAttempt writes the serve command of an attempt. The command limits the age of an acceptable
// copy, because of the purges that are known at the time of the write.
func (u *Upstream) writeAttempt(conn *connection, attempt *dispatch.Attempt) {
	now := u.Clock.Now()
	decision := &attempt.Decision
	maxAge := clock.Millis(u.Guard().MaxAge(clock.Duration(now), decision.MaxAge, attempt.Request.Object, attempt.Request.PurgeGroup))
	if attempt.Class.Write {
		maxAge = 0
	}
	conn.inFlight[attempt.Request.TransactionID] = &sentAttempt{attempt: attempt, writtenAt: now}
	if attempt.Trace != nil {
		attempt.Trace.Timing.WrittenAt = now
		attempt.Trace.Timing.MaxAge = maxAge
	}
	body := attempt.Request.Body
	head := appendServeHead(conn.text.WriteBuffer(), attempt, maxAge, now, u.traceFields(attempt))
	if u.flush(conn, head, body, bulkEnd) {
		u.Metrics.Add("attempts_relayed", 1)
	}
}

// traceFields returns the command fields that propagate the trace context of the attempt and name
// retained traces. Each field has a leading comma. traceFields returns an empty string if the
// servers do not accept these fields.
func (u *Upstream) traceFields(attempt *dispatch.Attempt) string {
	if !u.PropagateTraces {
		return ""
	}
	fields := ""
	if attempt.Trace != nil && attempt.Trace.Context.Span != 0 {
		fields = ",trace=" + attempt.Trace.Context.String()
	}
	separator := ",kept="
	for range retainedTracesPerCommand {
		select {
		case id := <-u.retainedTraces:
			fields += separator + id.String()
			separator = "+"
		default:
			return fields
		}
	}
	return fields
}

// cancelAttempt cancels a queued or written attempt. It completes a written attempt only after it
// has written the cancel command or closed the connection. The attempt and its retry are therefore
// never in flight at the same time.
func (u *Upstream) cancelAttempt(attempt *dispatch.Attempt) {
	if i := slices.Index(u.queued, attempt); i >= 0 {
		u.queued = slices.Delete(u.queued, i, i+1)
		u.completeCanceled(attempt)
		return
	}
	for _, conn := range u.connections {
		sent := conn.inFlight[attempt.Request.TransactionID]
		if sent != nil && sent.attempt == attempt {
			u.cancelSent(conn, sent)
			return
		}
	}
}

func (u *Upstream) completeCanceled(attempt *dispatch.Attempt) {
	u.Complete(dispatch.Completion{Attempt: attempt, Result: routing.Canceled, Load: dispatch.UnknownLoad()})
}

// handleReply completes the attempt to which a reply belongs. If no attempt with the id of the
// reply is in flight, the reply is counted as late. Such a reply is a duplicate, or the server sent
// it before it received the cancel command of the attempt.
func (u *Upstream) handleReply(ctx context.Context, conn *connection, r reply) {
	now := u.Clock.Now()
	conn.lastReplyAt = now
	conn.lastUsedAt = now
	sent := conn.inFlight[r.id]
	if sent == nil {
		r.memory.Release()
		delete(conn.canceledIDs, r.id)
		u.Metrics.Add("peer_answers_late", 1)
		return
	}
	completion, err := r.completion(sent.attempt)
	if err != nil {
		r.memory.Release()
		u.recordMalformedReply(err)
		u.closeConnection(conn)
		return
	}
	delete(conn.inFlight, r.id)
	if completion.Result != routing.Served {
		u.checkDuplicateReply(conn, &completion)
	}
	u.Complete(completion)
	u.closeIfRetired(conn)
	u.sendQueued(ctx)
}

// recordMalformedReply counts and logs a reply that cannot be used. Other errors of a connection, such as
// its end, are not malformed replies and are not recorded.
func (u *Upstream) recordMalformedReply(err error) {
	if !errors.Is(err, errMalformedReply) && !errors.Is(err, textconn.ErrMessageTooLong) {
		return
	}
	u.Metrics.Add("peer_answers_unreadable", 1)
	u.Log.Warn().Str("server", u.addr.String()).Err(err).Msg("malformed reply, closing the connection to the server")
}

// checkDuplicateReply handles a reply with a result other than Served. The reply counts as a
// duplicate if a reply with the same id and such a result came on the same connection within
// duplicateReplyWindow. A duplicate may belong to an earlier attempt of the request, and the cache
// may still execute the current attempt. checkDuplicateReply therefore sends a cancel command for
// the current attempt. If the class of the request is not idempotent, it also changes the result to
// ServerError, which says that the cache may have executed the request.
//
// If duplicates were not detected, a rejection that a cache sends twice would complete the next
// attempt too, and no cancel command would follow. That attempt would keep running at the cache
// while the dispatcher sends another attempt to a different server.
func (u *Upstream) checkDuplicateReply(conn *connection, completion *dispatch.Completion) {
	now := u.Clock.Now()
	id := completion.Attempt.Request.TransactionID
	if at, ok := conn.unservedAt[id]; ok && now-at < duplicateReplyWindow {
		u.Metrics.Add("peer_answers_doubted", 1)
		conn.canceledIDs[id] = true // the next attempt of the request must use another connection
		if completion.Attempt.Class.Idempotency != routing.Idempotent {
			completion.Result = routing.ServerError
		}
		u.flush(conn, appendCancelCommand(conn.text.WriteBuffer(), id))
	}
	conn.unservedAt[id] = now
}
