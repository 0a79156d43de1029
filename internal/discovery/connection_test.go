package discovery

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fakeserver"
	"garnetline/internal/logs"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// TestReconnectResumesFromLastSeq checks the reconnect after a connection ends or sends a malformed
// frame. The watcher connects again and requests the events after the last applied event. If it
// receives an event twice, it applies the event once.
func TestReconnectResumesFromLastSeq(t *testing.T) {
	server := newFakeChangeLog(t)
	watcher, events := newTestWatcher(server.addr())
	stop := startWatcher(t, watcher)
	unknownKind, tooShort := encodeFrame(4, 9), []byte{0, 0, 0, 1, 0}
	server.acceptAndClose(1, encodeChange(2, 7, stateReady), encodeFrame(2, 0))
	server.acceptAndClose(2, encodeChange(2, 7, stateRemoved), encodeFrame(3, 3, encodePurge(9, startTime-50)...), unknownKind)
	server.acceptAndClose(3, encodeGroupPurge(4, startTime), tooShort)
	server.acceptAndClose(4, encodeChange(5, 7, stateDraining))
	expectEvents(t, events, 1)
	event := nextEvent(t, events)
	if event.Seq != 2 {
		t.Fatalf("got event %d, want 2", event.Seq)
	}
	endpoint := event.Endpoints[0]
	if endpoint.ID != 7 || endpoint.Addr.String() != "127.0.0.9:5050" || endpoint.Zone != 1 || endpoint.Cell != 5 || endpoint.Weight != 2.5 ||
		endpoint.StartedAt != platformconfig.StartTime(1_700_000_000_123) || endpoint.Phase != routing.Ready {
		t.Errorf("got unexpected endpoint %+v", endpoint)
	}
	expectEvents(t, events, 3, 4, 5)
	stop()
	guard, at, stale := watcher.Guard(), clock.Duration(startTime), clock.Duration(startTime+7000)
	if !guard.PurgesOccur || guard.LastFrameAt != at || !guard.Excludes(7) {
		t.Errorf("got unexpected guard %+v", guard)
	}
	if !guard.MayBeStale(at, 9, 0) || !guard.MayBeStale(at, 1, 17) || guard.MayBeStale(at, 1, 16) {
		t.Errorf("got unexpected purges in guard %+v", guard)
	}
	if !guard.MayBeStale(stale, 1, 1) {
		t.Error("after 7 s without a frame: got MayBeStale false, want true for every object")
	}
}

// TestReconnectDelaysAreSpread checks that routers that lose the change log at the same moment
// reconnect at different moments. The delays of each router increase. After the change log has sent
// a frame, the delay is short again.
func TestReconnectDelaysAreSpread(t *testing.T) {
	const routers = 300
	perSlot := map[int]int{} // key: number of a 20 ms slot; value: routers that reconnect in the slot
	for seed := range uint64(routers) {
		backoff := reconnectBackoff{random: rand.New(rand.NewPCG(seed, 0))}
		at, last := 0.0, 0.0
		for range 6 {
			last = backoff.nextDelay(false)
			at += last
		}
		if at < 50 || last < maxBackoff/2 || last > maxBackoff {
			t.Fatalf("seed %d: got sixth reconnect after %.0f ms in total, the last delay %.0f ms; want at least 50 ms in total and a last delay from maxBackoff/2 to maxBackoff", seed, at, last)
		}
		if delay := backoff.nextDelay(true); delay > initialBackoff {
			t.Fatalf("seed %d: got a delay of %.0f ms after a frame, want at most initialBackoff", seed, delay)
		}
		perSlot[int(at)/20]++
	}
	for slot, n := range perSlot {
		if n > routers/8 {
			t.Errorf("got %d of %d routers that reconnect within the 20 ms from %d ms on, want at most an eighth", n, routers, 20*slot)
		}
	}
}

