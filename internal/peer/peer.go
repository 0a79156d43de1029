// Package peer speaks RESP to caches, parents and the origin. Each has an
// actor with a mailbox that owns its connections and what is open on them.
package peer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/core"
	"garnetline/internal/sock"
	"garnetline/internal/stats"
	"garnetline/internal/trace"
)

const (
	maxOut   = 512    // attempts that one peer has in hand; each makes two orders at the most
	maxLinks = 8      // connections to one peer
	spread   = 2      // requests open on each of them from which on one more is made
	maxDead  = 256    // ids given up on a connection before it is set aside
	writeIn  = 100.0  // ms that a write may block the actor
	idlePart = 0.8    // of the idle time after which this side closes first
	quietFor = 250.0  // ms without an answer after which a request given up speaks against its connection
	wholeIn  = 800.0  // ms between pieces of an answer, and for all of it beyond what its bytes need
	maxKept  = 256    // verdicts that wait for a peer
	keptRide = 4      // of them, in one command
	growRest = 2e3    // ms without a further connection once a server took no more
	tellMost = 4.0    // times what an answer's bytes need at the told pace that they may take beyond wholeIn
	twiceFor = 1000.0 // ms for which an answer may come a second time
)

// Options are what a Pool shares among its peers.
type Options struct {
	Clock clock.Clock
	Conn  func() config.Conn   // as of now
	Guard func() *decide.Guard // as of now
	End   func(core.End)       // takes the ends of attempts; it may block
	Stats *stats.Set
	Dial  func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // nil: TCP
	Links func() int64                                                   // connections of all peers together; 0: no bound
	// Traced says that peers take the fields trace and kept. The platform's do not.
	Traced bool
	live   *atomic.Int64 // of those, open or being dialled
}

// Pool holds the peers by id. It belongs to the core's goroutine.
type Pool struct {
	Options
	ctx   context.Context
	peers map[decide.ServerID]*Peer
}

// NewPool returns a pool whose peers end with ctx.
func NewPool(ctx context.Context, o Options) *Pool {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
		}
	}
	o.live = new(atomic.Int64)
	return &Pool{Options: o, ctx: ctx, peers: map[decide.ServerID]*Peer{}}
}

// List takes a change of the list: new peers get an actor, those that left
// lose theirs once nothing is out.
func (p *Pool) List(ev config.Event) {
	named := map[decide.ServerID]bool{}
	for _, h := range ev.Hosts {
		named[h.ID] = h.Phase != decide.Gone
		q := p.peers[h.ID]
		if q != nil && (q.addr != h.Dial || q.gone) && h.Phase != decide.Gone {
			q.leave() // another process, or the same at another address
			delete(p.peers, h.ID)
			q = nil
		}
		if q == nil && h.Phase != decide.Gone {
			q = newPeer(p.Options, h.ID, h.Dial)
			p.peers[h.ID] = q
			go q.run(p.ctx)
		}
	}
	for id, q := range p.peers {
		if listed, ok := named[id]; !listed && (ok || ev.Whole) {
			q.leave()
		}
		if q.gone && q.out.Load() == 0 {
			delete(p.peers, id)
		}
	}
}

// Send hands an attempt to its peer.
func (p *Pool) Send(a *core.Attempt) *core.End {
	q := p.peers[a.Get.Server]
	if q == nil || q.gone {
		return core.NotTaken(a, decide.NotSent)
	}
	if q.out.Load() >= maxOut {
		return core.NotTaken(a, decide.Full)
	}
	a.Via = q
	q.out.Add(1)
	q.orders <- order{send: a}
	return nil
}

// Kept tells a server, with what is next written to it, that a trace in which it had a
// part is kept. A server that is sent nothing for long is not told: it has a limit.
func (p *Pool) Kept(server decide.ServerID, id trace.ID) {
	if q := p.peers[server]; q != nil && p.Traced {
		select {
		case q.kept <- id:
		default:
			p.Stats.Add("verdicts_dropped", 1)
		}
	}
}

// Cancel has an attempt given up.
func (p *Pool) Cancel(a *core.Attempt) {
	if q, ok := a.Via.(*Peer); ok {
		q.orders <- order{cancel: a}
	}
}

// Over books that the core has taken the end of an attempt.
func (p *Pool) Over(a *core.Attempt) {
	if q, ok := a.Via.(*Peer); ok {
		q.out.Add(-1)
	}
}

