package discovery

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// newUpgradeWatcher returns the watcher of one process of an upgrade. It has applied the known events of
// the configuration, which list the servers 7 and 8 as ready.
func newUpgradeWatcher(stateDir string) *Watcher {
	config := &platformconfig.Config{
		ListenFD: 3,
		StateDir: stateDir,
		KnownSeq: 1,
		KnownEvents: []platformconfig.WatchEvent{{Seq: 1, ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{
			{Server: routing.Server{ID: 7, Phase: routing.Ready}}, {Server: routing.Server{ID: 8, Phase: routing.Ready}}}}},
		Discovery: netip.AddrPort{},
		Settings:  routing.Settings{PurgeGrace: testPurgeGrace, PurgeRetention: testPurgeRetention},
	}
	watcher := NewWatcher(clock.NewManual(startTime), config, func(platformconfig.WatchEvent) {}, metrics.New())
	for _, event := range config.KnownEvents {
		watcher.applyEvent(event)
	}
	return watcher
}

// hear passes an event to a watcher, as if the change log had sent it.
func hear(t *testing.T, watcher *Watcher, event platformconfig.WatchEvent) {
	t.Helper()
	if err := watcher.handleFrame(frame{kind: kindChanges, event: event}); err != nil {
		t.Fatal(err)
	}
}

func listUpdate(seq uint64, id routing.ServerID, phase routing.Phase, started float64) platformconfig.WatchEvent {
	server := routing.Server{ID: id, Phase: phase, StartedAt: clock.Duration(started)}
	return platformconfig.WatchEvent{Seq: seq, ListUpdate: true, Endpoints: []platformconfig.Endpoint{{Server: server}}}
}

// TestSuccessorKnowsWhatItsPredecessorHeard guards against requests to a cache that is draining or gone, or
// against too many to one that has just been started, after an upgrade while the change log is cut off: the
// new process knew only the list of the configuration, which may be old.
func TestSuccessorKnowsWhatItsPredecessorHeard(t *testing.T) {
	for _, test := range []struct {
		name  string
		event platformconfig.WatchEvent
	}{
		{"draining", listUpdate(2, 7, routing.Draining, 0)},
		{"removed", listUpdate(2, 7, routing.Removed, 0)},
		{"started again", listUpdate(2, 7, routing.Ready, startTime)},
		{"missing in a new list", platformconfig.WatchEvent{Seq: 2, ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{
			{Server: routing.Server{ID: 8, Phase: routing.Ready}}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			stateDir := t.TempDir()
			predecessor, successor := newUpgradeWatcher(stateDir), newUpgradeWatcher(stateDir)
			successor.followReports()
			hear(t, predecessor, test.event) // after the start of the successor
			hear(t, predecessor, platformconfig.WatchEvent{Seq: 3, Purge: &platformconfig.Purge{Group: 4, At: startTime - 20}})
			successor.followReports()
			successor.followReports() // the same file again changes nothing
			guard := successor.Guard()
			if !guard.Excludes(7) || guard.Excludes(8) || len(guard.Purges) != 1 {
				t.Errorf("got excluded %v and %v and purges %v, want server 7 alone excluded and one purge", guard.Excludes(7), guard.Excludes(8), guard.Purges)
			}
			if got := guard.MaxAge(clock.Duration(startTime), 0, 5, 4).Round(time.Millisecond); got != 20*time.Millisecond {
				t.Errorf("got maximum age %v for a copy of the purged group, want 20ms", got)
			}

			// Once the successor hears the change log, its own list counts.
			receiveFrame(t, successor, kindHeartbeat, 1)
			successor.clock.(*clock.Manual).Advance(catchUpPeriod)
			successor.followReports()
			if successor.Guard().Excludes(7) {
				t.Error("got server 7 excluded after the change log was heard, want it ready")
			}
		})
	}
}

// TestHandoverFile checks the text of the file, which another version of the program reads, and that a file
// that cannot be decoded changes nothing.
func TestHandoverFile(t *testing.T) {
	stateDir := t.TempDir()
	watcher := newUpgradeWatcher(stateDir)
	path := filepath.Join(stateDir, handoverFile)
	if err := os.WriteFile(path, []byte(`{"unavailable":[{"id":`), 0o600); err != nil {
		t.Fatal(err)
	}
	watcher.followReports()
	if watcher.Guard().Excludes(7) || watcher.counters.Counter("handovers_unread").Load() != 1 {
		t.Errorf("got excluded %v after reading half a file, want false and one unread file", watcher.Guard().Excludes(7))
	}
	hear(t, watcher, listUpdate(2, 7, routing.Draining, 0))
	hear(t, watcher, platformconfig.WatchEvent{Seq: 3, Purge: &platformconfig.Purge{Object: 5, At: startTime - 20}})
	const want = `{"unavailable":[{"id":7,"started_ms":0}],"purges":[{"object":5,"group":0,"purged_ms":1699999999980}]}`
	if text, err := os.ReadFile(path); err != nil || string(text) != want {
		t.Errorf("got file %q, error %v; want %q", text, err, want)
	}
	watcher.config.ListenFD = 0
	if got := handoverPath(watcher.config); got != "" {
		t.Errorf("without an inherited socket: got path %q, want none", got)
	}
}
