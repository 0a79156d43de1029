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
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
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
)

// ErrFrame reports a frame that cannot be used.
var ErrFrame = errors.New("change log: broken frame")

// Log is the actor of the change log.
type Log struct {
	clock clock.Clock
	conf  *config.Config      // Run's
	box   chan *config.Config // the next one, the latest only
	tell  func(config.Event)
	count *stats.Set
	guard atomic.Pointer[decide.Guard]
	seq   uint64
	dial  func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// New returns a log that has told what the configuration knows. tell takes
// each event, in order; it may block.
func New(c clock.Clock, conf *config.Config, tell func(config.Event), s *stats.Set) *Log {
	l := &Log{clock: c, conf: conf, box: make(chan *config.Config, 1), tell: tell, count: s, seq: conf.Seq}
	l.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	}
	l.guard.Store(&decide.Guard{Done: conf.Settings.PurgeDone, Grace: conf.Settings.PurgeGrace})
	return l
}

// Guard returns what attempts are held against now. It does not change.
func (l *Log) Guard() *decide.Guard { return l.guard.Load() }

// Reload has the log that another configuration names followed, from the last
// number held and at once. It never blocks and has one caller at a time.
func (l *Log) Reload(conf *config.Config) {
	select {
	case <-l.box: // never taken up
	default:
	}
	l.box <- conf
}

// Run tells what is known and then follows the log until ctx ends.
func (l *Log) Run(ctx context.Context) {
	for _, ev := range l.conf.Known {
		l.take(ev)
	}
	wait := retryFirst
	for ctx.Err() == nil {
		heard, next, err := l.session(ctx)
		if ctx.Err() != nil {
			return
		}
		if next != nil {
			l.adopt(next)
			wait = retryFirst
			continue
		}
		l.count.Add("changelog_reconnects", 1)
		if errors.Is(err, ErrFrame) {
			l.count.Add("changelog_broken_frames", 1)
		}
		if wait = min(2*wait, retryMost); heard {
			wait = retryFirst
		}
		select {
		case <-time.After(clock.Duration(wait)):
		case conf := <-l.box:
			l.adopt(conf)
			wait = retryFirst
		case <-ctx.Done():
		}
	}
}

// session follows one connection until it breaks or another configuration
// comes, which cuts it.
func (l *Log) session(ctx context.Context) (heard bool, next *config.Config, err error) {
	ctx, cut := context.WithCancel(ctx)
	came := make(chan *config.Config, 1)
	go func() {
		defer close(came)
		select {
		case conf := <-l.box:
			came <- conf
			cut()
		case <-ctx.Done():
		}
	}()
	heard, err = l.follow(ctx)
	cut()
	return heard, <-came, err
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

// take publishes an event and then tells it: what is decided from then on and
// what was decided before both see it.
func (l *Log) take(ev config.Event) {
	l.guard.Store(next(l.guard.Load(), ev, clock.Duration(l.clock.Now())))
	l.tell(ev)
}

// next is the guard after one more event.
func next(g *decide.Guard, ev config.Event, now time.Duration) *decide.Guard {
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
		n.Purges = append(n.Purges, decide.PurgedAt{Object: ev.Purge.Object, Group: ev.Purge.Group, At: clock.Duration(ev.Purge.At)})
	}
	return &n
}

// follow reads one connection until it breaks; heard tells that a frame came.
func (l *Log) follow(ctx context.Context) (heard bool, err error) {
	dctx, stop := context.WithTimeout(ctx, clock.Duration(dialWithin))
	c, err := l.dial(dctx, l.conf.ChangeLog)
	stop()
	if err != nil {
		return false, err
	}
	k := sock.New(c)
	defer k.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })()
	if err := k.Flush(binary.BigEndian.AppendUint64(k.Out(), l.seq), nil, dialWithin); err != nil {
		return false, err
	}
	for ctx.Err() == nil {
		if err := c.SetReadDeadline(time.Now().Add(clock.Duration(silence))); err != nil {
			return heard, err
		}
		ev, kind, err := l.frame(k)
		if err != nil {
			return heard, err
		}
		heard = true
		if kind != 0 && ev.Seq > l.seq {
			l.take(ev)
			l.seq = ev.Seq
		} else {
			g := *l.guard.Load()
			g.Heard = clock.Duration(l.clock.Now())
			l.guard.Store(&g)
		}
	}
	return heard, ctx.Err()
}

// frame reads one frame.
func (l *Log) frame(k *sock.Conn) (config.Event, byte, error) {
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
	ev, err := parse(b, len(l.conf.Zones), len(l.conf.Kinds))
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