// Peer is the actor of one server.
type Peer struct {
	Options
	id     decide.ServerID
	addr   netip.AddrPort
	orders chan order    // from the core: never full, see maxOut
	kept   chan trace.ID // verdicts that wait for a command to ride on
	events chan event    // from connections
	done   chan struct{}
	out    atomic.Int64 // attempts sent here whose end the core has not taken
	gone   bool         // the pool's: it left the list

	links   []*link
	waiting []*core.Attempt // for a connection
	dialing bool
	dialAt  float64 // when the latest dial began
	leaving bool
	growAt  float64 // no connection beyond those it has is made before
}

type order struct {
	send, cancel *core.Attempt
	leave        bool
}

// event comes from a dial (conn or err), a reader's answer or its end (err).
type event struct {
	link  *link // nil: from a dial
	conn  net.Conn
	reply reply
	err   error
}

// link is one connection.
type link struct {
	k       *sock.Conn
	open    map[string]*sent
	dead    map[string]bool    // given up here: an answer may still cross
	past    map[string]float64 // answered here and not served, and when: a second answer may follow
	heard   float64            // when the latest answer came; 0: none yet
	used    float64            // when it last had something open
	retired bool               // takes nothing new
	lost    bool
}

type sent struct {
	a  *core.Attempt
	at float64
}

func newPeer(o Options, id decide.ServerID, addr netip.AddrPort) *Peer {
	return &Peer{Options: o, id: id, addr: addr, orders: make(chan order, 2*maxOut+8), kept: make(chan trace.ID, maxKept), events: make(chan event),
		done: make(chan struct{})}
}

// leave tells the actor, once, to end when nothing is out.
func (p *Peer) leave() {
	if !p.gone {
		p.gone = true
		p.orders <- order{leave: true}
	}
}

