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
	maxInFlight              = 512    // attempts that one peer has in hand; each makes two orders at the most
	maxConnections           = 8      // connections to one peer
	growThreshold            = 2      // requests open on each of them from which on one more is made
	maxCanceledIDs           = 256    // ids given up on a connection before it is set aside
	writeTimeout             = 100.0  // ms that a write may block the actor
	idleTimeoutShare         = 0.8    // of the idle time after which this side closes first
	unresponsiveAfter        = 250.0  // ms without an answer after which a request given up speaks against its connection
	replyStallTimeout        = 800.0  // ms between pieces of an answer, and for all of it beyond what its bytes need
	maxRetainedTraces        = 256    // verdicts that wait for a peer
	retainedTracesPerCommand = 4      // of them, in one command
	growBackoff              = 2e3    // ms without a further connection once a server took no more
	replyTimeFactor          = 4.0    // times what an answer's bytes need at the told pace that they may take beyond wholeIn
	duplicateReplyWindow     = 1000.0 // ms for which an answer may come a second time
)

// Upstream is the actor of one server.
type Upstream struct {
	Options
	id               routing.ServerID
	addr             netip.AddrPort
	mailbox          chan message         // from the core: never full, see maxOut
	retainedTraces   chan trace.ID        // verdicts that wait for a command to ride on
	connectionEvents chan connectionEvent // from connections
	stopped          chan struct{}
	inFlight         atomic.Int64 // attempts sent here whose end the core has not taken
	removed          bool         // the pool's: it left the list

	connections   []*connection
	queued        []*dispatch.Attempt // for a connection
	dialing       bool
	dialStartedAt float64 // when the latest dial began
	draining      bool
	growAfter     float64 // no connection beyond those it has is made before
}

type message struct {
	send, cancel *dispatch.Attempt
	drain        bool
}

func newUpstream(o Options, id routing.ServerID, addr netip.AddrPort) *Upstream {
	return &Upstream{Options: o, id: id, addr: addr, mailbox: make(chan message, 2*maxInFlight+8), retainedTraces: make(chan trace.ID, maxRetainedTraces), connectionEvents: make(chan connectionEvent),
		stopped: make(chan struct{})}
}

// drain tells the actor, once, to end when nothing is out.
func (p *Upstream) drain() {
	if !p.removed {
		p.removed = true
		p.mailbox <- message{drain: true}
	}
}

func (p *Upstream) run(ctx context.Context) {
	defer close(p.stopped)
	defer p.closeAllConnections()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for !(p.draining && p.inFlight.Load() == 0 && len(p.mailbox) == 0) {
		select {
		case o := <-p.mailbox:
			p.handleMessage(ctx, o)
		case e := <-p.connectionEvents:
			p.handleConnectionEvent(ctx, e)
		case <-tick.C:
			p.closeIdle()
		case <-ctx.Done():
			return
		}
	}
}

func (p *Upstream) handleMessage(ctx context.Context, o message) {
	switch {
	case o.send != nil:
		p.queued = append(p.queued, o.send)
		p.sendQueued(ctx)
	case o.cancel != nil:
		p.cancelAttempt(o.cancel)
	case o.drain:
		p.draining = true
	}
}

// sendQueued writes what waits, and dials where a connection is wanted for it.
func (p *Upstream) sendQueued(ctx context.Context) {
	held, more := p.queued[:0], false
	for _, a := range p.queued {
		l := p.pickConnection(a.Request.TransactionID)
		switch res, ok := p.rejectBeforeWrite(a); {
		case !ok:
			p.complete(*dispatch.Unsent(a, res))
		case l != nil:
			p.writeAttempt(l, a)
			more = more || len(l.inFlight) >= growThreshold
		case p.draining || !p.dialing && p.atConnectionLimit():
			p.complete(*dispatch.Unsent(a, routing.Rejected))
		default:
			held = append(held, a)
		}
	}
	clear(p.queued[len(held):])
	p.queued = held
	if (len(held) > 0 || more && !p.atConnectionLimit() && p.Clock.Now() >= p.growAfter) && !p.dialing {
		p.dialing, p.dialStartedAt = true, p.Clock.Now()
		p.openConnections.Add(1)
		p.Metrics.Add("peer_dials", 1)
		go p.dial(ctx)
	}
}

// rejectBeforeWrite holds an attempt against what the change log says now: it may have
// waited here since it was decided.
func (p *Upstream) rejectBeforeWrite(a *dispatch.Attempt) (routing.Result, bool) {
	g := p.Guard()
	switch {
	case g.Excludes(a.Decision.Server) || g.Excludes(a.Decision.FillSource):
		return routing.NotSent, false
	case a.Request.ClientDisconnected(): // nobody waits for it; that it was given up is on its way
		p.Metrics.Add("attempts_unwanted", 1)
		return routing.NotSent, false
	case a.SendDeadline > 0 && p.Clock.Now() >= a.SendDeadline:
		return routing.NotSent, false
	case p.Clock.Now() >= a.ExpiresAt:
		return routing.TimedOut, false
	}
	return 0, true
}

