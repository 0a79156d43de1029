// Package discovery watches the platform's change log. The change log reports purges and the
// changes of the endpoint list, which contains the caches, parents and origins.
//
// A Watcher owns the connection to the change log, the number of the last applied event, the
// endpoint list, and the set of servers that operators disabled. Only the goroutine of Watcher.Run
// changes them. For other goroutines, the Watcher publishes a routing.Guard, the counts of servers,
// and the lists of servers that the fleet reads. A published Guard is never modified, only
// replaced. All exported methods except Run, SetGossip and SetLog may be called from any goroutine.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/admin/disabled"
	"garnetline/internal/clock"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const (
	// disabledPollInterval is the time between two reads of the store of disabled servers. The
	// watcher polls the store because another process of this router may change it.
	disabledPollInterval = 200 * time.Millisecond
	// initialSyncTimeout limits, in milliseconds, how long Synced waits for the first frame. If the
	// change log has new events, it sends them immediately. If it has none, the wait for the next
	// heartbeat must not delay the start of a successor process.
	initialSyncTimeout = 300.0
)

// Watcher follows the change log and keeps the endpoint list.
type Watcher struct {
	clock    clock.Clock
	counters *metrics.Registry
	log      zerolog.Logger
	notify   func(platformconfig.WatchEvent)
	dial     dialFunc

	// Only the goroutine of Run uses the following state.
	connections  *connections
	config       *platformconfig.Config
	knownReady   map[routing.ServerID]time.Duration // servers that are ready after the known events of config; value: start time
	lastSeq      uint64                             // number of the last applied event
	refetchedSeq uint64                             // event number that was missing when the watcher last requested events again
	servers      map[routing.ServerID]platformconfig.Endpoint
	disabled     map[routing.ServerID]time.Duration // servers that operators disabled; value: the listed start time when the server was disabled
	gossip       gossipState
	stale        staleWatch
	// assumedStarts holds the servers that operators enabled and whose restart the endpoint list does not show.
	assumedStarts map[routing.ServerID]assumedStart

	// Requests to the goroutine of Run.
	pendingConfig   chan *platformconfig.Config // holds only the latest configuration
	disableRequests chan disableRequest

	// Other goroutines read the following state.
	guard            atomic.Pointer[routing.Guard]
	staleness        atomic.Pointer[Staleness] // nil before Run
	listedCount      atomic.Int64
	unavailableCount atomic.Int64 // listed servers that are draining or disabled
	synced           atomic.Bool
	syncedSignal     chan struct{}                             // closed when synced becomes true
	readyServers     atomic.Pointer[[]platformconfig.Endpoint] // nil if the router belongs to no fleet
	disabledServers  atomic.Pointer[[]routing.ServerID]        // nil if the router belongs to no fleet

	// disabledStore keeps the set of disabled servers for later processes of this router.
	disabledStore disabled.Store
}

// NewWatcher returns a watcher that has applied no event yet. Run calls notify with each event, in
// order. notify may block.
func NewWatcher(clk clock.Clock, config *platformconfig.Config, notify func(platformconfig.WatchEvent), counters *metrics.Registry) *Watcher {
	w := &Watcher{
		clock:           clk,
		counters:        counters,
		notify:          notify,
		dial:            dialTCP,
		config:          config,
		knownReady:      knownReady(config),
		lastSeq:         config.KnownSeq,
		servers:         map[routing.ServerID]platformconfig.Endpoint{},
		disabled:        map[routing.ServerID]time.Duration{},
		assumedStarts:   map[routing.ServerID]assumedStart{},
		pendingConfig:   make(chan *platformconfig.Config, 1),
		disableRequests: make(chan disableRequest),
		syncedSignal:    make(chan struct{}),
		gossip:          newGossipState(nil),
		disabledStore:   disabled.NewStore(config.StateDir),
	}
	w.guard.Store(withSettings(routing.Guard{}, config))
	return w
}

// SetLog sets the logger for malformed frames, of which it gets up to ten a second. SetLog is called before
// Run; without it nothing is logged.
func (w *Watcher) SetLog(log zerolog.Logger) { w.log = logs.Throttled(log, w.clock) }

// Guard returns the current guard, against which attempts must be checked. The caller must not
// modify it.
func (w *Watcher) Guard() *routing.Guard { return w.guard.Load() }

