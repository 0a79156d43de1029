// Package changelog follows the log of list changes and purges. Its actor
// owns the connection and the number of the last event, and publishes what
// attempts are held against when they are written.
package discovery

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

	"garnetline/internal/admin/disabled"
	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

const (
	recordLength         = 27
	headerLength         = 8 + 1                               // number and kind, which the length counts
	maxFrameLength       = headerLength + recordLength*(8<<10) // a list longer than any fleet
	frameTimeout         = 1600.0                              // ms without a frame: one comes each second
	dialTimeout          = 500.0
	initialBackoff       = 50.0 // ms before the next connection; doubles
	maxBackoff           = 800.0
	disabledPollInterval = 200 * time.Millisecond // between looks at what another process was told
	// initialSyncTimeout is the time that a log has for its first word: what is new comes
	// at once, and where nothing is, a successor must not be late for that.
	initialSyncTimeout = 300.0
)

// ErrMalformedFrame reports a frame that cannot be used.
var ErrMalformedFrame = errors.New("change log: broken frame")

// ErrMissingEvents reports that events are missing before the one that came.
var ErrMissingEvents = errors.New("change log: events missing")

// Watcher is the actor of the change log, and of the list that it tells.
type Watcher struct {
	clock            clock.Clock
	config           *platformconfig.Config      // Run's
	pendingConfig    chan *platformconfig.Config // the next one, the latest only
	disableRequests  chan disableRequest         // from staff
	notify           func(platformconfig.WatchEvent)
	counters         *metrics.Registry
	guard            atomic.Pointer[routing.Guard]
	lastSeq          uint64
	refetchedSeq     uint64 // the number that was missing when the log was last asked anew for it
	dial             func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	disabledStore    disabled.Store
	servers          map[routing.ServerID]platformconfig.Endpoint // as listed, without those that are gone
	disabled         map[routing.ServerID]time.Duration           // taken out by staff, with the start listed then
	listedCount      atomic.Int64                                 // how many hosts there are
	unavailableCount atomic.Int64                                 // how many of them may not be sent to
	synced           atomic.Bool                                  // its word is as new as it can be had soon
	syncedSignal     chan struct{}                                // closed then
	gossip           gossipState
	readyServers     atomic.Pointer[[]platformconfig.Endpoint] // that are ready; nil without neighbours
	disabledServers  atomic.Pointer[[]routing.ServerID]        // that staff took out; the same
}

// disableRequest is a call of staff to take a cache out, or back.
type disableRequest struct {
	server        routing.ServerID
	disabled      bool
	skipBroadcast bool // of the register: the others have it too
	result        chan error
}

// ErrUnknownServer reports a cache that is neither listed nor taken out.
var ErrUnknownServer = errors.New("unknown cache")

// NewWatcher returns a log that has told what the configuration knows. tell takes
// each event, in order; it may block.
func NewWatcher(c clock.Clock, conf *platformconfig.Config, tell func(platformconfig.WatchEvent), s *metrics.Registry) *Watcher {
	l := &Watcher{clock: c, config: conf, pendingConfig: make(chan *platformconfig.Config, 1), disableRequests: make(chan disableRequest), notify: tell, counters: s,
		lastSeq: conf.KnownSeq, disabledStore: disabled.NewStore(conf.StateDir), servers: map[routing.ServerID]platformconfig.Endpoint{},
		disabled: map[routing.ServerID]time.Duration{}, syncedSignal: make(chan struct{})}
	l.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	}
	l.guard.Store(&routing.Guard{PurgeRetention: conf.Settings.PurgeRetention, PurgeGrace: conf.Settings.PurgeGrace})
	return l
}

// Guard returns what attempts are held against now. It does not change.
func (l *Watcher) Guard() *routing.Guard { return l.guard.Load() }

// ServerCounts returns how many servers the list holds, and how many of them are
// draining or taken out.
func (l *Watcher) ServerCounts() (all, barred int64) {
	return l.listedCount.Load(), l.unavailableCount.Load()
}