// TestReloadMovesToNewAddress checks that the watcher follows the change log of a new configuration
// immediately, although the old connection is still open. The watcher first applies the known
// events of the new configuration. It then requests the events after the last applied event.
func TestReloadMovesToNewAddress(t *testing.T) {
	first, second := newFakeChangeLog(t), newFakeChangeLog(t)
	watcher, events := newTestWatcher(first.addr())
	next := *watcher.config
	startWatcher(t, watcher)
	first.accept(1, encodeGroupPurge(2, startTime))
	expectEvents(t, events, 1, 2)
	next.Discovery = second.addr()
	next.Settings.PurgeRetention = 7 * time.Second
	next.KnownEvents = []platformconfig.WatchEvent{{Seq: 2}, {Seq: 3, ListUpdate: true}}
	watcher.Reload(&platformconfig.Config{}) // the second Reload replaces this configuration, whether or not Run has received it
	watcher.Reload(&next)
	second.accept(3, encodeGroupPurge(2, startTime))
	expectEvents(t, events, 3)
	if retention := watcher.Guard().PurgeRetention; retention != 7*time.Second {
		t.Errorf("got purge retention %v, want 7s", retention)
	}
}

// TestSilentConnectionIsReplaced checks that the watcher receives a drain although earlier
// connections failed. The change log accepts the first connection and sends nothing on it. It
// closes the second connection after one frame. It sends the drain on the third connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server := newFakeChangeLog(t)
	watcher, events := newTestWatcher(server.addr())
	startWatcher(t, watcher)
	server.accept(1)
	server.acceptAndClose(1, encodeChange(2, 7, stateReady))
	server.accept(2, encodeChange(3, 7, stateDraining))
	expectEvents(t, events, 1, 2, 3)
	if !watcher.Guard().Excludes(7) {
		t.Error("the guard does not exclude draining server 7")
	}
}

// TestDrainAfterDiscoveryWasDown checks that the watcher does not miss a drain that begins while
// discovery is down or soon after its return. After three refused connections, the watcher requests
// the events after the last applied event. The guard then excludes the draining server.
func TestDrainAfterDiscoveryWasDown(t *testing.T) {
	server, closed := newFakeChangeLog(t), newFakeChangeLog(t)
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	watcher, events := newTestWatcher(server.addr())
	dial, dials, refused := watcher.dial, 0, make(chan error, 3)
	watcher.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		dials++
		if dials < 2 || dials > 4 {
			return dial(ctx, to)
		}
		conn, err := dial(ctx, closed.addr())
		refused <- err
		return conn, err
	}
	startWatcher(t, watcher)
	malformed := []byte{0, 0, 0, 0} // ends the first connection
	server.accept(1, encodeChange(2, 7, stateReady), malformed)
	expectEvents(t, events, 1, 2)
	for range cap(refused) {
		select {
		case err := <-refused:
			if err == nil {
				t.Fatal("dial of a closed listener: got a connection, want an error")
			}
		case <-time.After(testTimeout):
			t.Fatal("the watcher did not connect again before the test timeout")
		}
	}
	server.accept(2, encodeChange(3, 8, stateReady), encodeChange(4, 7, stateDraining))
	expectEvents(t, events, 3, 4)
	if guard := watcher.Guard(); !guard.Excludes(7) || guard.Excludes(8) {
		t.Errorf("got excluded %v for draining server 7 and %v for ready server 8, want true and false", guard.Excludes(7), guard.Excludes(8))
	}
}

// noReadDeadlineConn is a connection that ignores SetReadDeadline. SetDeadline still interrupts
// its reads.
type noReadDeadlineConn struct{ net.Conn }

func (noReadDeadlineConn) SetReadDeadline(time.Time) error { return nil }

// TestReloadClosesSilentConnection checks that the watcher closes its old connection when a new
// configuration names another change log. The old connection is silent and never ends unless the
// watcher closes it. The watcher must not wait until the change log ends the old connection.
func TestReloadClosesSilentConnection(t *testing.T) {
	first, second := newFakeChangeLog(t), newFakeChangeLog(t)
	watcher, events := newTestWatcher(first.addr())
	dial := watcher.dial
	watcher.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, to)
		if err == nil && to == first.addr() {
			conn = noReadDeadlineConn{conn}
		}
		return conn, err
	}
	next := *watcher.config
	next.Discovery = second.addr()
	startWatcher(t, watcher)
	first.accept(1, encodeChange(2, 7, stateReady))
	expectEvents(t, events, 1, 2)
	watcher.Reload(&next)
	second.accept(2, encodeChange(3, 7, stateDraining))
	expectEvents(t, events, 3)
	if !watcher.Guard().Excludes(7) {
		t.Error("the guard does not exclude draining server 7")
	}
}

// slowConn is a connection that returns one byte per read.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(1, len(p))]) }