// ServerCounts returns the number of servers in the endpoint list, and the number of those that are
// draining or disabled.
func (w *Watcher) ServerCounts() (listed, unavailable int64) {
	return w.listedCount.Load(), w.unavailableCount.Load()
}

// Synced returns a channel. The channel is closed when the first frame of the change log has been
// applied, or when initialSyncTimeout has passed.
func (w *Watcher) Synced() <-chan struct{} { return w.syncedSignal }

// Reload replaces the configuration. The watcher connects immediately to the change log that the
// new configuration names, and requests the events after the last applied event. Reload never
// blocks. Calls of Reload must not overlap.
func (w *Watcher) Reload(config *platformconfig.Config) {
	select {
	case <-w.pendingConfig: // discard an earlier configuration that Run has not received yet
	default:
	}
	w.pendingConfig <- config
}

// Run applies the known events of the configuration, and then follows the change log until ctx is
// done. Run must be called only once.
func (w *Watcher) Run(ctx context.Context) {
	w.applyKnown()
	w.followReports()
	syncTimer := time.AfterFunc(clock.Duration(initialSyncTimeout), w.markSynced)
	defer syncTimer.Stop()
	w.stale.startedAt = w.clock.Now()
	w.connections = newConnections(w.dial, rand.New(rand.NewPCG(w.config.Seed, 0)))
	defer w.connections.closeAll()
	ticker := time.NewTicker(disabledPollInterval)
	defer ticker.Stop()
	for {
		w.openDueConnection(ctx)
		select {
		case report := <-w.connections.reports:
			w.handleReport(report)
		case <-w.connections.due():
			w.handlePendingReport()
		case request := <-w.disableRequests:
			request.result <- w.handleDisableRequest(request)
		case <-ticker.C:
			w.syncDisabledStore()
			w.followReports()
			w.updateStaleness()
		case <-w.gossip.changesReady:
			w.applyGossip()
		case config := <-w.pendingConfig:
			w.applyConfig(config)
			w.connections.restart()
		case <-ctx.Done():
			return
		}
	}
}

// handlePendingReport handles a report that already waits. A frame that has arrived makes another connection
// needless, also if this process was not running when the connection became due.
func (w *Watcher) handlePendingReport() {
	select {
	case report := <-w.connections.reports:
		w.handleReport(report)
	default:
	}
}

// openDueConnection opens a connection to the change log if the schedule demands one.
func (w *Watcher) openDueConnection(ctx context.Context) {
	id := w.connections.step()
	if id == 0 {
		return
	}
	if !w.connections.first {
		w.counters.Add("changelog_reconnects", 1)
	}
	w.connections.first = false
	w.connections.open(ctx, id, connectionRequest{config: w.config, afterSeq: w.lastSeq})
}

// handleReport handles what the goroutine of a connection reports. It ignores the reports of connections
// that were closed meanwhile.
func (w *Watcher) handleReport(report connectionReport) {
	if !w.connections.isOpen(report.id) {
		return
	}
	switch report.kind {
	case reportEstablished:
		w.connections.recordEstablished(report)
	case reportFrame:
		if err := w.handleFrame(report.frame); err != nil {
			w.recordConnectionEnd(err, true)
			w.connections.recordEnd(report.id, true)
			return
		}
		w.connections.recordFrame(report.id)
		w.updateStaleness()
	case reportEnd:
		w.countMalformed(report.err)
		w.recordConnectionEnd(report.err, w.connections.isEstablished(report.id))
		w.connections.recordEnd(report.id, w.connections.receivedFrame(report.id))
	}
}

// applyKnown applies what the process knows at its start: the servers that operators disabled, those
// that they enabled while the predecessor ran, and the known events of the configuration.
func (w *Watcher) applyKnown() {
	w.loadDisabled()
	w.loadAssumedStarts()
	for _, event := range w.config.KnownEvents {
		w.applyEvent(event)
	}
	w.recordDisabledStarts()
}

// countMalformed counts and logs a malformed frame. err is the error that ended a connection.
func (w *Watcher) countMalformed(err error) {
	if errors.Is(err, ErrMalformedFrame) {
		w.counters.Add("changelog_broken_frames", 1)
		w.log.Warn().Err(err).Msg("malformed frame of the change log, connecting again")
	}
}

// markSynced closes the channel that Synced returns; further calls do nothing.
func (w *Watcher) markSynced() {
	if !w.synced.Swap(true) {
		close(w.syncedSignal)
	}
}
