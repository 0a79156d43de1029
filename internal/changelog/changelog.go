// Package changelog follows the log of list changes and purges. Its actor
// owns the connection and the number of the last event, and publishes what
// attempts are held against when they are written.
package changelog

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/marks"
	"garnetline/internal/sock"
	"garnetline/internal/stats"
)

const (
	recordLen  = 27
	headLen    = 8 + 1                       // number and kind, which the length counts
	maxFrame   = headLen + recordLen*(8<<10) // a list longer than any fleet
	silence    = 1600.0                      // ms without a frame: one comes each second
	dialWithin = 500.0
	retryFirst = 50.0 // ms before the next connection; doubles
	retryMost  = 800.0
	marksEvery = 200 * time.Millisecond // between looks at what another process was told
	// catchWithin is the time that a log has for its first word: what is new comes
	// at once, and where nothing is, a successor must not be late for that.
	catchWithin = 300.0
)

// ErrFrame reports a frame that cannot be used.
var ErrFrame = errors.New("change log: broken frame")

// ErrGap reports that events are missing before the one that came.
var ErrGap = errors.New("change log: events missing")

// Log is the actor of the change log, and of the list that it tells.
type Log struct {
	clock  clock.Clock
	conf   *config.Config      // Run's
	box    chan *config.Config // the next one, the latest only
	orders chan order          // from staff
	tell   func(config.Event)
	count  *stats.Set
	guard  atomic.Pointer[decide.Guard]
	seq    uint64
	missed uint64 // the number that was missing when the log was last asked anew for it
	dial   func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	marks  marks.Dir
	hosts  map[decide.ServerID]config.Host   // as listed, without those that are gone
	banned map[decide.ServerID]time.Duration // taken out by staff, with the start listed then
	listed atomic.Int64                      // how many hosts there are
	barred atomic.Int64                      // how many of them may not be sent to
	heard  atomic.Bool                       // its word is as new as it can be had soon
	caught chan struct{}                     // closed then
	fleet  neighbours
	boxes  atomic.Pointer[[]config.Host]     // that are ready; nil without neighbours
	out    atomic.Pointer[[]decide.ServerID] // that staff took out; the same
}

// order is a call of staff to take a cache out, or back.
type order struct {
	id    decide.ServerID
	out   bool
	quiet bool // of the register: the others have it too
	err   chan error
}

// ErrUnknown reports a cache that is neither listed nor taken out.
var ErrUnknown = errors.New("unknown cache")

// New returns a log that has told what the configuration knows. tell takes
// each event, in order; it may block.
func New(c clock.Clock, conf *config.Config, tell func(config.Event), s *stats.Set) *Log {
	l := &Log{clock: c, conf: conf, box: make(chan *config.Config, 1), orders: make(chan order), tell: tell, count: s,
		seq: conf.Seq, marks: marks.In(conf.State), hosts: map[decide.ServerID]config.Host{},
		banned: map[decide.ServerID]time.Duration{}, caught: make(chan struct{})}
	l.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	}
	l.guard.Store(&decide.Guard{Done: conf.Settings.PurgeDone, Grace: conf.Settings.PurgeGrace})
	return l
}

// Guard returns what attempts are held against now. It does not change.
func (l *Log) Guard() *decide.Guard { return l.guard.Load() }

// Listed returns how many servers the list holds, and how many of them are
// draining or taken out.
func (l *Log) Listed() (all, barred int64) { return l.listed.Load(), l.barred.Load() }

// Caught is closed once the log has spoken, or has had its time to.
func (l *Log) Caught() <-chan struct{} { return l.caught }

// Reload has the log that another configuration names followed, from the last
// number held and at once. It never blocks and has one caller at a time.
func (l *Log) Reload(conf *config.Config) {
	select {
	case <-l.box: // never taken up
	default:
	}
	l.box <- conf
}

// Switch takes a cache out of use, or back, whatever the list says of it. When it
// returns without an error, nothing that is written from then on goes there.
func (l *Log) Switch(ctx context.Context, id decide.ServerID, out bool) error {
	return l.call(ctx, order{id: id, out: out, err: make(chan error, 1)})
}

