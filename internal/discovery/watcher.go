// Package changelog follows the log of list changes and purges. Its actor
// owns the connection and the number of the last event, and publishes what
// attempts are held against when they are written.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"garnetline/internal/admin/disabled"
	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
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

// markSynced says that the log has spoken, or will not soon.
func (l *Watcher) markSynced() {
	if !l.synced.Swap(true) {
		close(l.syncedSignal)
	}
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
