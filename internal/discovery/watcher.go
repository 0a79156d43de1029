// Package discovery watches the platform's change log, which reports changes of the endpoint list
// (caches, parents and origins) and purges.
//
// A Watcher owns the connection to the change log, the number of the last applied event, the
// endpoint list, and the set of servers that operators disabled. Only the goroutine of Watcher.Run
// changes them. For other goroutines the Watcher publishes a routing.Guard, which is replaced and
// never modified, the counts of servers, and the lists that the fleet reads. All exported methods
// except Run and SetGossip may be called from any goroutine.
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
	// disabledPollInterval is the time between two reads of the store of disabled servers, which
	// another process of this router may have changed.
	disabledPollInterval = 200 * time.Millisecond
	// initialSyncTimeout limits, in milliseconds, how long Synced waits for the first frame. The
	// change log sends new events at once. If there are none, the wait for a frame must not delay
	// the start of a successor process.
	initialSyncTimeout = 300.0
)

// Watcher follows the change log and keeps the endpoint list.
type Watcher struct {
	clock    clock.Clock
	counters *metrics.Registry
	notify   func(platformconfig.WatchEvent)
	dial     func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	// State that only the goroutine of Run uses.
	config       *platformconfig.Config
	lastSeq      uint64 // number of the last applied event
	refetchedSeq uint64 // expected number when the change log was last asked again for missing events
	servers      map[routing.ServerID]platformconfig.Endpoint
	disabled     map[routing.ServerID]time.Duration // by operators; value: the start time that was listed at that moment
	gossip       gossipState

	// Requests to the goroutine of Run.
	pendingConfig   chan *platformconfig.Config // holds only the latest one
	disableRequests chan disableRequest

	// State that is published to other goroutines.
	guard            atomic.Pointer[routing.Guard]
	listedCount      atomic.Int64
	unavailableCount atomic.Int64 // listed servers that are not ready
	synced           atomic.Bool
	syncedSignal     chan struct{}                             // closed when synced becomes true
	readyServers     atomic.Pointer[[]platformconfig.Endpoint] // nil without a fleet
	disabledServers  atomic.Pointer[[]routing.ServerID]        // nil without a fleet

	// disabledStore keeps the disabled servers for the next process of this router.
	disabledStore disabled.Store
}

// NewWatcher returns a watcher that has not applied any event. Run calls notify with each event,
// in order; notify may block.
func NewWatcher(clk clock.Clock, config *platformconfig.Config, notify func(platformconfig.WatchEvent), counters *metrics.Registry) *Watcher {
	w := &Watcher{
		clock:           clk,
		counters:        counters,
		notify:          notify,
		dial:            dialTCP,
		config:          config,
		lastSeq:         config.KnownSeq,
		servers:         map[routing.ServerID]platformconfig.Endpoint{},
		disabled:        map[routing.ServerID]time.Duration{},
		pendingConfig:   make(chan *platformconfig.Config, 1),
		disableRequests: make(chan disableRequest),
		syncedSignal:    make(chan struct{}),
		disabledStore:   disabled.NewStore(config.StateDir),
	}
	w.guard.Store(&routing.Guard{
		PurgeRetention: config.Settings.PurgeRetention,
		PurgeGrace:     config.Settings.PurgeGrace,
	})
	return w
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
}

// Guard returns the guard against which attempts are checked now. The caller must not modify it.
func (w *Watcher) Guard() *routing.Guard { return w.guard.Load() }

// ServerCounts returns how many servers the endpoint list holds, and how many of them are
// draining or disabled.
func (w *Watcher) ServerCounts() (listed, unavailable int64) {
	return w.listedCount.Load(), w.unavailableCount.Load()
}

// Synced returns a channel that is closed once the change log has sent a frame, or has sent none
// within initialSyncTimeout.
func (w *Watcher) Synced() <-chan struct{} { return w.syncedSignal }

// Reload replaces the configuration. The watcher at once follows the change log that the new
// configuration names, from the last applied event on. Reload never blocks; calls must not
// overlap.
func (w *Watcher) Reload(config *platformconfig.Config) {
	select {
	case <-w.pendingConfig: // discard an earlier configuration that Run has not received
	default:
	}
	w.pendingConfig <- config
}

// Run applies the events that the configuration holds and then follows the change log until ctx is
// done. It must be called only once.
func (w *Watcher) Run(ctx context.Context) {
	w.loadDisabled()
	for _, event := range w.config.KnownEvents {
		w.applyEvent(event)
	}
	syncTimer := time.AfterFunc(clock.Duration(initialSyncTimeout), w.markSynced)
	defer syncTimer.Stop()
	backoff := reconnectBackoff{random: rand.New(rand.NewPCG(w.config.Seed, 0))}
	for ctx.Err() == nil {
		ended := w.runSession(ctx)
		if ended.nextConfig == nil && ctx.Err() == nil {
			w.countReconnect(ended.err)
			delay := clock.Duration(backoff.nextDelay(ended.receivedFrame))
			ended = w.processEvents(ctx, nil, time.After(delay))
		}
		if ended.nextConfig != nil {
			w.applyConfig(ended.nextConfig)
			backoff.reset()
		}
	}
}

// countReconnect counts a reconnect after a session that ended with err.
func (w *Watcher) countReconnect(err error) {
	w.counters.Add("changelog_reconnects", 1)
	if errors.Is(err, ErrMalformedFrame) {
		w.counters.Add("changelog_broken_frames", 1)
	}
}

// markSynced closes the channel that Synced returns; further calls do nothing.
func (w *Watcher) markSynced() {
	if !w.synced.Swap(true) {
		close(w.syncedSignal)
	}
}

// sessionEnd tells why processEvents returned.
type sessionEnd struct {
	receivedFrame bool                   // a frame was received before the end
	nextConfig    *platformconfig.Config // the new configuration, if one has arrived
	err           error                  // of the connection or of ctx
}

// processEvents handles frames, requests, gossip and ticks until frames delivers the error that
// ended the connection, a frame cannot be applied, pause fires, another configuration arrives or
// ctx is done. frames and pause may be nil.
func (w *Watcher) processEvents(ctx context.Context, frames <-chan frameResult, pause <-chan time.Time) sessionEnd {
	var end sessionEnd
	ticker := time.NewTicker(disabledPollInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-frames:
			if received.err != nil {
				end.err = received.err
				return end
			}
			end.receivedFrame = true
			if end.err = w.handleFrame(received.frame); end.err != nil {
				return end
			}
		case request := <-w.disableRequests:
			request.result <- w.handleDisableRequest(request)
		case <-ticker.C:
			w.syncDisabledStore()
			w.updateGossipedDrains()
		case <-w.gossip.changesReady:
			w.applyGossip()
		case end.nextConfig = <-w.pendingConfig:
			return end
		case <-pause:
			return end
		case <-ctx.Done():
			end.err = ctx.Err()
			return end
		}
	}
}
