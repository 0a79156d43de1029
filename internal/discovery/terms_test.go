package discovery

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// testTimeout ends a test whose log does not do what is awaited. It decides no order.
const testTimeout = 10 * time.Second

// changeLogServer accepts the connections of one log and answers as a test has it.
type changeLogServer struct {
	*net.TCPListener
	t *testing.T
}

func newChangeLogServer(t *testing.T) changeLogServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return changeLogServer{l.(*net.TCPListener), t}
}

func (s changeLogServer) addrPort() netip.AddrPort { return s.Addr().(*net.TCPAddr).AddrPort() }

// accept takes the next connection, checks the number that it asks from and sends bytes.
func (s changeLogServer) accept(from uint64, bytes []byte) {
	s.t.Helper()
	if err := s.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		s.t.Fatal(err)
	}
	conn, err := s.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	var asked [8]byte
	if _, err := io.ReadFull(conn, asked[:]); err != nil || binary.BigEndian.Uint64(asked[:]) != from {
		s.t.Fatalf("asked from %v, %v; want %d", asked, err, from)
	}
	if _, err := conn.Write(bytes); err != nil {
		s.t.Fatal(err)
	}
}

// startLog runs a log to the end of the test.
func startLog(t *testing.T, log *Watcher) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { log.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
}

// expectEvents awaits events with these numbers, in order.
func expectEvents(t *testing.T, told <-chan platformconfig.WatchEvent, seqs ...uint64) {
	t.Helper()
	for _, seq := range seqs {
		select {
		case ev := <-told:
			if ev.Seq != seq {
				t.Fatalf("event %d told, want %d", ev.Seq, seq)
			}
		case <-time.After(testTimeout):
			t.Fatalf("event %d was not told", seq)
		}
	}
}

// Guards against a drain that is missed because it began while discovery was down or soon
// after its return: connections are refused three times, then the log is asked from the last
// number, and the server that drains is barred.
func TestDrainAfterDiscoveryWasDown(t *testing.T) {
	server, closed := newChangeLogServer(t), newChangeLogServer(t)
	closed.Close()
	told := make(chan platformconfig.WatchEvent, 16)
	log := newTestWatcher(server.addrPort(), func(ev platformconfig.WatchEvent) { told <- ev })
	dial, dials, refused := log.dial, 0, make(chan error, 3)
	log.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if dials++; dials < 2 || dials > 4 {
			return dial(ctx, to)
		}
		conn, err := dial(ctx, closed.addrPort())
		refused <- err
		return conn, err
	}
	startLog(t, log)
	server.accept(1, append(encodeFrame(2, 2, encodeRecord(7, 0)...), 0, 0, 0, 0)) // and a broken frame, which ends it
	expectEvents(t, told, 1, 2)
	for range cap(refused) {
		if err := <-refused; err == nil {
			t.Fatal("connected to nothing")
		}
	}
	server.accept(2, bytes.Join([][]byte{encodeFrame(3, 2, encodeRecord(8, 0)...), encodeFrame(4, 2, encodeRecord(7, 1)...)}, nil))
	expectEvents(t, told, 3, 4)
	if g := log.Guard(); !g.Excludes(7) || g.Excludes(8) {
		t.Errorf("barred: the one that drains %v, the new one %v", g.Excludes(7), g.Excludes(8))
	}
}

// endlessConn is a connection that a read deadline does not end, but SetDeadline does.
type endlessConn struct{ net.Conn }

func (endlessConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a log that waits for its old connection to end before it follows the one
// that a new configuration names: the old one is open, silent, and never ends by itself.
func TestReloadCutsASilentConnection(t *testing.T) {
	first, second := newChangeLogServer(t), newChangeLogServer(t)
	told := make(chan platformconfig.WatchEvent, 16)
	log := newTestWatcher(first.addrPort(), func(ev platformconfig.WatchEvent) { told <- ev })
	dial := log.dial
	log.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, to)
		if err == nil && to == first.addrPort() {
			conn = endlessConn{conn}
		}
		return conn, err
	}
	next := *log.config
	next.Discovery = second.addrPort()
	startLog(t, log)
	first.accept(1, encodeFrame(2, 2, encodeRecord(7, 0)...))
	expectEvents(t, told, 1, 2)
	log.Reload(&next)
	second.accept(2, encodeFrame(3, 2, encodeRecord(7, 1)...))
	expectEvents(t, told, 3)
	if !log.Guard().Excludes(7) {
		t.Error("the server that drains is not barred")
	}
}

// slowConn brings one byte with each read.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(1, len(p))]) }

// Guards against a list that comes in pieces being read as a broken or shorter one, and
// against waiting for the rest of one that stops half way: it is asked for anew.
func TestListInPieces(t *testing.T) {
	server := newChangeLogServer(t)
	told := make(chan platformconfig.WatchEvent, 16)
	log := newTestWatcher(server.addrPort(), func(ev platformconfig.WatchEvent) { told <- ev })
	dial := log.dial
	log.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, to)
		return slowConn{conn}, err
	}
	startLog(t, log)
	list := encodeFrame(3, 1, append(encodeRecord(7, 1), encodeRecord(8, 0)...)...)
	server.accept(1, append(encodeFrame(2, 2, encodeRecord(7, 0)...), list[:len(list)/2]...))
	expectEvents(t, told, 1, 2)
	server.accept(2, append(list, encodeFrame(4, 2, encodeRecord(8, 1)...)...))
	expectEvents(t, told, 3, 4)
	if all, barred := log.ServerCounts(); all != 2 || barred != 2 {
		t.Errorf("%d listed, %d barred", all, barred)
	}
}

// Guards against a router that is never ready because discovery does not answer: what the
// configuration knows is told before any connection, and Caught is closed without a word.
func TestReadyWithoutDiscovery(t *testing.T) {
	told := make(chan platformconfig.WatchEvent, 16)
	log := newTestWatcher(netip.AddrPort{}, func(ev platformconfig.WatchEvent) { told <- ev })
	toldAtDial := make(chan int, 1)
	log.dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		select {
		case toldAtDial <- len(told):
		default: // a later connection
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	startLog(t, log)
	if n := <-toldAtDial; n != 1 {
		t.Errorf("%d events told before the first connection, want the one that is known", n)
	}
	select {
	case <-log.Synced():
	case <-time.After(testTimeout):
		t.Fatal("it waits for a log that says nothing")
	}
	expectEvents(t, told, 1)
}

// Guards against an attempt that is decided after a drain was told and written by the guard
// of before: whoever is told of an event finds the guard that has it.
func TestGuardIsPublishedBeforeItIsTold(t *testing.T) {
	server := newChangeLogServer(t)
	told, barred := make(chan platformconfig.WatchEvent, 16), make(chan bool, 16)
	var log *Watcher
	log = newTestWatcher(server.addrPort(), func(ev platformconfig.WatchEvent) {
		barred <- log.Guard().Excludes(7)
		told <- ev
	})
	startLog(t, log)
	server.accept(1, bytes.Join([][]byte{encodeFrame(2, 2, encodeRecord(7, 0)...), encodeFrame(3, 2, encodeRecord(7, 1)...), encodeFrame(4, 2, encodeRecord(7, 0)...)}, nil))
	expectEvents(t, told, 1, 2, 3, 4)
	for i, want := range []bool{true, false, true, false} {
		if got := <-barred; got != want {
			t.Errorf("event %d: barred %v when it was told, want %v", i+1, got, want)
		}
	}
	if err := log.SetDisabled(t.Context(), routing.ServerID(7), true); err != nil || !<-barred {
		t.Errorf("taken out by staff: %v, or not barred when it was told", err)
	}
}
