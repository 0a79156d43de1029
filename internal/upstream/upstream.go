// Package peer speaks RESP to caches, parents and the origin. Each has an
// actor with a mailbox that owns its connections and what is open on them.
package upstream

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
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

// Options are what a Pool shares among its peers.
type Options struct {
	Clock          clock.Clock
	Settings       func() platformconfig.Upstream // as of now
	Guard          func() *routing.Guard          // as of now
	Complete       func(dispatch.Completion)      // takes the ends of attempts; it may block
	Metrics        *metrics.Registry
	Dial           func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // nil: TCP
	MaxConnections func() int64                                                   // connections of all peers together; 0: no bound
	// PropagateTraces says that peers take the fields trace and kept. The platform's do not.
	PropagateTraces bool
	openConnections *atomic.Int64 // of those, open or being dialled
}

// Pool holds the peers by id. It belongs to the core's goroutine.
type Pool struct {
	Options
	ctx       context.Context
	upstreams map[routing.ServerID]*Upstream
}

// NewPool returns a pool whose peers end with ctx.
func NewPool(ctx context.Context, o Options) *Pool {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
		}
	}
	o.openConnections = new(atomic.Int64)
	return &Pool{Options: o, ctx: ctx, upstreams: map[routing.ServerID]*Upstream{}}
}

// UpdateEndpoints takes a change of the list: new peers get an actor, those that left
// lose theirs once nothing is out.
func (p *Pool) UpdateEndpoints(ev platformconfig.WatchEvent) {
	named := map[routing.ServerID]bool{}
	for _, h := range ev.Endpoints {
		named[h.ID] = h.Phase != routing.Removed
		q := p.upstreams[h.ID]
		if q != nil && (q.addr != h.Addr || q.removed) && h.Phase != routing.Removed {
			q.drain() // another process, or the same at another address
			delete(p.upstreams, h.ID)
			q = nil
		}
		if q == nil && h.Phase != routing.Removed {
			q = newUpstream(p.Options, h.ID, h.Addr)
			p.upstreams[h.ID] = q
			go q.run(p.ctx)
		}
	}
	for id, q := range p.upstreams {
		if listed, ok := named[id]; !listed && (ok || ev.Snapshot) {
			q.drain()
		}
		if q.removed && q.inFlight.Load() == 0 {
			delete(p.upstreams, id)
		}
	}
}

// Send hands an attempt to its peer.
func (p *Pool) Send(a *dispatch.Attempt) *dispatch.Completion {
	q := p.upstreams[a.Decision.Server]
	if q == nil || q.removed {
		return dispatch.Unsent(a, routing.NotSent)
	}
	if q.inFlight.Load() >= maxInFlight {
		return dispatch.Unsent(a, routing.Rejected)
	}
	a.TransportState = q
	q.inFlight.Add(1)
	q.mailbox <- message{send: a}
	return nil
}

// TraceRetained tells a server, with what is next written to it, that a trace in which it had a
// part is kept. A server that is sent nothing for long is not told: it has a limit.
func (p *Pool) TraceRetained(server routing.ServerID, id trace.ID) {
	if q := p.upstreams[server]; q != nil && p.PropagateTraces {
		select {
		case q.retainedTraces <- id:
		default:
			p.Metrics.Add("verdicts_dropped", 1)
		}
	}
}

// Cancel has an attempt given up.
func (p *Pool) Cancel(a *dispatch.Attempt) {
	if q, ok := a.TransportState.(*Upstream); ok {
		q.mailbox <- message{cancel: a}
	}
}

// Release books that the core has taken the end of an attempt.
func (p *Pool) Release(a *dispatch.Attempt) {
	if q, ok := a.TransportState.(*Upstream); ok {
		q.inFlight.Add(-1)
	}
}

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

// connectionEvent comes from a dial (conn or err), a reader's answer or its end (err).
type connectionEvent struct {
	connection *connection // nil: from a dial
	dialed     net.Conn
	reply      reply
	err        error
}

// connection is one connection.
type connection struct {
	text        *textconn.Conn
	inFlight    map[string]*sentAttempt
	canceledIDs map[string]bool    // given up here: an answer may still cross
	unservedAt  map[string]float64 // answered here and not served, and when: a second answer may follow
	lastReplyAt float64            // when the latest answer came; 0: none yet
	lastUsedAt  float64            // when it last had something open
	retired     bool               // takes nothing new
	closed      bool
}

