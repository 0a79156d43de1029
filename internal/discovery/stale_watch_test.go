package discovery

import (
	"errors"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
)

// expectMaxAge checks the maximum age of a copy that no known purge concerns. 0 means any age.
func expectMaxAge(t *testing.T, watcher *Watcher, when string, want time.Duration) {
	t.Helper()
	now := clock.Duration(watcher.clock.Now())
	if got := watcher.Guard().MaxAge(now, 0, 9, 0); got != want {
		t.Errorf("%s: got maximum age %v, want %v", when, got, want)
	}
	if got := watcher.Guard().MayBeStale(now, 9, 0); got != (want != 0) {
		t.Errorf("%s: got purged copies possible %v, want %v", when, got, want != 0)
	}
}

// TestUnheardChangeLogBoundsCopies guards against copies from before a purge that the process could not
// know: a process whose change log stalls from its start accepted copies of any age, because it had never
// received a purge itself. The process that it replaced in an upgrade had.
func TestUnheardChangeLogBoundsCopies(t *testing.T) {
	watcher := newUnstartedWatcher("", testPurgeRetention)
	clk := watcher.clock.(*clock.Manual)
	expectMaxAge(t, watcher, "before the first frame", testPurgeGrace)
	clk.Advance(5000)
	expectMaxAge(t, watcher, "5 s after the start without a frame", testPurgeGrace)
	receiveHeartbeat(t, watcher, 1)
	expectMaxAge(t, watcher, "after the first frame", 0)
	clk.Advance(1500)
	expectMaxAge(t, watcher, "1.5 s after a frame", 0)
	clk.Advance(1)
	expectMaxAge(t, watcher, "cut off, without a purge ever received", testPurgeGrace)
}

// TestNoPurgesNoBound checks that a deployment whose settings name no purges bounds no copies.
func TestNoPurgesNoBound(t *testing.T) {
	watcher := newUnstartedWatcher("", 0)
	watcher.clock.(*clock.Manual).Advance(5000)
	expectMaxAge(t, watcher, "cut off, without purges", 0)
	next := *watcher.config
	next.Settings.PurgeRetention = testPurgeRetention
	watcher.applyConfig(&next)
	expectMaxAge(t, watcher, "after a reload with purges", testPurgeGrace)
}

// TestOnlyFramesKeepTheWatchCurrent guards against missed purges and drains during a stall: an operator's
// call, news of a peer and a reloaded configuration made a watch that is cut off count as current for 1.5 s.
func TestOnlyFramesKeepTheWatchCurrent(t *testing.T) {
	for _, test := range []struct {
		name  string
		apply func(*Watcher)
	}{
		{"nothing", func(*Watcher) {}},
		{"an operator disables a server", func(w *Watcher) {
			if err := w.handleDisableRequest(disableRequest{server: 7, disabled: true}); err != nil {
				t.Error(err)
			}
		}},
		{"a purge from a peer", func(w *Watcher) {
			w.applyReportedPurge(w.clock.Now(), peer, gossip.Change{Item: gossip.Item{Kind: gossip.Purge, Object: 5, PurgedAt: w.clock.Now()}})
		}},
		{"a reload with known events", func(w *Watcher) {
			next := *w.config
			next.KnownEvents = []platformconfig.WatchEvent{{Seq: 9, ListUpdate: true}}
			w.applyConfig(&next)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			watcher := newUnstartedWatcher("", testPurgeRetention)
			receiveHeartbeat(t, watcher, 1)
			watcher.clock.(*clock.Manual).Advance(1400)
			test.apply(watcher)
			watcher.clock.(*clock.Manual).Advance(101)
			expectMaxAge(t, watcher, "1.5 s after the last frame", testPurgeGrace)
			if !watcher.Stale(watcher.clock.Now()) {
				t.Error("got a current watch, want a stale one")
			}
		})
	}
}

// TestFrameThatShowsMissingEventsIsNotCurrent guards against missed purges where the change log names
// events that it does not send, even when it is asked again: its heartbeats made the watch count as current.
func TestFrameThatShowsMissingEventsIsNotCurrent(t *testing.T) {
	watcher := newUnstartedWatcher("", testPurgeRetention)
	receiveHeartbeat(t, watcher, 1)
	watcher.clock.(*clock.Manual).Advance(1400)
	missing := frame{kind: kindHeartbeat, event: platformconfig.WatchEvent{Seq: 3}}
	if err := watcher.handleFrame(missing); !errors.Is(err, ErrMissingEvents) {
		t.Fatalf("got error %v, want ErrMissingEvents", err)
	}
	receiveHeartbeat(t, watcher, 3)
	watcher.clock.(*clock.Manual).Advance(101)
	expectMaxAge(t, watcher, "heartbeats of event 3 without events 2 and 3", testPurgeGrace)
	receiveEvent(t, watcher, platformconfig.WatchEvent{Seq: 2})
	receiveEvent(t, watcher, platformconfig.WatchEvent{Seq: 3})
	expectMaxAge(t, watcher, "events 2 and 3 received", 0)
}

// TestSkippedEventsBoundCopies guards against missed purges where the change log has lost events: the
// watcher skipped their numbers, and took them for events without a purge.
func TestSkippedEventsBoundCopies(t *testing.T) {
	watcher := newUnstartedWatcher("", testPurgeRetention)
	receiveEvent(t, watcher, platformconfig.WatchEvent{Seq: 2})
	lost := frame{kind: kindChanges, event: platformconfig.WatchEvent{Seq: 5}}
	if err := watcher.handleFrame(lost); !errors.Is(err, ErrMissingEvents) {
		t.Fatalf("got error %v, want ErrMissingEvents", err)
	}
	receiveEvent(t, watcher, lost.event) // events 3 and 4 are lost
	clk := watcher.clock.(*clock.Manual)
	for range int(testPurgeRetention / time.Second) {
		expectMaxAge(t, watcher, "after events were skipped", testPurgeGrace)
		clk.Advance(1000)
		receiveHeartbeat(t, watcher, 5)
	}
	expectMaxAge(t, watcher, "once no copies from before the skipped events are left", 0)
}
