package discovery

import (
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// setDisabled disables or enables server 7 on behalf of an operator.
func setDisabled(t *testing.T, watcher *Watcher, disabled bool) {
	t.Helper()
	if err := watcher.handleDisableRequest(disableRequest{server: 7, disabled: disabled}); err != nil {
		t.Fatal(err)
	}
}

// recordStarts returns the start times that the watcher publishes for server 7 from now on.
func recordStarts(watcher *Watcher) *[]time.Duration {
	starts := &[]time.Duration{}
	watcher.notify = func(event platformconfig.WatchEvent) {
		for _, endpoint := range event.Endpoints {
			if endpoint.ID == 7 {
				*starts = append(*starts, endpoint.StartedAt)
			}
		}
	}
	return starts
}

func expectStart(t *testing.T, when string, starts *[]time.Duration, want time.Duration) {
	t.Helper()
	if len(*starts) == 0 {
		t.Fatalf("%s: got no start of the server, want %v", when, want)
	}
	if got := (*starts)[len(*starts)-1]; got != want {
		t.Errorf("%s: got start %v, want %v", when, got, want)
	}
}

// TestEnabledServerStaysInSlowStart guards against too many requests to a server that an operator has
// restarted and enabled: any later publication of the listed, old start ended its slow start.
func TestEnabledServerStaysInSlowStart(t *testing.T) {
	watcher := newUnstartedWatcher("", testPurgeRetention)
	starts := recordStarts(watcher)
	enabledAt := clock.Duration(startTime)
	setDisabled(t, watcher, true)
	setDisabled(t, watcher, false)
	expectStart(t, "after the call", starts, enabledAt)
	watcher.clock.(*clock.Manual).Advance(100)
	watcher.publishEndpoint(watcher.servers[7])
	expectStart(t, "published again", starts, enabledAt)
	receiveEvent(t, watcher, listUpdate(2, 7, routing.Ready, listedStart))
	expectStart(t, "listed again with the old start", starts, enabledAt)
	restartedAt := clock.Duration(startTime - 10)
	receiveEvent(t, watcher, listUpdate(3, 7, routing.Ready, restartedAt))
	expectStart(t, "listed with a new start", starts, restartedAt)
}

// TestSuccessorKeepsSlowStart guards against too many requests to such a server from the new process of
// an upgrade, which knew neither the call to enable it nor with which start it had been disabled.
func TestSuccessorKeepsSlowStart(t *testing.T) {
	stateDir := t.TempDir()
	predecessor := newUnstartedWatcher(stateDir, testPurgeRetention)
	setDisabled(t, predecessor, true)
	second := newUnstartedWatcher(stateDir, testPurgeRetention)
	starts := recordStarts(second)
	second.clock.(*clock.Manual).Advance(200)
	setDisabled(t, second, false)
	enabledAt := clock.Duration(startTime + 200)
	expectStart(t, "enabled at the second process", starts, enabledAt)

	third := newUnstartedWatcher(stateDir, testPurgeRetention)
	starts = recordStarts(third)
	receiveHeartbeat(t, third, 1) // hearing the change log does not reveal the call
	third.publishEndpoint(third.servers[7])
	expectStart(t, "at the third process", starts, enabledAt)
	receiveEvent(t, third, listUpdate(2, 8, routing.Draining, listedStart)) // writes the file anew
	fourth := newUnstartedWatcher(stateDir, testPurgeRetention)
	starts = recordStarts(fourth)
	fourth.applyKnown()
	expectStart(t, "at the fourth process", starts, enabledAt)
}