// Synced is closed once the log has spoken, or has had its time to.
func (l *Watcher) Synced() <-chan struct{} { return l.syncedSignal }

// Reload has the log that another configuration names followed, from the last
// number held and at once. It never blocks and has one caller at a time.
func (l *Watcher) Reload(conf *platformconfig.Config) {
	select {
	case <-l.pendingConfig: // never taken up
	default:
	}
	l.pendingConfig <- conf
}

// SetDisabled takes a cache out of use, or back, whatever the list says of it. When it
// returns without an error, nothing that is written from then on goes there.
func (l *Watcher) SetDisabled(ctx context.Context, id routing.ServerID, out bool) error {
	return l.submit(ctx, disableRequest{server: id, disabled: out, result: make(chan error, 1)})
}

func (l *Watcher) submit(ctx context.Context, o disableRequest) error {
	select {
	case l.disableRequests <- o:
		return <-o.result
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run tells what is known and then follows the log until ctx ends.
func (l *Watcher) Run(ctx context.Context) {
	marked, err := l.disabledStore.List()
	if err != nil {
		l.counters.Add("marks_unread", 1)
	}
	for id := range marked {
		l.disabled[id] = 0
	}
	l.publishDisabled()
	for _, ev := range l.config.KnownEvents {
		l.applyEvent(ev)
	}
	late := time.AfterFunc(clock.Duration(initialSyncTimeout), l.markSynced)
	defer late.Stop()
	wait := reconnectBackoff{random: rand.New(rand.NewPCG(l.config.Seed, 0))}
	for ctx.Err() == nil {
		heard, next, err := l.runSession(ctx)
		if next == nil && ctx.Err() == nil {
			l.counters.Add("changelog_reconnects", 1)
			if errors.Is(err, ErrMalformedFrame) {
				l.counters.Add("changelog_broken_frames", 1)
			}
			_, next, _ = l.processEvents(ctx, nil, time.After(clock.Duration(wait.nextDelay(heard))))
		}
		if next != nil {
			l.applyConfig(next)
			wait.ceiling = 0
		}
	}
}

// reconnectBackoff are the waits between connections: they double up to retryMost while
// nothing is heard, and each is drawn from the upper half of its length.
//
// Symptom guarded against: a log that goes away is missed by all routers at one
// moment, and all of them, hundreds in a fleet, came back to it at one moment too.
type reconnectBackoff struct {
	random  *rand.Rand
	ceiling float64 // the longest that the latest could be, ms; 0: there was none
}

// nextDelay returns the wait, in milliseconds, after a connection on which something
// was heard or not.
func (p *reconnectBackoff) nextDelay(heard bool) float64 {
	if p.ceiling = min(2*p.ceiling, maxBackoff); heard || p.ceiling == 0 {
		p.ceiling = initialBackoff
	}
	return p.ceiling * (1 + p.random.Float64()) / 2
}

// markSynced says that the log has spoken, or will not soon.
func (l *Watcher) markSynced() {
	if !l.synced.Swap(true) {
		close(l.syncedSignal)
	}
}

// runSession follows one connection until it breaks or another configuration
// comes, which cuts it.
func (l *Watcher) runSession(ctx context.Context) (heard bool, next *platformconfig.Config, err error) {
	ctx, cut := context.WithCancel(ctx)
	frames := make(chan frameResult)
	done := make(chan struct{})
	go func(c *platformconfig.Config, seq uint64) {
		defer close(done)
		l.readFrames(ctx, c, seq, frames)
	}(l.config, l.lastSeq)
	defer func() { cut(); <-done }()
	return l.processEvents(ctx, frames, nil)
}

// frameResult is a frame that a connection brought, or how it ended.
type frameResult struct {
	event platformconfig.WatchEvent
	kind  byte
	err   error
}

// processEvents does what comes up until the connection that frames come from ends, or the
// pause is over, or another configuration comes.
func (l *Watcher) processEvents(ctx context.Context, frames <-chan frameResult, pause <-chan time.Time) (heard bool, next *platformconfig.Config, err error) {
	look := time.NewTicker(disabledPollInterval)
	defer look.Stop()
	for {
		select {
		case f := <-frames:
			if f.err != nil {
				return heard, nil, f.err
			}
			heard = true
			if err := l.handleFrame(f); err != nil {
				return heard, nil, err
			}
		case o := <-l.disableRequests:
			o.result <- l.handleDisableRequest(o)
		case <-look.C:
			l.syncDisabledStore()
			l.updateGossipedDrains()
		case <-l.gossip.changesReady:
			l.applyGossip()
		case conf := <-l.pendingConfig:
			return heard, conf, nil
		case <-pause:
			return heard, nil, nil
		case <-ctx.Done():
			return heard, nil, ctx.Err()
		}
	}
}

// handleFrame takes one frame. What follows on a missed one is not taken, since the log tells what
// came after the number that it is asked from.
//
// Symptom guarded against: a log that had lost events on the way went on with empty frames,
// and the router sent on to caches that drained until something new came.
func (l *Watcher) handleFrame(f frameResult) error {
	if next := l.lastSeq + min(uint64(f.kind), 1); f.event.Seq > next && l.refetchedSeq != next {
		l.refetchedSeq = next // asked for once: a log whose numbers are not in order is followed as it is
		l.counters.Add("changelog_gaps", 1)
		return ErrMissingEvents
	}
	l.recordFrame()
	if f.kind != 0 && f.event.Seq > l.lastSeq {
		l.applyEvent(f.event)
		l.lastSeq = f.event.Seq
		l.broadcastEvent(f.event)
	} else {
		g := *l.guard.Load()
		g.LastEventAt = clock.Duration(l.clock.Now())
		l.guard.Store(&g)
	}
	l.markSynced()
	return nil
}

// handleDisableRequest carries out a call of staff. The mark is there before the answer is.
func (l *Watcher) handleDisableRequest(o disableRequest) error {
	_, listed := l.servers[o.server]
	_, out := l.disabled[o.server]
	switch {
	case !listed && !out:
		return ErrUnknownServer
	case o.disabled == out:
		return nil
	}
	if err := l.disabledStore.Set(o.server, o.disabled); err != nil {
		return err
	}
	l.applyDisabled(o.server, o.disabled)
	if !o.skipBroadcast {
		l.broadcastDisabled(o.server, o.disabled)
	}
	return nil
}

// syncDisabledStore goes over to what another process of this router was told meanwhile.
func (l *Watcher) syncDisabledStore() {
	marked, err := l.disabledStore.List()
	if err != nil || l.disabledStore == "" {
		return
	}
	for id := range marked {
		if _, out := l.disabled[id]; !out {
			l.applyDisabled(id, true)
			l.broadcastDisabled(id, true)
		}
	}
	for id := range l.disabled {
		if !marked[id] {
			l.applyDisabled(id, false)
			l.broadcastDisabled(id, false)
		}
	}
}

// applyDisabled takes a cache out, or back, and tells so as a change of the list. One that is
// back was restarted meanwhile, as caches that staff take out are; where the list
// has not told its start, it counts from now.
func (l *Watcher) applyDisabled(id routing.ServerID, out bool) {
	h, listed := l.servers[id]
	if out {
		l.disabled[id] = h.StartedAt
	} else {
		if h.StartedAt == l.disabled[id] {
			h.StartedAt = clock.Duration(l.clock.Now() + clock.WallClockStep(l.clock))
		}
		delete(l.disabled, id)
	}
	l.publishDisabled()
	if listed {
		l.publish(platformconfig.WatchEvent{Seq: l.lastSeq, ListUpdate: true, Endpoints: []platformconfig.Endpoint{l.effectiveState(h)}})
	}
}

// effectiveState is a listed server as the rest of the program sees it: one that is taken
// out drains.
func (l *Watcher) effectiveState(h platformconfig.Endpoint) platformconfig.Endpoint {
	if _, out := l.disabled[h.ID]; out && h.Phase == routing.Ready {
		h.Phase = routing.Draining
	}
	if started, out := l.gossip.activeDrains[h.ID]; out && h.Phase == routing.Ready && h.StartedAt <= started {
		h.Phase = routing.Draining
	}
	return h
}

// applyConfig goes over to another configuration. What it knows beyond what was told
// is told now.
func (l *Watcher) applyConfig(conf *platformconfig.Config) {
	l.config = conf
	g := *l.guard.Load()
	g.PurgeRetention, g.PurgeGrace = conf.Settings.PurgeRetention, conf.Settings.PurgeGrace
	l.guard.Store(&g)
	for _, ev := range conf.KnownEvents {
		if ev.Seq > l.lastSeq {
			l.applyEvent(ev)
			l.lastSeq = ev.Seq
		}
	}
}

// applyEvent books an event in the list and publishes it.
func (l *Watcher) applyEvent(ev platformconfig.WatchEvent) {
	if ev.ListUpdate && ev.Snapshot {
		clear(l.servers)
	}
	seen := make([]platformconfig.Endpoint, 0, len(ev.Endpoints))
	for _, h := range ev.Endpoints {
		if l.servers[h.ID] = h; h.Phase == routing.Removed {
			delete(l.servers, h.ID)
		}
		seen = append(seen, l.effectiveState(h))
	}
	ev.Endpoints = seen
	l.publish(ev)
}

// publish publishes an event and then tells it: what is decided from then on and
// what was decided before both see it.
func (l *Watcher) publish(ev platformconfig.WatchEvent) {
	g := nextGuard(l.guard.Load(), ev, clock.Duration(l.clock.Now()), clock.WallClockStep(l.clock))
	l.guard.Store(g)
	l.listedCount.Store(int64(len(l.servers)))
	l.unavailableCount.Store(int64(len(l.servers) - len(g.Ready)))
	l.publishReadyServers(g)
	l.notify(ev)
}

// nextGuard is the guard after one more event, whose times are the wall clock's, set by step
// since the start.
func nextGuard(g *routing.Guard, ev platformconfig.WatchEvent, now time.Duration, step float64) *routing.Guard {
	n := *g
	n.LastEventAt = now
	if ev.ListUpdate {
		n.Ready = map[routing.ServerID]bool{}
		if !ev.Snapshot { // a whole list names all that there are
			maps.Copy(n.Ready, g.Ready)
		}
		for _, h := range ev.Endpoints {
			n.Ready[h.ID] = h.Phase == routing.Ready
		}
		maps.DeleteFunc(n.Ready, func(_ routing.ServerID, ready bool) bool { return !ready })
	}
	n.PurgesSeen = n.PurgesSeen || ev.Purge != nil
	n.Purges = slices.DeleteFunc(slices.Clone(g.Purges), func(p routing.PurgeRecord) bool { return p.At+g.PurgeRetention < now })
	if ev.Purge != nil {
		n.Purges = append(n.Purges, routing.PurgeRecord{Object: ev.Purge.Object, Group: ev.Purge.Group, At: clock.Duration(ev.Purge.At - step)})
	}
	return &n
}

// readFrames reads one connection, from a number on, until it breaks.
func (l *Watcher) readFrames(ctx context.Context, conf *platformconfig.Config, seq uint64, to chan<- frameResult) {
	f := frameResult{}
	hand := func() bool {
		select {
		case to <- f:
			return f.err == nil
		case <-ctx.Done():
			return false
		}
	}
	dctx, stop := context.WithTimeout(ctx, clock.Duration(dialTimeout))
	c, err := l.dial(dctx, conf.Discovery)
	stop()
	if f.err = err; err != nil {
		hand()
		return
	}
	k := textconn.New(c)
	defer k.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })()
	f.err = k.Flush(binary.BigEndian.AppendUint64(k.WriteBuffer(), seq), nil, dialTimeout)
	for first := true; first || hand(); first = false {
		if f.err == nil {
			f.err = c.SetReadDeadline(time.Now().Add(clock.Duration(frameTimeout)))
		}
		if f.err == nil {
			f.event, f.kind, f.err = readFrame(k, len(conf.Zones), len(conf.Kinds))
		}
	}
}

