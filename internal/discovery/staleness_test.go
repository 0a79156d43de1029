package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fakeserver"
	"garnetline/internal/logs"
)

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not before the test timeout: %s", description)
		}
	}
}

// dialClosing returns a connection that its peer closes after the request.
func dialClosing(context.Context, netip.AddrPort) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		_, _ = io.ReadFull(server, make([]byte, 8))
		_ = server.Close()
	}()
	return client, nil
}

// TestStaleWatchSaysSinceWhenAndWhy checks the reason that a router gives while it does not hear the change
// log, and that the log says when this begins and ends.
func TestStaleWatchSaysSinceWhenAndWhy(t *testing.T) {
	heartbeat, malformed := encodeFrame(1, 0), encodeFrame(2, 9)
	for reason, play := range map[StaleReason]func(fakeChangeLog){
		ReasonUnreachable:    nil,
		ReasonUnanswered:     func(server fakeChangeLog) { server.accept(1) },
		ReasonSilent:         func(server fakeChangeLog) { server.accept(1, heartbeat) },
		ReasonClosed:         nil,
		ReasonMalformedFrame: func(server fakeChangeLog) { server.accept(1, malformed); server.accept(1) },
		ReasonMissingEvents:  func(server fakeChangeLog) { server.accept(1, encodeFrame(2, 0)); server.accept(1) },
	} {
		t.Run(string(reason), func(t *testing.T) {
			var log fakeserver.Output
			server := newFakeChangeLog(t)
			watcher, _ := newTestWatcher(server.addr())
			watcher.SetLog(*logs.New(&log))
			switch reason {
			case ReasonUnreachable:
				watcher.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("refused") }
			case ReasonClosed:
				watcher.dial = dialClosing
			}
			startWatcher(t, watcher)
			if play != nil {
				play(server)
			}
			manual := watcher.clock.(*clock.Manual)
			waitUntil(t, "reason "+string(reason), func() bool {
				manual.Advance(staleLogDelay) // the watch is stale, whenever its last frame came
				staleness, stale := watcher.Staleness(manual.Now())
				return stale && staleness.Reason == reason && staleness.Since >= startTime && staleness.Since < manual.Now()
			})
			waitUntil(t, "log of the stale watch", func() bool { return strings.Contains(log.String(), "change log not heard, the watch is stale") })
			if reason == ReasonUnanswered {
				server.accept(1, heartbeat)
				waitUntil(t, "log of the end", func() bool { return strings.Contains(log.String(), "change log heard again") })
			}
		})
	}
}
