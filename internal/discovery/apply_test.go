package discovery

import (
	"net"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fakeserver"
	"garnetline/internal/fuzzutil"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// TestMissedEvents checks that the watcher requests lost events again. A heartbeat with a later
// number, or an event that does not follow the last applied event, shows that events are missing.
// The watcher then connects again and requests the events after the last applied event. If the
// change log still does not send the missing events, the watcher skips them.
func TestMissedEvents(t *testing.T) {
	event := func(seq uint64) []byte { return encodeChange(seq, 7, stateReady) }
	heartbeat := func(seq uint64) []byte { return encodeFrame(seq, 0) }
	server := newFakeChangeLog(t)
	watcher, events := newTestWatcher(server.addr())
	startWatcher(t, watcher)
	server.accept(1, event(2), heartbeat(3))     // event 3 is missing
	server.accept(2, event(3), event(5))         // event 4 is missing
	server.acceptAndClose(3, event(4), event(5)) // events 4 and 5 are sent again
	server.accept(5, event(7))                   // the change log has no event 6
	server.accept(5, event(7), heartbeat(7), event(8))
	expectEvents(t, events, 1, 2, 3, 4, 5, 7, 8)
}

// TestGuardIsPublishedBeforeNotification checks that the published guard already includes an event
// when the watcher notifies of the event. Otherwise, an attempt that is chosen after the
// notification of a drain could be checked against the previous guard and written.
func TestGuardIsPublishedBeforeNotification(t *testing.T) {
	server := newFakeChangeLog(t)
	watcher, events := newTestWatcher(server.addr())
	notify, excluded := watcher.notify, make(chan bool, 16)
	watcher.notify = func(event platformconfig.WatchEvent) {
		excluded <- watcher.Guard().Excludes(7)
		notify(event)
	}
	startWatcher(t, watcher)
	server.accept(1, encodeChange(2, 7, stateReady), encodeChange(3, 7, stateDraining), encodeChange(4, 7, stateReady))
	expectEvents(t, events, 1, 2, 3, 4)
	for i, want := range []bool{true, false, true, false} {
		if got := <-excluded; got != want {
			t.Errorf("event %d: got excluded %v at its notification, want %v", i+1, got, want)
		}
	}
	if err := watcher.SetDisabled(t.Context(), 7, true); err != nil || !<-excluded {
		t.Errorf("disable server 7: got error %v, or the server is not excluded at the notification", err)
	}
}

// TestWallClockStep checks that a purge applies even if the wall clock is set while the router
// runs. The time of a purge is a wall clock time. Without a correction, a purge would seem to be
// older than the purge retention after the wall clock was set back by more than the retention.
func TestWallClockStep(t *testing.T) {
	for _, step := range []float64{-3_600_000, -7_000, 0, 7_000, 3_600_000} {
		changeLog, err := fakeserver.NewChangeLog(1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = changeLog.Close() })
		watcher, events := newTestWatcher(changeLog.Addr().(*net.TCPAddr).AddrPort())
		watcher.clock.(*clock.Manual).StepWallClock(step)
		stop := startWatcher(t, watcher)
		changeLog.Purge(9, uint64(startTime+step-50))
		event := nextEvent(t, events)
		for event.Purge == nil {
			event = nextEvent(t, events)
		}
		stop() // the frame of the purge counts as heard only after the notification
		at := clock.Duration(startTime)
		guard := watcher.Guard()
		if !guard.MayBeStale(at, 9, 0) || guard.MaxAge(at, 0, 9, 0).Round(time.Millisecond) != 50*time.Millisecond {
			t.Errorf("wall clock step of %v ms: got stale copies possible %v and maximum age %v, want true and 50ms", step, guard.MayBeStale(at, 9, 0), guard.MaxAge(at, 0, 9, 0))
		}
	}
}

// guardModel is the expected state of a guard. The model computes the state by a simple replay of
// the events.
type guardModel struct {
	ready    map[routing.ServerID]bool
	purgedAt map[int]float64 // ms, by group
}

// FuzzGuard checks the published guard against a simple replay of the events.
func FuzzGuard(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 90)
	f.Fuzz(func(t *testing.T, steps []byte) {
		guard := &routing.Guard{PurgeRetention: 6 * time.Second}
		model := guardModel{ready: map[routing.ServerID]bool{}, purgedAt: map[int]float64{}}
		at := startTime
		for i := 0; i+2 < len(steps); i += 3 {
			id, argument := routing.ServerID(steps[i+1]%5), int(steps[i+2])
			at += float64(argument * 10)
			event := model.step(steps[i]%4, id, argument, at)
			guard = nextGuard(guard, event, clock.Duration(at), 0)
			model.check(t, guard, at)
		}
	})
}

// step creates the event that the arguments select, and applies the event to the model.
func (m guardModel) step(operation byte, id routing.ServerID, argument int, at float64) platformconfig.WatchEvent {
	if operation > 1 {
		group := argument % 4
		m.purgedAt[group] = at
		return platformconfig.WatchEvent{Purge: &platformconfig.Purge{Group: group, At: at}}
	}
	snapshot := operation == 1
	if snapshot {
		clear(m.ready)
	}
	phase := routing.Phase(argument % 3)
	m.ready[id] = phase == routing.Ready
	return platformconfig.WatchEvent{
		ListUpdate: true,
		Snapshot:   snapshot,
		Endpoints:  []platformconfig.Endpoint{{Server: routing.Server{ID: id, Phase: phase}}},
	}
}

// check compares a guard with the model.
func (m guardModel) check(t *testing.T, guard *routing.Guard, now float64) {
	t.Helper()
	for id := range routing.ServerID(5) {
		if guard.Excludes(id) == m.ready[id] {
			t.Fatalf("server %d: got excluded %v from the guard, but ready %v from the model", id, guard.Excludes(id), m.ready[id])
		}
	}
	for group := range 4 {
		purgedAt, purged := m.purgedAt[group]
		want := purged && purgedAt+6000 > now
		if guard.MayBeStale(clock.Duration(now), 99, group) != want {
			t.Fatalf("group %d purged at %.0f: want stale copies possible at %.0f to be %v", group, purgedAt, now, want)
		}
		age := guard.MaxAge(clock.Duration(now), 8*time.Second, 99, group)
		bound := max(clock.Duration(now-purgedAt), time.Microsecond) + time.Millisecond
		if want && age > bound || !want && age != 8*time.Second {
			t.Fatalf("group %d: got unexpected maximum age %v", group, age)
		}
	}
}
