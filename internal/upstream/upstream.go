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
	maxInFlight              = 512 // attempts that one server has been handed and not completed
	maxRetainedTraces        = 256 // ids that wait for a command to the server
	retainedTracesPerCommand = 4
	closeIdleInterval        = time.Second

	// mailboxSize has room for two messages for each attempt, to send and to cancel it, and
	// for the one to drain, so that putting one in never blocks.
	mailboxSize = 2*maxInFlight + 8
)

// Upstream is the actor of one server. The fields below addr that are not marked as shared
// belong to the goroutine of run.
type Upstream struct {
	Options
	addr    netip.AddrPort
	removed bool // the pool's: it has left the endpoint list

	mailbox          chan message  // shared, written by the pool
	retainedTraces   chan trace.ID // shared, written by the pool
	connectionEvents chan connectionEvent
	stopped          chan struct{} // closed when run returns
	inFlight         atomic.Int64  // shared: attempts taken and not yet released

	connections   []*connection
	queued        []*dispatch.Attempt // waiting for a connection
	draining      bool
	dialing       bool
	dialStartedAt float64
	growAfter     float64 // until then no connection is added to those there are
}

// message is what the pool asks of an Upstream: one of the fields is set.
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

// drain asks the actor, once, to end when no attempt is in flight. It is called by the pool.
func (u *Upstream) drain() {
	if u.removed {
		return
	}
	u.removed = true
	u.mailbox <- message{drain: true}
}

// Cancel implements dispatch.TransportState: the actor cancels the attempt. It is called by the
// pool.
func (u *Upstream) Cancel(attempt *dispatch.Attempt) { u.mailbox <- message{cancel: attempt} }

// Release implements dispatch.TransportState: the attempt's completion has been handled. It is
// called by the pool.
func (u *Upstream) Release(*dispatch.Attempt) { u.inFlight.Add(-1) }

// run is the actor. It returns when the server is drained or ctx ends, and completes what is
// in flight on its connections then.
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

// drained reports whether nothing is left to do for a removed server.
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

// sendQueued writes the queued attempts for which there is a connection, and dials where one
// more is wanted.
func (u *Upstream) sendQueued(ctx context.Context) {
	waiting := u.queued[:0]
	busy := false
	for _, attempt := range u.queued {
		conn := u.pickConnection(attempt.Request.TransactionID)
		rejection := u.rejectBeforeWrite(attempt)
		switch {
		case rejection != nil:
			u.reject(attempt, rejection)
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

// rejection is why an attempt is not written, and the result with which it is completed.
type rejection struct {
	result routing.Result
	reason string
}

// The rejections are shared values, so that none costs an allocation.
var (
	rejectedExcluded           = &rejection{routing.NotSent, "server or fill source excluded"}
	rejectedClientDisconnected = &rejection{routing.NotSent, "client disconnected"}
	rejectedSendWindowClosed   = &rejection{routing.NotSent, "send window closed"}
	rejectedExpired            = &rejection{routing.TimedOut, "expired"}
)

// rejectBeforeWrite returns why an attempt must not be written any more, or nil. It repeats
// what was checked when the attempt was decided, since that may have waited for a connection
// while the endpoint list changed, its client disconnected or its time ran out.
func (u *Upstream) rejectBeforeWrite(attempt *dispatch.Attempt) *rejection {
	guard := u.Guard()
	switch {
	case guard.Excludes(attempt.Decision.Server), guard.Excludes(attempt.Decision.FillSource):
		return rejectedExcluded
	case attempt.Request.ClientDisconnected(): // the attempt's cancellation is on its way
		return rejectedClientDisconnected
	case attempt.SendDeadline > 0 && u.Clock.Now() >= attempt.SendDeadline:
		return rejectedSendWindowClosed
	case u.Clock.Now() >= attempt.ExpiresAt:
		return rejectedExpired
	}
	return nil
}

// reject completes an attempt that is not written.
func (u *Upstream) reject(attempt *dispatch.Attempt, why *rejection) {
	if why == rejectedClientDisconnected {
		u.Metrics.Add("attempts_unwanted", 1)
	}
	u.Complete(*dispatch.Unsent(attempt, why.result))
}

// writeAttempt writes an attempt's command. The age that a copy may have is bounded by the
// purges that are known now.
func (u *Upstream) writeAttempt(conn *connection, attempt *dispatch.Attempt) {
	now := u.Clock.Now()
	decision := &attempt.Decision
	maxAge := clock.Millis(u.Guard().MaxAge(clock.Duration(now), decision.MaxAge, attempt.Request.Object, attempt.Request.Group))
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

// traceFields returns the fields of a command that continue the attempt's trace and notify
// the server of retained ones, each with a comma before it. It is empty for servers that take
// no such fields.
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

// cancelAttempt cancels an attempt. It is completed only when its cancellation has been
// written or its connection closed, so that a retry cannot be in flight beside it.
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

// handleReply completes the attempt that a reply belongs to. A reply to none has crossed the
// attempt's cancel, or is the second to one that is completed.
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

// checkDuplicateReply handles a reply other than a served one that may be the second to an
// earlier attempt of the same request: that one was completed on this connection a moment ago
// and the request was sent here again. The attempt is then canceled on the wire, and counts
// as possibly executed unless its class is idempotent.
//
// Symptom guarded against: a rejection that came twice completed the attempt that followed
// it, which ran on at the cache while the next one was sent elsewhere.
func (u *Upstream) checkDuplicateReply(conn *connection, completion *dispatch.Completion) {
	now := u.Clock.Now()
	id := completion.Attempt.Request.TransactionID
	if at, ok := conn.unservedAt[id]; ok && now-at < duplicateReplyWindow {
		u.Metrics.Add("peer_answers_doubted", 1)
		conn.canceledIDs[id] = true // no third attempt on this connection
		if completion.Attempt.Class.Idempotency != routing.Idempotent {
			completion.Result = routing.ServerError
		}
		u.flush(conn, appendCancelCommand(conn.text.WriteBuffer(), id))
	}
	conn.unservedAt[id] = now
}
