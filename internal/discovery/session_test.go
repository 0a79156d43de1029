package discovery

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// A connection that ends, or brings a malformed frame, is made anew from the number of the
// last event; what comes twice is applied once.
func TestReconnectResumesFromLastSeq(t *testing.T) {
	server := newFakeChangeLog(t)
	watcher, events := newTestWatcher(server.addr())
	stop := startWatcher(t, watcher)
	unknownKind, tooShort := encodeFrame(4, 9), []byte{0, 0, 0, 1, 0}
	server.acceptAndClose(1, encodeChange(2, 7, stateReady), encodeFrame(2, 0))
	server.acceptAndClose(2, encodeChange(2, 7, stateRemoved), encodeFrame(3, 3, encodePurge(9, now-50)...), unknownKind)
	server.acceptAndClose(3, encodeGroupPurge(4, now), tooShort)
	server.acceptAndClose(4, encodeChange(5, 7, stateDraining))
	expectEvents(t, events, 1)
	event := nextEvent(t, events)
	if event.Seq != 2 {
		t.Fatalf("event %d came, want 2", event.Seq)
	}
	endpoint := event.Endpoints[0]
	if endpoint.ID != 7 || endpoint.Addr.String() != "127.0.0.9:5050" || endpoint.Zone != 1 || endpoint.Cell != 5 || endpoint.Weight != 2.5 ||
		endpoint.StartedAt != platformconfig.StartTime(1_700_000_000_123) || endpoint.Phase != routing.Ready {
		t.Errorf("%+v", endpoint)
	}
	expectEvents(t, events, 3, 4, 5)
	stop()
	guard, at, stale := watcher.Guard(), clock.Duration(now), clock.Duration(now+7000)
	if !guard.PurgesSeen || guard.LastEventAt != at || !guard.Excludes(7) {
		t.Errorf("%+v", guard)
	}
	if !guard.MayBeStale(at, 9, 0) || !guard.MayBeStale(at, 1, 17) || guard.MayBeStale(at, 1, 16) {
		t.Errorf("purges: %+v", guard)
	}
	if !guard.MayBeStale(stale, 1, 1) {
		t.Error("seven seconds without a frame no purge is missed")
	}
}

// Routers that lose the change log at one moment come back to it one after another, at ever
// longer intervals, and soon again once it has sent a frame.
func TestReconnectDelaysAreSpread(t *testing.T) {
	const routers = 300
	perSlot := map[int]int{} // of 20 ms
	for seed := range uint64(routers) {
		backoff := reconnectBackoff{random: rand.New(rand.NewPCG(seed, 0))}
		at, last := 0.0, 0.0
		for range 6 {
			last = backoff.nextDelay(false)
			at += last
		}
		if at < 50 || last < maxBackoff/2 || last > maxBackoff {
			t.Fatalf("seed %d: back %.0f ms later, the last delay was %.0f ms", seed, at, last)
		}
		if delay := backoff.nextDelay(true); delay > initialBackoff {
			t.Fatalf("seed %d: %.0f ms after a frame", seed, delay)
		}
		perSlot[int(at)/20]++
	}
	for slot, n := range perSlot {
		if n > routers/8 {
			t.Errorf("%d of %d routers come back within 20 ms, at %d ms", n, routers, 20*slot)
		}
	}
}

// The change log of another configuration is asked at once, from the last number, though the
// old one is still open; what the configuration knows beyond that is applied first.
func TestReloadMovesToNewAddress(t *testing.T) {
	first, second := newFakeChangeLog(t), newFakeChangeLog(t)
	watcher, events := newTestWatcher(first.addr())
	next := *watcher.config
	startWatcher(t, watcher)
	first.accept(1, encodeGroupPurge(2, now))
	expectEvents(t, events, 1, 2)
	next.Discovery = second.addr()
	next.Settings.PurgeRetention = 7 * time.Second
	next.KnownEvents = []platformconfig.WatchEvent{{Seq: 2}, {Seq: 3, ListUpdate: true}}
	watcher.Reload(&platformconfig.Config{}) // replaced by the next, or superseded by it
	watcher.Reload(&next)
	second.accept(3, encodeGroupPurge(2, now))
	expectEvents(t, events, 3)
	if retention := watcher.Guard().PurgeRetention; retention != 7*time.Second {
		t.Errorf("purges are retained for %v", retention)
	}
}

// Guards against a change log that connects and then sends nothing, and one that ends right
// after it is back: a drain that begins in between is received on the next connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server := newFakeChangeLog(t)
	watcher, events := newTestWatcher(server.addr())
	startWatcher(t, watcher)
	server.accept(1)
	server.acceptAndClose(1, encodeChange(2, 7, stateReady))
	server.accept(2, encodeChange(3, 7, stateDraining))
	expectEvents(t, events, 1, 2, 3)
	if !watcher.Guard().Excludes(7) {
		t.Error("the draining server is not excluded")
	}
}

// Guards against a drain that is missed because it began while discovery was down or soon
// after its return: connections are refused three times, then the change log is asked from
// the last number, and the draining server is excluded.
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
				t.Fatal("connected to nothing")
			}
		case <-time.After(testTimeout):
			t.Fatal("it does not connect again")
		}
	}
	server.accept(2, encodeChange(3, 8, stateReady), encodeChange(4, 7, stateDraining))
	expectEvents(t, events, 3, 4)
	if guard := watcher.Guard(); !guard.Excludes(7) || guard.Excludes(8) {
		t.Errorf("excluded: the draining server %v, the new one %v", guard.Excludes(7), guard.Excludes(8))
	}
}

// endlessConn is a connection that a read deadline does not end, but SetDeadline does.
type endlessConn struct{ net.Conn }

func (endlessConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a watcher that waits for its old connection to end before it follows the
// change log that a new configuration names: the old connection is open, silent, and never
// ends by itself.
func TestReloadCutsASilentConnection(t *testing.T) {
	first, second := newFakeChangeLog(t), newFakeChangeLog(t)
	watcher, events := newTestWatcher(first.addr())
	dial := watcher.dial
	watcher.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, to)
		if err == nil && to == first.addr() {
			conn = endlessConn{conn}
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
		t.Error("the draining server is not excluded")
	}
}

// slowConn brings one byte with each read.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(1, len(p))]) }

// Guards against a list that comes in pieces being read as a malformed or shorter one, and
// against waiting for the rest of one that stops half way: it is asked for anew.
func TestListInPieces(t *testing.T) {
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
		t.Errorf("%d listed, %d unavailable", listed, unavailable)
	}
}

// Guards against a router that is never ready because discovery does not answer: what the
// configuration knows is applied before any connection, and Synced ends without a frame.
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
		t.Errorf("%d events before the first connection, want the one that is known", n)
	}
	select {
	case <-watcher.Synced():
	case <-time.After(testTimeout):
		t.Fatal("it waits for a change log that sends nothing")
	}
	expectEvents(t, events, 1)
}