func (l *Log) call(ctx context.Context, o order) error {
	select {
	case l.orders <- o:
		return <-o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run tells what is known and then follows the log until ctx ends.
func (l *Log) Run(ctx context.Context) {
	marked, err := l.marks.All()
	if err != nil {
		l.count.Add("marks_unread", 1)
	}
	for id := range marked {
		l.banned[id] = 0
	}
	l.showOut()
	for _, ev := range l.conf.Known {
		l.take(ev)
	}
	late := time.AfterFunc(clock.Duration(catchWithin), l.catch)
	defer late.Stop()
	wait := pauses{draw: rand.New(rand.NewPCG(l.conf.Seed, 0))}
	for ctx.Err() == nil {
		heard, next, err := l.session(ctx)
		if next == nil && ctx.Err() == nil {
			l.count.Add("changelog_reconnects", 1)
			if errors.Is(err, ErrFrame) {
				l.count.Add("changelog_broken_frames", 1)
			}
			_, next, _ = l.work(ctx, nil, time.After(clock.Duration(wait.next(heard))))
		}
		if next != nil {
			l.adopt(next)
			wait.most = 0
		}
	}
}

// pauses are the waits between connections: they double up to retryMost while
// nothing is heard, and each is drawn from the upper half of its length.
//
// Symptom guarded against: a log that goes away is missed by all routers at one
// moment, and all of them, hundreds in a fleet, came back to it at one moment too.
type pauses struct {
	draw *rand.Rand
	most float64 // the longest that the latest could be, ms; 0: there was none
}

// next returns the wait, in milliseconds, after a connection on which something
// was heard or not.
func (p *pauses) next(heard bool) float64 {
	if p.most = min(2*p.most, retryMost); heard || p.most == 0 {
		p.most = retryFirst
	}
	return p.most * (1 + p.draw.Float64()) / 2
}

// catch says that the log has spoken, or will not soon.
func (l *Log) catch() {
	if !l.heard.Swap(true) {
		close(l.caught)
	}
}

// session follows one connection until it breaks or another configuration
// comes, which cuts it.
func (l *Log) session(ctx context.Context) (heard bool, next *config.Config, err error) {
	ctx, cut := context.WithCancel(ctx)
	frames := make(chan message)
	done := make(chan struct{})
	go func(c *config.Config, seq uint64) {
		defer close(done)
		l.follow(ctx, c, seq, frames)
	}(l.conf, l.seq)
	defer func() { cut(); <-done }()
	return l.work(ctx, frames, nil)
}

// message is a frame that a connection brought, or how it ended.
type message struct {
	ev   config.Event
	kind byte
	err  error
}

// work does what comes up until the connection that frames come from ends, or the
// pause is over, or another configuration comes.
func (l *Log) work(ctx context.Context, frames <-chan message, pause <-chan time.Time) (heard bool, next *config.Config, err error) {
	look := time.NewTicker(marksEvery)
	defer look.Stop()
	for {
		select {
		case f := <-frames:
			if f.err != nil {
				return heard, nil, f.err
			}
			heard = true
			if err := l.hear(f); err != nil {
				return heard, nil, err
			}
		case o := <-l.orders:
			o.err <- l.order(o)
		case <-look.C:
			l.compare()
			l.deaf()
		case <-l.fleet.nudge:
			l.neighbour()
		case conf := <-l.box:
			return heard, conf, nil
		case <-pause:
			return heard, nil, nil
		case <-ctx.Done():
			return heard, nil, ctx.Err()
		}
	}
}

// hear takes one frame. What follows on a missed one is not taken, since the log tells what
// came after the number that it is asked from.
//
// Symptom guarded against: a log that had lost events on the way went on with empty frames,
// and the router sent on to caches that drained until something new came.
func (l *Log) hear(f message) error {
	if next := l.seq + min(uint64(f.kind), 1); f.ev.Seq > next && l.missed != next {
		l.missed = next // asked for once: a log whose numbers are not in order is followed as it is
		l.count.Add("changelog_gaps", 1)
		return ErrGap
	}
	l.frame()
	if f.kind != 0 && f.ev.Seq > l.seq {
		l.take(f.ev)
		l.seq = f.ev.Seq
		l.spread(f.ev)
	} else {
		g := *l.guard.Load()
		g.Heard = clock.Duration(l.clock.Now())
		l.guard.Store(&g)
	}
	l.catch()
	return nil
}

// order carries out a call of staff. The mark is there before the answer is.
func (l *Log) order(o order) error {
	_, listed := l.hosts[o.id]
	_, out := l.banned[o.id]
	switch {
	case !listed && !out:
		return ErrUnknown
	case o.out == out:
		return nil
	}
	if err := l.marks.Set(o.id, o.out); err != nil {
		return err
	}
	l.ban(o.id, o.out)
	if !o.quiet {
		l.tellBan(o.id, o.out)
	}
	return nil
}

// compare goes over to what another process of this router was told meanwhile.
func (l *Log) compare() {
	marked, err := l.marks.All()
	if err != nil || l.marks == "" {
		return
	}
	for id := range marked {
		if _, out := l.banned[id]; !out {
			l.ban(id, true)
			l.tellBan(id, true)
		}
	}
	for id := range l.banned {
		if !marked[id] {
			l.ban(id, false)
			l.tellBan(id, false)
		}
	}
}

// ban takes a cache out, or back, and tells so as a change of the list. One that is
// back was restarted meanwhile, as caches that staff take out are; where the list
// has not told its start, it counts from now.
func (l *Log) ban(id decide.ServerID, out bool) {
	h, listed := l.hosts[id]
	if out {
		l.banned[id] = h.Started
	} else {
		if h.Started == l.banned[id] {
			h.Started = clock.Duration(l.clock.Now() + clock.Step(l.clock))
		}
		delete(l.banned, id)
	}
	l.showOut()
	if listed {
		l.publish(config.Event{Seq: l.seq, Fleet: true, Hosts: []config.Host{l.seen(h)}})
	}
}

// seen is a listed server as the rest of the program sees it: one that is taken
// out drains.
func (l *Log) seen(h config.Host) config.Host {
	if _, out := l.banned[h.ID]; out && h.Phase == decide.Ready {
		h.Phase = decide.Draining
	}
	if started, out := l.fleet.drained[h.ID]; out && h.Phase == decide.Ready && h.Started <= started {
		h.Phase = decide.Draining
	}
	return h
}

// adopt goes over to another configuration. What it knows beyond what was told
// is told now.
func (l *Log) adopt(conf *config.Config) {
	l.conf = conf
	g := *l.guard.Load()
	g.Done, g.Grace = conf.Settings.PurgeDone, conf.Settings.PurgeGrace
	l.guard.Store(&g)
	for _, ev := range conf.Known {
		if ev.Seq > l.seq {
			l.take(ev)
			l.seq = ev.Seq
		}
	}
}

// take books an event in the list and publishes it.
func (l *Log) take(ev config.Event) {
	if ev.Fleet && ev.Whole {
		clear(l.hosts)
	}
	seen := make([]config.Host, 0, len(ev.Hosts))
	for _, h := range ev.Hosts {
		if l.hosts[h.ID] = h; h.Phase == decide.Gone {
			delete(l.hosts, h.ID)
		}
		seen = append(seen, l.seen(h))
	}
	ev.Hosts = seen
	l.publish(ev)
}

// publish publishes an event and then tells it: what is decided from then on and
// what was decided before both see it.
func (l *Log) publish(ev config.Event) {
	g := next(l.guard.Load(), ev, clock.Duration(l.clock.Now()), clock.Step(l.clock))
	l.guard.Store(g)
	l.listed.Store(int64(len(l.hosts)))
	l.barred.Store(int64(len(l.hosts) - len(g.Ready)))
	l.show(g)
	l.tell(ev)
}

// next is the guard after one more event, whose times are the wall clock's, set by step
// since the start.
func next(g *decide.Guard, ev config.Event, now time.Duration, step float64) *decide.Guard {
	n := *g
	n.Heard = now
	if ev.Fleet {
		n.Ready = map[decide.ServerID]bool{}
		if !ev.Whole { // a whole list names all that there are
			maps.Copy(n.Ready, g.Ready)
		}
		for _, h := range ev.Hosts {
			n.Ready[h.ID] = h.Phase == decide.Ready
		}
		maps.DeleteFunc(n.Ready, func(_ decide.ServerID, ready bool) bool { return !ready })
	}
	n.Purging = n.Purging || ev.Purge != nil
	n.Purges = slices.DeleteFunc(slices.Clone(g.Purges), func(p decide.PurgedAt) bool { return p.At+g.Done < now })
	if ev.Purge != nil {
		n.Purges = append(n.Purges, decide.PurgedAt{Object: ev.Purge.Object, Group: ev.Purge.Group, At: clock.Duration(ev.Purge.At - step)})
	}
	return &n
}

// follow reads one connection, from a number on, until it breaks.
func (l *Log) follow(ctx context.Context, conf *config.Config, seq uint64, to chan<- message) {
	f := message{}
	hand := func() bool {
		select {
		case to <- f:
			return f.err == nil
		case <-ctx.Done():
			return false
		}
	}
	dctx, stop := context.WithTimeout(ctx, clock.Duration(dialWithin))
	c, err := l.dial(dctx, conf.ChangeLog)
	stop()
	if f.err = err; err != nil {
		hand()
		return
	}
	k := sock.New(c)
	defer k.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })()
	f.err = k.Flush(binary.BigEndian.AppendUint64(k.Out(), seq), nil, dialWithin)
	for first := true; first || hand(); first = false {
		if f.err == nil {
			f.err = c.SetReadDeadline(time.Now().Add(clock.Duration(silence)))
		}
		if f.err == nil {
			f.ev, f.kind, f.err = read(k, len(conf.Zones), len(conf.Kinds))
		}
	}
}