// readFrame reads one frame.
func readFrame(k *textconn.Conn, zones, kinds int) (platformconfig.WatchEvent, byte, error) {
	k.LimitRead(4 + maxFrameLength)
	head, err := k.ReadBody(4)
	if err != nil {
		return platformconfig.WatchEvent{}, 0, err
	}
	n := binary.BigEndian.Uint32(head)
	if n < headerLength || n > maxFrameLength {
		return platformconfig.WatchEvent{}, 0, fmt.Errorf("%w: length %d", ErrMalformedFrame, n)
	}
	b, err := k.ReadBody(int(n))
	if err != nil {
		return platformconfig.WatchEvent{}, 0, err
	}
	ev, err := parseFrame(b, zones, kinds)
	kind := b[8]
	k.ShrinkReadBuffer()
	return ev, kind, err
}

// parseFrame reads what follows the length of a frame.
func parseFrame(b []byte, zones, kinds int) (platformconfig.WatchEvent, error) {
	u := binary.BigEndian
	ev := platformconfig.WatchEvent{Seq: u.Uint64(b)}
	kind, b := b[8], b[headerLength:]
	switch kind {
	case 0:
	case 1, 2:
		ev.ListUpdate, ev.Snapshot = true, kind == 1
		if len(b)%recordLength != 0 {
			return ev, fmt.Errorf("%w: %d bytes of records", ErrMalformedFrame, len(b))
		}
		for ; len(b) > 0; b = b[recordLength:] {
			if b[10] > 2 || int(b[11]) >= zones || int(b[12]) >= kinds {
				return ev, fmt.Errorf("%w: state %d, zone %d, kind %d", ErrMalformedFrame, b[10], b[11], b[12])
			}
			born := u.Uint64(b[19:])
			if born > math.MaxInt64/1_000_000 {
				return ev, fmt.Errorf("%w: started %d", ErrMalformedFrame, born)
			}
			ev.Endpoints = append(ev.Endpoints, platformconfig.Endpoint{
				Server: routing.Server{ID: routing.ServerID(u.Uint32(b)), Zone: int(b[11]), Kind: int(b[12]),
					Cell: int(u.Uint16(b[13:])), Weight: float64(u.Uint32(b[15:])) / 1000, StartedAt: platformconfig.StartTime(float64(born)),
					Phase: [...]routing.Phase{routing.Ready, routing.Draining, routing.Removed}[b[10]]},
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), u.Uint16(b[8:])),
			})
		}
	case 3:
		if len(b) != 16 {
			return ev, fmt.Errorf("%w: %d bytes for an object", ErrMalformedFrame, len(b))
		}
		// Object 0 is no object to the module, and no front lets it in.
		if o := u.Uint64(b); o != 0 {
			ev.Purge = &platformconfig.Purge{Object: routing.ObjectID(o), At: float64(u.Uint64(b[8:]))}
		}
	case 4:
		if len(b) != 10 {
			return ev, fmt.Errorf("%w: %d bytes for a group", ErrMalformedFrame, len(b))
		}
		ev.Purge = &platformconfig.Purge{Group: int(u.Uint16(b)), At: float64(u.Uint64(b[2:]))}
	default:
		return ev, fmt.Errorf("%w: kind %d", ErrMalformedFrame, kind)
	}
	return ev, nil
}