func (p *Upstream) writeAttempt(l *connection, a *dispatch.Attempt) {
	now := p.Clock.Now()
	age := clock.Millis(p.Guard().MaxAge(clock.Duration(now), a.Decision.MaxAge, a.Request.Object, a.Request.Group))
	if a.Class.Write {
		age = 0
	}
	l.inFlight[a.Request.TransactionID] = &sentAttempt{a, now}
	if a.Trace != nil {
		a.Trace.Timing.Wrote, a.Trace.Timing.Age = now, age
	}
	if p.flush(l, appendServeCommand(l.text.WriteBuffer(), a, age, now, p.traceFields(a))) {
		p.Metrics.Add("attempts_relayed", 1)
	}
}

// traceFields is the fields by which a trace goes on at a peer that takes them.
func (p *Upstream) traceFields(a *dispatch.Attempt) string {
	if !p.PropagateTraces {
		return ""
	}
	text := ""
	if a.Trace != nil && a.Trace.Context.Span != 0 {
		text = ",trace=" + a.Trace.Context.String()
	}
	for n := range retainedTracesPerCommand {
		select {
		case id := <-p.retainedTraces:
			text += []string{",kept=", "+"}[min(n, 1)] + id.String()
		default:
			return text
		}
	}
	return text
}

// cancelAttempt gives an attempt up on the wire, and only then reports it over.
func (p *Upstream) cancelAttempt(a *dispatch.Attempt) {
	over := dispatch.Completion{Attempt: a, Result: routing.Canceled, Load: dispatch.UnknownLoad()}
	if i := slices.Index(p.queued, a); i >= 0 {
		p.queued = slices.Delete(p.queued, i, i+1)
		p.complete(over)
		return
	}
	for _, l := range p.connections {
		s := l.inFlight[a.Request.TransactionID]
		if s == nil || s.attempt != a {
			continue
		}
		delete(l.inFlight, a.Request.TransactionID)
		// Symptom guarded against: where a connection has said nothing since, its
		// cancel may not arrive, and the next attempt was a second copy.
		if a.MayRetry && l.lastReplyAt < s.writtenAt {
			p.closeConnection(l)
			p.complete(over)
			return
		}
		l.canceledIDs[a.Request.TransactionID] = true
		// Symptoms guarded against: clients that leave soon had all connections
		// set aside, and none could be made. A machine that vanished leaves its
		// connections open and silent; what is written there after it is back
		// would be lost as well, and it would look silent for ever.
		if l.lastReplyAt < s.writtenAt && p.Clock.Now()-s.writtenAt >= unresponsiveAfter || len(l.canceledIDs) > maxCanceledIDs {
			l.retired = true
		}
		p.flush(l, appendCancelCommand(l.text.WriteBuffer(), a.Request.TransactionID))
		p.complete(over)
		p.closeIfRetired(l)
		return
	}
}

func (p *Upstream) complete(e dispatch.Completion) {
	p.Complete(e)
}

func (p *Upstream) handleReply(ctx context.Context, l *connection, r reply) {
	now := p.Clock.Now()
	l.lastReplyAt, l.lastUsedAt = now, now
	s := l.inFlight[r.id]
	if s == nil {
		delete(l.canceledIDs, r.id) // it crossed the cancel
		p.Metrics.Add("peer_answers_late", 1)
		return
	}
	e, err := r.completion(s.attempt)
	if err != nil {
		p.Metrics.Add("peer_answers_unreadable", 1)
		p.closeConnection(l)
		return
	}
	delete(l.inFlight, r.id)
	if e.Result != routing.Served {
		p.checkDuplicateReply(l, s.attempt, &e)
	}
	p.complete(e)
	p.closeIfRetired(l)
	p.sendQueued(ctx)
}

// checkDuplicateReply settles an answer that may be the second one to an attempt before: its request was
// answered on this connection a moment ago and was sent here again.
//
// Symptom guarded against: a refusal that came twice ended the attempt that followed it,
// which ran on at the cache while the next one was sent elsewhere.
func (p *Upstream) checkDuplicateReply(l *connection, a *dispatch.Attempt, e *dispatch.Completion) {
	now := p.Clock.Now()
	if at, ok := l.unservedAt[a.Request.TransactionID]; ok && now-at < duplicateReplyWindow {
		p.Metrics.Add("peer_answers_doubted", 1)
		l.canceledIDs[a.Request.TransactionID] = true // nothing goes there a third time
		if a.Class.Idempotency != routing.Idempotent {
			e.Result = routing.ServerError // it may have run
		}
		p.flush(l, appendCancelCommand(l.text.WriteBuffer(), a.Request.TransactionID))
	}
	l.unservedAt[a.Request.TransactionID] = now
}