// TestFragmentedList checks that the watcher reads an endpoint list correctly that arrives one byte
// at a time. If the transfer of the list stops half way, the watcher requests the list again.
func TestFragmentedList(t *testing.T) {
	server := newFakeChangeLog(t)
	watcher, events := newTestWatcher(server.addr())
	dial := watcher.dial
	watcher.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, to)
		return slowConn{conn}, err
	}
	startWatcher(t, watcher)
	list := encodeFrame(3, 1, append(encodeRecord(7, stateDraining), encodeRecord(8, stateReady)...)...)
	server.accept(1, encodeChange(2, 7, stateReady), list[:len(list)/2])
	expectEvents(t, events, 1, 2)
	server.accept(2, list, encodeChange(4, 8, stateDraining))
	expectEvents(t, events, 3, 4)
	if listed, unavailable := watcher.ServerCounts(); listed != 2 || unavailable != 2 {
		t.Errorf("got %d listed and %d unavailable servers, want 2 and 2", listed, unavailable)
	}
}

// TestReadyWithoutDiscovery checks that a router becomes ready even if discovery does not answer.
// The watcher applies the known events of the configuration before it connects. The channel that
// Synced returns is closed even if no frame arrives.
func TestReadyWithoutDiscovery(t *testing.T) {
	watcher, events := newTestWatcher(netip.AddrPort{})
	eventsAtDial := make(chan int, 1)
	watcher.dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		select {
		case eventsAtDial <- len(events):
		default: // a later connection
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	startWatcher(t, watcher)
	if n := <-eventsAtDial; n != 1 {
		t.Errorf("got %d events before the first connection, want 1, the known event", n)
	}
	select {
	case <-watcher.Synced():
	case <-time.After(testTimeout):
		t.Fatal("Synced channel not closed before the test timeout although the change log sends nothing")
	}
	expectEvents(t, events, 1)
}

// TestMalformedFramesEndTheConnection sends malformed frames on real connections, each behind a sound event
// and before another one. The watcher applies the first event, counts and logs the frame, and asks for the
// second event on a new connection.
func TestMalformedFramesEndTheConnection(t *testing.T) {
	patchRecord := func(offset int, value ...byte) []byte {
		record := encodeRecord(7, stateReady)
		copy(record[offset:], value)
		return encodeFrame(3, 2, record...)
	}
	tooLate := binary.BigEndian.AppendUint64(nil, platformconfig.MaxUnixMillis+1)
	for name, malformed := range map[string][]byte{
		"shorter than its header":  {0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 3, 0},
		"longer than all records":  {0, 4, 0, 0, 0},
		"unknown kind":             encodeFrame(3, 5),
		"heartbeat with a payload": encodeFrame(2, 0, 0),
		"part of a record":         encodeFrame(3, 1, encodeRecord(7, stateReady)[1:]...),
		"more than a record":       encodeFrame(3, 2, append(encodeRecord(7, stateReady), 0)...),
		"unknown state":            patchRecord(recordState, 3),
		"unknown zone":             patchRecord(recordZone, 2),
		"unknown server kind":      patchRecord(recordKind, 1),
		"start after all times":    patchRecord(recordStart, tooLate...),
		"short object purge":       encodeFrame(3, 3, encodePurge(9, startTime)[1:]...),
		"long object purge":        encodeFrame(3, 3, append(encodePurge(9, startTime), 0)...),
		"object purge of no time":  encodeFrame(3, 3, append([]byte{0, 0, 0, 0, 0, 0, 0, 9}, tooLate...)...),
		"short group purge":        encodeFrame(3, 4, 17),
		"group purge of no time":   encodeFrame(3, 4, append([]byte{0, 17}, tooLate...)...),
	} {
		t.Run(name, func(t *testing.T) {
			var log fakeserver.Output
			server := newFakeChangeLog(t)
			watcher, events := newTestWatcher(server.addr())
			watcher.SetLog(*logs.New(&log))
			startWatcher(t, watcher)
			server.accept(1, encodeChange(2, 7, stateReady), malformed, encodeGroupPurge(3, startTime))
			server.accept(2, encodeGroupPurge(3, startTime))
			expectEvents(t, events, 1, 2, 3)
			if got := watcher.counters.Counter("changelog_broken_frames").Load(); got != 1 {
				t.Errorf("got %d malformed frames counted, want 1", got)
			}
			if !strings.Contains(log.String(), `"error":"discovery: malformed frame: `) {
				t.Errorf("got the log %q, want the reason", log.String())
			}
		})
	}
}