type sentAttempt struct {
	attempt   *dispatch.Attempt
	writtenAt float64
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

// atConnectionLimit tells whether this peer, or all together, have as many connections as they may.
func (p *Upstream) atConnectionLimit() bool {
	most, links := p.MaxConnections(), 0
	for _, l := range p.connections {
		if !l.retired {
			links++
		}
	}
	return links >= maxConnections || most > 0 && p.openConnections.Load() >= most
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

// pickConnection returns the connection with the least open that can take a request, or
// nil. An id that is open or was given up on a connection is not used there
// again: an answer that crosses the cancel would be taken for the new attempt's.
//
// Symptom guarded against: one answer that could not be read took all that was
// open with the server along, since all of it was on one connection.
func (p *Upstream) pickConnection(txn string) (best *connection) {
	for _, l := range p.connections {
		if !l.retired && len(l.inFlight) < p.Settings().MaxStreams && l.inFlight[txn] == nil && !l.canceledIDs[txn] &&
			(best == nil || len(l.inFlight) < len(best.inFlight)) {
			best = l
		}
	}
	return best
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

// flush writes the command that was put together. A write that fails leaves
// nothing to be said about what came through: the connection is lost.
func (p *Upstream) flush(l *connection, msg []byte) bool {
	l.lastUsedAt = p.Clock.Now()
	err := l.text.Flush(msg, nil, writeTimeout)
	if err != nil {
		p.closeConnection(l)
	}
	return err == nil
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

// closeIfRetired closes a connection that is set aside and has nothing open.
func (p *Upstream) closeIfRetired(l *connection) {
	if l.retired && len(l.inFlight) == 0 {
		p.closeConnection(l)
	}
}

// closeConnection closes a connection, which gives up everything open on it. It is the
// one place where a connection to a peer is given back.
func (p *Upstream) closeConnection(l *connection) {
	if l.closed {
		return
	}
	l.closed = true
	l.text.Close()
	p.openConnections.Add(-1)
	p.connections = slices.DeleteFunc(p.connections, func(x *connection) bool { return x == l })
	for _, s := range l.inFlight {
		p.complete(dispatch.Completion{Attempt: s.attempt, Result: routing.ConnectionLost, Load: dispatch.UnknownLoad()})
	}
	l.inFlight = nil
}

func (p *Upstream) closeAllConnections() {
	for len(p.connections) > 0 {
		p.closeConnection(p.connections[0])
	}
}

func (p *Upstream) complete(e dispatch.Completion) {
	p.Complete(e)
}

func (p *Upstream) handleConnectionEvent(ctx context.Context, e connectionEvent) {
	switch {
	case e.connection == nil:
		p.handleDialResult(ctx, e)
	case e.err != nil:
		p.closeConnection(e.connection)
	case !e.connection.closed:
		p.handleReply(ctx, e.connection, e.reply)
	}
}

// handleDialResult takes the end of a dial. A connection that did not come up proves
// that nothing ran.
func (p *Upstream) handleDialResult(ctx context.Context, e connectionEvent) {
	p.dialing = false
	if e.err != nil {
		p.openConnections.Add(-1)
		p.Metrics.Add("peer_dials_failed", 1)
		// Symptom guarded against: at a cache that holds few connections, each request
		// of each of many routers tried for one more, and each try costs it a handshake.
		if len(p.connections) > 0 {
			p.growAfter = p.Clock.Now() + growBackoff
		}
		failed := p.queued
		p.queued = nil
		for _, a := range failed {
			p.recordDial(a)
			p.complete(*dispatch.Unsent(a, routing.ConnectFailed))
		}
		return
	}
	now := p.Clock.Now()
	for _, a := range p.queued {
		p.recordDial(a)
	}
	l := &connection{text: textconn.New(e.dialed), inFlight: map[string]*sentAttempt{}, canceledIDs: map[string]bool{}, unservedAt: map[string]float64{}, lastUsedAt: now}
	p.connections = append(p.connections, l)
	go p.readReplies(ctx, l)
	p.sendQueued(ctx)
}

// recordDial notes the dial that has just ended with an attempt that waited for it.
func (p *Upstream) recordDial(a *dispatch.Attempt) {
	if a.Trace != nil {
		a.Trace.Timing.Dialled, a.Trace.Timing.Up = p.dialStartedAt, p.Clock.Now()
	}
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

// closeIdle closes connections that have been idle for long.
func (p *Upstream) closeIdle() {
	now := p.Clock.Now()
	for _, l := range slices.Clone(p.connections) {
		maps.DeleteFunc(l.unservedAt, func(_ string, at float64) bool { return now-at >= duplicateReplyWindow })
		if len(l.inFlight) > 0 {
			continue
		}
		l.text.ShrinkWriteBuffer()
		if now-l.lastUsedAt > p.Settings().IdleTimeout*idleTimeoutShare {
			p.closeConnection(l)
		}
	}
}

func (p *Upstream) dial(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(p.Settings().ConnectTimeout))
	defer stop()
	c, err := p.Dial(ctx, p.addr)
	if !p.post(connectionEvent{dialed: c, err: err}) { // the actor has ended meanwhile
		p.openConnections.Add(-1)
		if c != nil {
			c.Close()
		}
	}
}

// readReplies hands over the answers of a connection until it ends.
func (p *Upstream) readReplies(_ context.Context, l *connection) {
	for {
		r, err := l.nextReply(p.Settings().BytesPerSecond)
		if !p.post(connectionEvent{connection: l, reply: r, err: err}) || err != nil {
			return
		}
	}
}

// nextReply reads one answer, which has some time from its first byte on.
//
// Symptom guarded against: an answer that stops short keeps the connection open
// and silent, and whatever else was open there waited for its deadline. And: a fixed time
// for all of it cut answers whose bytes come at the pace that the settings tell.
func (l *connection) nextReply(bytesPerS float64) (reply, error) {
	if err := l.text.NetConn.SetReadDeadline(time.Time{}); err != nil {
		return reply{}, err
	}
	l.text.LimitRead(maxReplyBytes)
	if _, err := l.text.R.Peek(1); err != nil {
		return reply{}, err
	}
	l.text.SetReadPace(replyStallTimeout, replyStallTimeout)
	defer l.text.SetReadPace(0, 0)
	return readReply(l.text, func(n int) {
		if bytesPerS > 0 {
			l.text.SetReadPace(replyStallTimeout, replyStallTimeout+replyTimeFactor*1000*float64(n)/bytesPerS)
		}
	})
}

func (p *Upstream) post(e connectionEvent) bool {
	select {
	case p.connectionEvents <- e:
		return true
	case <-p.stopped:
		return false
	}
}