func (p *Peer) run(ctx context.Context) {
	defer close(p.done)
	defer p.closeAll()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for !(p.leaving && p.out.Load() == 0 && len(p.orders) == 0) {
		select {
		case o := <-p.orders:
			p.order(ctx, o)
		case e := <-p.events:
			p.event(ctx, e)
		case <-tick.C:
			p.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (p *Peer) order(ctx context.Context, o order) {
	switch {
	case o.send != nil:
		p.waiting = append(p.waiting, o.send)
		p.work(ctx)
	case o.cancel != nil:
		p.cancel(o.cancel)
	case o.leave:
		p.leaving = true
	}
}

// work writes what waits, and dials where a connection is wanted for it.
func (p *Peer) work(ctx context.Context) {
	held, more := p.waiting[:0], false
	for _, a := range p.waiting {
		l := p.room(a.Req.Txn)
		switch res, ok := p.bars(a); {
		case !ok:
			p.end(*core.NotTaken(a, res))
		case l != nil:
			p.write(l, a)
			more = more || len(l.open) >= spread
		case p.leaving || !p.dialing && p.full():
			p.end(*core.NotTaken(a, decide.Full))
		default:
			held = append(held, a)
		}
	}
	clear(p.waiting[len(held):])
	p.waiting = held
	if (len(held) > 0 || more && !p.full() && p.Clock.Now() >= p.growAt) && !p.dialing {
		p.dialing, p.dialAt = true, p.Clock.Now()
		p.live.Add(1)
		p.Stats.Add("peer_dials", 1)
		go p.dial(ctx)
	}
}

// full tells whether this peer, or all together, have as many connections as they may.
func (p *Peer) full() bool {
	most, links := p.Links(), 0
	for _, l := range p.links {
		if !l.retired {
			links++
		}
	}
	return links >= maxLinks || most > 0 && p.live.Load() >= most
}

// bars holds an attempt against what the change log says now: it may have
// waited here since it was decided.
func (p *Peer) bars(a *core.Attempt) (decide.Result, bool) {
	g := p.Guard()
	switch {
	case g.Bars(a.Get.Server) || g.Bars(a.Get.Source):
		return decide.NotSent, false
	case a.Req.Gone(): // nobody waits for it; that it was given up is on its way
		p.Stats.Add("attempts_unwanted", 1)
		return decide.NotSent, false
	case a.SendBy > 0 && p.Clock.Now() >= a.SendBy:
		return decide.NotSent, false
	case p.Clock.Now() >= a.Until:
		return decide.TimedOut, false
	}
	return 0, true
}

// room returns the connection with the least open that can take a request, or
// nil. An id that is open or was given up on a connection is not used there
// again: an answer that crosses the cancel would be taken for the new attempt's.
//
// Symptom guarded against: one answer that could not be read took all that was
// open with the server along, since all of it was on one connection.
func (p *Peer) room(txn string) (best *link) {
	for _, l := range p.links {
		if !l.retired && len(l.open) < p.Conn().MaxStreams && l.open[txn] == nil && !l.dead[txn] &&
			(best == nil || len(l.open) < len(best.open)) {
			best = l
		}
	}
	return best
}

func (p *Peer) write(l *link, a *core.Attempt) {
	now := p.Clock.Now()
	age := clock.Millis(p.Guard().Age(clock.Duration(now), a.Get.MaxAge, a.Req.Object, a.Req.Group))
	if a.Class.Write {
		age = 0
	}
	l.open[a.Req.Txn] = &sent{a, now}
	if a.Trace != nil {
		a.Trace.Wire.Wrote, a.Trace.Wire.Age = now, age
	}
	if p.flush(l, appendServe(l.k.Out(), a, age, now, p.context(a))) {
		p.Stats.Add("attempts_relayed", 1)
	}
}

// context is the fields by which a trace goes on at a peer that takes them.
func (p *Peer) context(a *core.Attempt) string {
	if !p.Traced {
		return ""
	}
	text := ""
	if a.Trace != nil && a.Trace.Context.Span != 0 {
		text = ",trace=" + a.Trace.Context.String()
	}
	for n := range keptRide {
		select {
		case id := <-p.kept:
			text += []string{",kept=", "+"}[min(n, 1)] + id.String()
		default:
			return text
		}
	}
	return text
}

// flush writes the command that was put together. A write that fails leaves
// nothing to be said about what came through: the connection is lost.
func (p *Peer) flush(l *link, msg []byte) bool {
	l.used = p.Clock.Now()
	err := l.k.Flush(msg, nil, writeIn)
	if err != nil {
		p.lose(l)
	}
	return err == nil
}

// cancel gives an attempt up on the wire, and only then reports it over.
func (p *Peer) cancel(a *core.Attempt) {
	over := core.End{Attempt: a, Result: decide.Cancelled, Load: core.NoLoad()}
	if i := slices.Index(p.waiting, a); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.end(over)
		return
	}
	for _, l := range p.links {
		s := l.open[a.Req.Txn]
		if s == nil || s.a != a {
			continue
		}
		delete(l.open, a.Req.Txn)
		// Symptom guarded against: where a connection has said nothing since, its
		// cancel may not arrive, and the next attempt was a second copy.
		if a.Again && l.heard < s.at {
			p.lose(l)
			p.end(over)
			return
		}
		l.dead[a.Req.Txn] = true
		// Symptoms guarded against: clients that leave soon had all connections
		// set aside, and none could be made. A machine that vanished leaves its
		// connections open and silent; what is written there after it is back
		// would be lost as well, and it would look silent for ever.
		if l.heard < s.at && p.Clock.Now()-s.at >= quietFor || len(l.dead) > maxDead {
			l.retired = true
		}
		p.flush(l, appendCancel(l.k.Out(), a.Req.Txn))
		p.end(over)
		p.settle(l)
		return
	}
}

// settle closes a connection that is set aside and has nothing open.
func (p *Peer) settle(l *link) {
	if l.retired && len(l.open) == 0 {
		p.lose(l)
	}
}

// lose closes a connection, which gives up everything open on it. It is the
// one place where a connection to a peer is given back.
func (p *Peer) lose(l *link) {
	if l.lost {
		return
	}
	l.lost = true
	l.k.Close()
	p.live.Add(-1)
	p.links = slices.DeleteFunc(p.links, func(x *link) bool { return x == l })
	for _, s := range l.open {
		p.end(core.End{Attempt: s.a, Result: decide.Broken, Load: core.NoLoad()})
	}
	l.open = nil
}

func (p *Peer) closeAll() {
	for len(p.links) > 0 {
		p.lose(p.links[0])
	}
}

func (p *Peer) end(e core.End) {
	p.End(e)
}

func (p *Peer) event(ctx context.Context, e event) {
	switch {
	case e.link == nil:
		p.dialed(ctx, e)
	case e.err != nil:
		p.lose(e.link)
	case !e.link.lost:
		p.answered(ctx, e.link, e.reply)
	}
}

// dialed takes the end of a dial. A connection that did not come up proves
// that nothing ran.
func (p *Peer) dialed(ctx context.Context, e event) {
	p.dialing = false
	if e.err != nil {
		p.live.Add(-1)
		p.Stats.Add("peer_dials_failed", 1)
		// Symptom guarded against: at a cache that holds few connections, each request
		// of each of many routers tried for one more, and each try costs it a handshake.
		if len(p.links) > 0 {
			p.growAt = p.Clock.Now() + growRest
		}
		failed := p.waiting
		p.waiting = nil
		for _, a := range failed {
			p.dialledFor(a)
			p.end(*core.NotTaken(a, decide.Unreached))
		}
		return
	}
	now := p.Clock.Now()
	for _, a := range p.waiting {
		p.dialledFor(a)
	}
	l := &link{k: sock.New(e.conn), open: map[string]*sent{}, dead: map[string]bool{}, past: map[string]float64{}, used: now}
	p.links = append(p.links, l)
	go p.read(ctx, l)
	p.work(ctx)
}

// dialledFor notes the dial that has just ended with an attempt that waited for it.
func (p *Peer) dialledFor(a *core.Attempt) {
	if a.Trace != nil {
		a.Trace.Wire.Dialled, a.Trace.Wire.Up = p.dialAt, p.Clock.Now()
	}
}

func (p *Peer) answered(ctx context.Context, l *link, r reply) {
	now := p.Clock.Now()
	l.heard, l.used = now, now
	s := l.open[r.id]
	if s == nil {
		delete(l.dead, r.id) // it crossed the cancel
		p.Stats.Add("peer_answers_late", 1)
		return
	}
	e, err := r.end(s.a)
	if err != nil {
		p.Stats.Add("peer_answers_unreadable", 1)
		p.lose(l)
		return
	}
	delete(l.open, r.id)
	if e.Result != decide.Served {
		p.twice(l, s.a, &e)
	}
	p.end(e)
	p.settle(l)
	p.work(ctx)
}

// twice settles an answer that may be the second one to an attempt before: its request was
// answered on this connection a moment ago and was sent here again.
//
// Symptom guarded against: a refusal that came twice ended the attempt that followed it,
// which ran on at the cache while the next one was sent elsewhere.
func (p *Peer) twice(l *link, a *core.Attempt, e *core.End) {
	now := p.Clock.Now()
	if at, ok := l.past[a.Req.Txn]; ok && now-at < twiceFor {
		p.Stats.Add("peer_answers_doubted", 1)
		l.dead[a.Req.Txn] = true // nothing goes there a third time
		if a.Class.Effect != decide.Safe {
			e.Result = decide.Errored // it may have run
		}
		p.flush(l, appendCancel(l.k.Out(), a.Req.Txn))
	}
	l.past[a.Req.Txn] = now
}

// sweep closes connections that have been idle for long.
func (p *Peer) sweep() {
	now := p.Clock.Now()
	for _, l := range slices.Clone(p.links) {
		maps.DeleteFunc(l.past, func(_ string, at float64) bool { return now-at >= twiceFor })
		if len(l.open) > 0 {
			continue
		}
		l.k.RestOut()
		if now-l.used > p.Conn().Idle*idlePart {
			p.lose(l)
		}
	}
}

func (p *Peer) dial(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(p.Conn().Connect))
	defer stop()
	c, err := p.Dial(ctx, p.addr)
	if !p.tell(event{conn: c, err: err}) { // the actor has ended meanwhile
		p.live.Add(-1)
		if c != nil {
			c.Close()
		}
	}
}

// read hands over the answers of a connection until it ends.
func (p *Peer) read(_ context.Context, l *link) {
	for {
		r, err := l.answer(p.Conn().BytesPerS)
		if !p.tell(event{link: l, reply: r, err: err}) || err != nil {
			return
		}
	}
}

// answer reads one answer, which has some time from its first byte on.
//
// Symptom guarded against: an answer that stops short keeps the connection open
// and silent, and whatever else was open there waited for its deadline. And: a fixed time
// for all of it cut answers whose bytes come at the pace that the settings tell.
func (l *link) answer(bytesPerS float64) (reply, error) {
	if err := l.k.Net.SetReadDeadline(time.Time{}); err != nil {
		return reply{}, err
	}
	l.k.Allow(maxAll)
	if _, err := l.k.R.Peek(1); err != nil {
		return reply{}, err
	}
	l.k.Pace(wholeIn, wholeIn)
	defer l.k.Pace(0, 0)
	return readReply(l.k, func(n int) {
		if bytesPerS > 0 {
			l.k.Pace(wholeIn, wholeIn+tellMost*1000*float64(n)/bytesPerS)
		}
	})
}

func (p *Peer) tell(e event) bool {
	select {
	case p.events <- e:
		return true
	case <-p.done:
		return false
	}
}