// read reads one frame.
func read(k *sock.Conn, zones, kinds int) (config.Event, byte, error) {
	k.Allow(4 + maxFrame)
	head, err := k.Body(4)
	if err != nil {
		return config.Event{}, 0, err
	}
	n := binary.BigEndian.Uint32(head)
	if n < headLen || n > maxFrame {
		return config.Event{}, 0, fmt.Errorf("%w: length %d", ErrFrame, n)
	}
	b, err := k.Body(int(n))
	if err != nil {
		return config.Event{}, 0, err
	}
	ev, err := parse(b, zones, kinds)
	kind := b[8]
	k.RestIn()
	return ev, kind, err
}

// parse reads what follows the length of a frame.
func parse(b []byte, zones, kinds int) (config.Event, error) {
	u := binary.BigEndian
	ev := config.Event{Seq: u.Uint64(b)}
	kind, b := b[8], b[headLen:]
	switch kind {
	case 0:
	case 1, 2:
		ev.Fleet, ev.Whole = true, kind == 1
		if len(b)%recordLen != 0 {
			return ev, fmt.Errorf("%w: %d bytes of records", ErrFrame, len(b))
		}
		for ; len(b) > 0; b = b[recordLen:] {
			if b[10] > 2 || int(b[11]) >= zones || int(b[12]) >= kinds {
				return ev, fmt.Errorf("%w: state %d, zone %d, kind %d", ErrFrame, b[10], b[11], b[12])
			}
			born := u.Uint64(b[19:])
			if born > math.MaxInt64/1_000_000 {
				return ev, fmt.Errorf("%w: started %d", ErrFrame, born)
			}
			ev.Hosts = append(ev.Hosts, config.Host{
				Server: decide.Server{ID: decide.ServerID(u.Uint32(b)), Zone: int(b[11]), Kind: int(b[12]),
					Cell: int(u.Uint16(b[13:])), Weight: float64(u.Uint32(b[15:])) / 1000, Started: config.Born(float64(born)),
					Phase: [...]decide.Phase{decide.Ready, decide.Draining, decide.Gone}[b[10]]},
				Dial: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), u.Uint16(b[8:])),
			})
		}
	case 3:
		if len(b) != 16 {
			return ev, fmt.Errorf("%w: %d bytes for an object", ErrFrame, len(b))
		}
		// Object 0 is no object to the module, and no front lets it in.
		if o := u.Uint64(b); o != 0 {
			ev.Purge = &config.Purge{Object: decide.ObjectID(o), At: float64(u.Uint64(b[8:]))}
		}
	case 4:
		if len(b) != 10 {
			return ev, fmt.Errorf("%w: %d bytes for a group", ErrFrame, len(b))
		}
		ev.Purge = &config.Purge{Group: int(u.Uint16(b)), At: float64(u.Uint64(b[2:]))}
	default:
		return ev, fmt.Errorf("%w: kind %d", ErrFrame, kind)
	}
	return ev, nil
}
