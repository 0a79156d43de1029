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
