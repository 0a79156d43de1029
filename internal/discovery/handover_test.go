package discovery

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// TestSuccessorKnowsWhatItsPredecessorHeard guards against requests to a cache that is draining or gone, or
// against too many to one that has just been started, after an upgrade while the change log is cut off: the
// new process knew only the list of the configuration, which may be old.
func TestSuccessorKnowsWhatItsPredecessorHeard(t *testing.T) {
	for _, test := range []struct {
		name  string
		event platformconfig.WatchEvent
	}{
		{"draining", listUpdate(2, 7, routing.Draining, listedStart)},
		{"removed", listUpdate(2, 7, routing.Removed, listedStart)},
		{"started again", listUpdate(2, 7, routing.Ready, platformconfig.StartTime(startTime))},
		{"missing in a new list", platformconfig.WatchEvent{Seq: 2, ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{
			{Server: routing.Server{ID: 8, Phase: routing.Ready}}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			stateDir := t.TempDir()
			predecessor, successor := newUnstartedWatcher(stateDir, testPurgeRetention), newUnstartedWatcher(stateDir, testPurgeRetention)
			successor.followReports()
			receiveEvent(t, predecessor, test.event) // after the start of the successor
			receiveEvent(t, predecessor, platformconfig.WatchEvent{Seq: 3, Purge: &platformconfig.Purge{Group: 4, At: startTime - 20}})
			successor.followReports()
			successor.followReports() // the same file again changes nothing
			guard := successor.Guard()
			if !guard.Excludes(7) || guard.Excludes(8) || len(guard.Purges) != 1 {
				t.Errorf("got excluded %v and %v and purges %v, want server 7 alone excluded and one purge", guard.Excludes(7), guard.Excludes(8), guard.Purges)
			}
			if got := guard.MaxAge(clock.Duration(startTime), 0, 5, 4).Round(time.Millisecond); got != 20*time.Millisecond {
				t.Errorf("got maximum age %v for a copy of the purged group, want 20ms", got)
			}

			if drains, purges := successor.counters.Counter("handover_drains_taken").Load(), successor.counters.Counter("handover_purges_taken").Load(); drains != 1 || purges != 1 {
				t.Errorf("got %d drains and %d purges counted, want one each", drains, purges)
			}

			// Once the successor hears the change log, its own list counts.
			receiveHeartbeat(t, successor, 1)
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
	watcher := newUnstartedWatcher(stateDir, testPurgeRetention)
	path := filepath.Join(stateDir, handoverFile)
	if err := os.WriteFile(path, []byte(`{"unavailable":[{"id":`), 0o600); err != nil {
		t.Fatal(err)
	}
	watcher.followReports()
	if watcher.Guard().Excludes(7) || watcher.counters.Counter("handovers_unread").Load() != 1 {
		t.Errorf("got excluded %v after reading half a file, want false and one unread file", watcher.Guard().Excludes(7))
	}
	receiveEvent(t, watcher, listUpdate(2, 7, routing.Draining, listedStart))
	receiveEvent(t, watcher, platformconfig.WatchEvent{Seq: 3, Purge: &platformconfig.Purge{Object: 5, At: startTime - 20}})
	const want = `{"unavailable":[{"id":7,"started_ms":1699999940000}],"purges":[{"object":5,"group":0,"purged_ms":1699999999980}]}`
	if text, err := os.ReadFile(path); err != nil || string(text) != want {
		t.Errorf("got file %q, error %v; want %q", text, err, want)
	}
	watcher.config.ListenFD = 0
	if got := handoverPath(watcher.config); got != "" {
		t.Errorf("without an inherited socket: got path %q, want none", got)
	}
}
