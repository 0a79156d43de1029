package discovery

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// startTime is the time of the test clocks, in Unix milliseconds.
const startTime = 1.7e12

// listedStart is the start time of the servers in the known events of newUnstartedWatcher.
var listedStart = platformconfig.StartTime(startTime - 60_000)

// testTimeout is the time after which a test fails if its watcher does not do the expected step. It
// does not influence the order of events.
const testTimeout = 10 * time.Second

// States of a record.
const (
	stateReady byte = iota
	stateDraining
	stateRemoved
)

// encodeFrame encodes a frame as the protocol describes it. It uses no code under test.
func encodeFrame(seq uint64, kind byte, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, seq), kind), payload...)
}

func encodeRecord(id uint32, state byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, id)
	b = append(b, 127, 0, 0, 9, 0x13, 0xba, state, 1, 0, 0, 5)
	b = binary.BigEndian.AppendUint32(b, 2500)
	return binary.BigEndian.AppendUint64(b, 1_700_000_000_123)
}

// encodeChange encodes a frame of kind 2 (changed servers) with one record.
func encodeChange(seq uint64, id uint32, state byte) []byte {
	return encodeFrame(seq, 2, encodeRecord(id, state)...)
}

func encodePurge(object uint64, at uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, object), at)
}

// encodeGroupPurge encodes a frame of kind 4 (purge of a group) that purges group 17.
func encodeGroupPurge(seq, at uint64) []byte {
	return encodeFrame(seq, 4, append([]byte{0, 17}, encodePurge(at, 0)[:8]...)...)
}

// newTestWatcher returns a watcher and a channel. The configuration of the watcher holds event 1,
// which is an empty endpoint list. The channel receives the events that the watcher passes to
// notify.
func newTestWatcher(addr netip.AddrPort) (*Watcher, chan platformconfig.WatchEvent) {
	events := make(chan platformconfig.WatchEvent, 16)
	config := &platformconfig.Config{
		Discovery:   addr,
		KnownSeq:    1,
		KnownEvents: []platformconfig.WatchEvent{{Seq: 1, ListUpdate: true, Snapshot: true}},
		Zones:       []string{"a", "b"},
		Kinds:       []string{"box"},
		Settings:    routing.Settings{PurgeRetention: 6 * time.Second},
	}
	notify := func(event platformconfig.WatchEvent) { events <- event }
	return NewWatcher(clock.NewManual(startTime), config, notify, metrics.New()), events
}

// Settings of newUnstartedWatcher about purges.
const (
	testPurgeGrace     = 500 * time.Millisecond
	testPurgeRetention = 6 * time.Second
)

// newUnstartedWatcher returns the watcher of one process of a router that owns stateDir. It has applied
// the known events of its configuration, which list the servers 7 and 8 as ready since listedStart, and
// has heard nothing from the change log. Tests pass it frames. Its settings name no purges if
// purgeRetention is 0.
func newUnstartedWatcher(stateDir string, purgeRetention time.Duration) *Watcher {
	server := func(id routing.ServerID) platformconfig.Endpoint {
		return platformconfig.Endpoint{Server: routing.Server{ID: id, Phase: routing.Ready, StartedAt: listedStart}}
	}
	config := &platformconfig.Config{
		ListenFD:    3,
		StateDir:    stateDir,
		KnownSeq:    1,
		KnownEvents: []platformconfig.WatchEvent{{Seq: 1, ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{server(7), server(8)}}},
		Settings:    routing.Settings{PurgeGrace: testPurgeGrace, PurgeRetention: purgeRetention},
	}
	watcher := NewWatcher(clock.NewManual(startTime), config, func(platformconfig.WatchEvent) {}, metrics.New())
	watcher.applyKnown()
	return watcher
}

// listUpdate returns an event that lists one server.
func listUpdate(seq uint64, id routing.ServerID, phase routing.Phase, started time.Duration) platformconfig.WatchEvent {
	server := routing.Server{ID: id, Phase: phase, StartedAt: started}
	return platformconfig.WatchEvent{Seq: seq, ListUpdate: true, Endpoints: []platformconfig.Endpoint{{Server: server}}}
}

// receiveFrame passes a frame to a watcher, as if the change log had sent it.
func receiveFrame(t *testing.T, watcher *Watcher, kind frameKind, event platformconfig.WatchEvent) {
	t.Helper()
	if err := watcher.handleFrame(frame{kind: kind, event: event}); err != nil {
		t.Fatal(err)
	}
}

// receiveEvent passes an event to a watcher, as if the change log had sent it.
func receiveEvent(t *testing.T, watcher *Watcher, event platformconfig.WatchEvent) {
	t.Helper()
	receiveFrame(t, watcher, kindChanges, event)
}

// receiveHeartbeat passes a heartbeat that names the last event to a watcher.
func receiveHeartbeat(t *testing.T, watcher *Watcher, seq uint64) {
	t.Helper()
	receiveFrame(t, watcher, kindHeartbeat, platformconfig.WatchEvent{Seq: seq})
}

// startWatcher runs a watcher until stop is called or the test ends.
func startWatcher(t *testing.T, watcher *Watcher) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		watcher.Run(ctx)
		close(done)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

// nextEvent waits for an event and returns it.
func nextEvent(t *testing.T, events <-chan platformconfig.WatchEvent) platformconfig.WatchEvent {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(testTimeout):
		t.Fatal("got no event before the test timeout")
		return platformconfig.WatchEvent{}
	}
}

// expectEvents waits for events with the given numbers, in order.
func expectEvents(t *testing.T, events <-chan platformconfig.WatchEvent, seqs ...uint64) {
	t.Helper()
	for _, seq := range seqs {
		if event := nextEvent(t, events); event.Seq != seq {
			t.Fatalf("got event %d, want %d", event.Seq, seq)
		}
	}
}

// fakeChangeLog accepts the connections of one watcher and sends the frames that a test gives it.
type fakeChangeLog struct {
	*net.TCPListener
	t *testing.T
}

func newFakeChangeLog(t *testing.T) fakeChangeLog {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return fakeChangeLog{listener.(*net.TCPListener), t}
}

func (s fakeChangeLog) addr() netip.AddrPort { return s.Addr().(*net.TCPAddr).AddrPort() }

// accept accepts the next connection and checks that the watcher requests the events after
// afterSeq. It then sends the frames. The connection stays open until the test ends.
func (s fakeChangeLog) accept(afterSeq uint64, frames ...[]byte) net.Conn {
	s.t.Helper()
	if err := s.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		s.t.Fatal(err)
	}
	conn, err := s.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	var request [8]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil || binary.BigEndian.Uint64(request[:]) != afterSeq {
		s.t.Fatalf("got request %v, error %v; want the events after %d", request, err, afterSeq)
	}
	if _, err := conn.Write(slices.Concat(frames...)); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// acceptAndClose is like accept, but closes the connection after it has sent the frames.
func (s fakeChangeLog) acceptAndClose(afterSeq uint64, frames ...[]byte) {
	s.t.Helper()
	if err := s.accept(afterSeq, frames...).Close(); err != nil {
		s.t.Error(err)
	}
}
