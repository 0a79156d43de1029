package upstream

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/trace"
	"garnetline/routing"
)

const (
	maxInFlight              = 512 // attempts that one server holds from Send until Release
	maxRetainedTraces        = 256 // retained trace ids that wait for the next command to the server
	retainedTracesPerCommand = 4
	closeIdleInterval        = time.Second

	// mailboxSize holds two messages for each attempt (send and cancel) and the drain message,
	// so that adding a message never blocks the pool.
	mailboxSize = 2*maxInFlight + 8
)

// Upstream is the actor that manages the connections to one server. Only the pool uses removed.
// The channels and inFlight may be used by several goroutines. The goroutine of run owns the
// fields from connections on.
type Upstream struct {
	Options
	addr    netip.AddrPort
	removed bool // used only by the pool: the server has left the endpoint list

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
	growAfter     float64 // clock time in ms before which no additional connection is dialed
}

// message is a request from the pool to an Upstream. Exactly one field is set.
type message struct {
	send   *dispatch.Attempt
	cancel *dispatch.Attempt
	drain  bool
}

func newUpstream(options Options, addr netip.AddrPort) *Upstream {
	return &Upstream{
		Options:          options,
		addr:             addr,
		mailbox:          make(chan message, mailboxSize),
		retainedTraces:   make(chan trace.ID, maxRetainedTraces),
		connectionEvents: make(chan connectionEvent),
		stopped:          make(chan struct{}),
	}
}

// drain tells the actor to stop once no attempt is in flight. Further calls have no effect.
// Only the pool calls it.
func (u *Upstream) drain() {
	if u.removed {
		return
	}
	u.removed = true
	u.mailbox <- message{drain: true}
}

// Cancel implements dispatch.TransportState: it tells the actor to cancel the attempt. Only the
// dispatcher's goroutine calls it.
func (u *Upstream) Cancel(attempt *dispatch.Attempt) { u.mailbox <- message{cancel: attempt} }

// Release implements dispatch.TransportState: the dispatcher has handled the attempt's
// completion. Only the dispatcher's goroutine calls it.
func (u *Upstream) Release(*dispatch.Attempt) { u.inFlight.Add(-1) }

// run is the actor's event loop. It returns when the server is drained or ctx ends, closes all
// connections and completes the attempts that are in flight on them.
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

// drained reports whether the server is being drained and no attempt or message is left.
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
	}
}

// sendQueued writes the queued attempts for which a connection is available. It starts a dial
// if attempts are left waiting, or if the connections in use are busy and one may be added.
func (u *Upstream) sendQueued(ctx context.Context) {
	waiting := u.queued[:0]
	busy := false
	for _, attempt := range u.queued {
		conn := u.pickConnection(attempt.Request.TransactionID)
		cause := u.rejectBeforeWrite(attempt)
		switch {
		case cause != nil:
			u.reject(attempt, cause)
		case conn != nil:
			u.writeAttempt(conn, attempt)
			busy = busy || len(conn.inFlight) >= growThreshold
		case u.draining || !u.dialing && u.atConnectionLimit():
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

// rejection says why an attempt is not written and with which result it is completed.
type rejection struct {
	result routing.Result
	reason string
}

// These rejections are shared values, so that a rejection needs no allocation.
var (
	rejectedExcluded           = &rejection{routing.NotSent, "server or fill source excluded"}
	rejectedClientDisconnected = &rejection{routing.NotSent, "client disconnected"}
	rejectedSendWindowClosed   = &rejection{routing.NotSent, "send window closed"}
	rejectedExpired            = &rejection{routing.TimedOut, "expired"}
)

// rejectBeforeWrite returns why an attempt must no longer be written, or nil if it may be.
// It repeats the checks of the routing decision: while the attempt waited for a connection, the
// endpoint list may have changed, the client may have disconnected or the deadline passed.
func (u *Upstream) rejectBeforeWrite(attempt *dispatch.Attempt) *rejection {
	guard := u.Guard()
	switch {
	case guard.Excludes(attempt.Decision.Server), guard.Excludes(attempt.Decision.FillSource):
		return rejectedExcluded
	case attempt.Request.ClientDisconnected(): // the message that cancels the attempt will follow
		return rejectedClientDisconnected
	case attempt.SendDeadline > 0 && u.Clock.Now() >= attempt.SendDeadline:
		return rejectedSendWindowClosed
	case u.Clock.Now() >= attempt.ExpiresAt:
		return rejectedExpired
	}
	return nil
}

// reject completes, without writing it, an attempt that rejectBeforeWrite rejected.
func (u *Upstream) reject(attempt *dispatch.Attempt, cause *rejection) {
	if cause == rejectedClientDisconnected {
		u.Metrics.Add("attempts_unwanted", 1)
	}
	u.Complete(*dispatch.Unsent(attempt, cause.result))
}

// writeAttempt writes an attempt's serve command. It limits the age of an acceptable copy by
// the purges that are known at the time of the write.
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
	command := appendServeCommand(conn.text.WriteBuffer(), attempt, maxAge, now, u.traceFields(attempt))
	if u.flush(conn, command) {
		u.Metrics.Add("attempts_relayed", 1)
	}
}

// traceFields returns the command fields that propagate the attempt's trace context and name
// the traces that are retained, each field with a leading comma. It returns an empty string if
// traces are not propagated to the servers.
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

// cancelAttempt cancels a queued or written attempt. A written attempt is completed only after
// its cancel command has been written or its connection has been closed, so that it is not in
// flight together with its retry.
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

// handleReply completes the attempt that a reply belongs to. A reply without an attempt in
// flight crossed the cancel command of its attempt, or is a duplicate; it is counted as late.
func (u *Upstream) handleReply(ctx context.Context, conn *connection, r reply) {
	now := u.Clock.Now()
	conn.lastReplyAt = now
	conn.lastUsedAt = now
	sent := conn.inFlight[r.id]
	if sent == nil {
		delete(conn.canceledIDs, r.id)
		u.Metrics.Add("peer_answers_late", 1)
		return
	}
	completion, err := r.completion(sent.attempt)
	if err != nil {
		u.Metrics.Add("peer_answers_unreadable", 1)
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

// checkDuplicateReply handles a reply whose result is not Served and that may duplicate the
// reply to an earlier attempt of the same request. It is taken for a duplicate if a reply to the
// same id came on this connection within duplicateReplyWindow. checkDuplicateReply then sends a
// cancel command for the attempt and, unless its class is idempotent, changes the result to
// ServerError, because the cache may have executed the request.
//
// Without this check, a rejection that a cache sent twice completed the next attempt too: that
// attempt kept running at the cache while another one was sent to a different server.
func (u *Upstream) checkDuplicateReply(conn *connection, completion *dispatch.Completion) {
	now := u.Clock.Now()
	id := completion.Attempt.Request.TransactionID
	if at, ok := conn.unservedAt[id]; ok && now-at < duplicateReplyWindow {
		u.Metrics.Add("peer_answers_doubted", 1)
		conn.canceledIDs[id] = true // a third attempt must use another connection
		if completion.Attempt.Class.Idempotency != routing.Idempotent {
			completion.Result = routing.ServerError
		}
		u.flush(conn, appendCancelCommand(conn.text.WriteBuffer(), id))
	}
	conn.unservedAt[id] = now
}
