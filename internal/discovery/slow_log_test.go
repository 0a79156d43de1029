package discovery

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"garnetline/internal/platformconfig"
)

// byteInterval is the time between two bytes of a change log that sends byte by byte.
const byteInterval = 50 * time.Millisecond

// slowChangeLog is a change log on real connections, which sends heartbeats and one drain of server 7.
type slowChangeLog struct {
	answerAfter time.Duration  // until the first frame of a connection
	silent      atomic.Bool    // while it is set, no connection gets anything
	byByte      bool           // each frame is sent byte by byte
	drained     chan struct{}  // closed by drain: event 2 exists from then on
	requested   chan time.Time // gets the time of each request
}

func startSlowChangeLog(t *testing.T, answerAfter time.Duration) (*slowChangeLog, fakeChangeLog) {
	t.Helper()
	server := newFakeChangeLog(t)
	started := &slowChangeLog{answerAfter: answerAfter, drained: make(chan struct{}), requested: make(chan time.Time, 100)}
	return started, server
}

// serve answers all connections until the listener is closed.
func (s *slowChangeLog) serve(t *testing.T, listener net.Listener) {
	t.Helper()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go s.answer(conn)
		}
	}()
}

// answer answers one connection.
func (s *slowChangeLog) answer(conn net.Conn) {
	var request [8]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	s.requested <- time.Now()
	seq, drained := binary.BigEndian.Uint64(request[:]), s.drained
	time.Sleep(s.answerAfter)
	for {
		message := encodeFrame(seq, 0)
		select {
		case <-s.drained:
			drained = nil
			if seq < 2 {
				seq, message = 2, encodeChange(2, 7, stateDraining)
			}
		default:
		}
		if s.silent.Load() {
			return // the connection stays open
		}
		if s.write(conn, message) != nil {
			return
		}
		select {
		case <-drained:
		case <-time.After(time.Second):
		}
	}
}

func (s *slowChangeLog) write(conn net.Conn, message []byte) error {
	if !s.byByte {
		_, err := conn.Write(message)
		return err
	}
	for i := range message {
		if _, err := conn.Write(message[i : i+1]); err != nil {
			return err
		}
		time.Sleep(byteInterval)
	}
	return nil
}

// drain makes the change log send the drain, and checks that the watcher receives it in time.
func (s *slowChangeLog) drain(t *testing.T, events <-chan platformconfig.WatchEvent) {
	t.Helper()
	start := time.Now()
	close(s.drained)
	expectEvents(t, events, 2)
	if took := time.Since(start); took > followDeadline*time.Millisecond {
		t.Errorf("got the drain after %v, want at most %v ms", took, followDeadline)
	}
}

// TestSlowChangeLogIsHeard guards against drains that stay unknown because the change log answers each new
// connection late: at the start, after a break, and after an open connection has fallen silent.
func TestSlowChangeLogIsHeard(t *testing.T) {
	for name, answerAfter := range map[string]time.Duration{"2 s": 2 * time.Second, "4 s": 4 * time.Second, "6 s": 6 * time.Second} {
		t.Run("at the start, "+name, func(t *testing.T) {
			t.Parallel()
			log, server := startSlowChangeLog(t, answerAfter)
			log.serve(t, server)
			watcher, events := newTestWatcher(server.addr())
			startWatcher(t, watcher)
			expectEvents(t, events, 1)
			log.drain(t, events)
		})
		t.Run("after a break, "+name, func(t *testing.T) {
			t.Parallel()
			log, server := startSlowChangeLog(t, answerAfter)
			watcher, events := newTestWatcher(server.addr())
			startWatcher(t, watcher)
			server.acceptAndClose(1, encodeFrame(1, 0))
			log.serve(t, server)
			expectEvents(t, events, 1)
			log.drain(t, events)
		})
		t.Run("after silence, "+name, func(t *testing.T) {
			t.Parallel()
			log, server := startSlowChangeLog(t, answerAfter)
			watcher, events := newTestWatcher(server.addr())
			startWatcher(t, watcher)
			server.accept(1, encodeFrame(1, 0)) // stays open, and brings nothing more
			log.serve(t, server)
			expectEvents(t, events, 1)
			log.drain(t, events)
		})
	}
}

// TestFrameOfSlowBytesIsRead guards against an event that is never received because its frame arrives a byte
// at a time, and takes longer than a whole frame may.
func TestFrameOfSlowBytesIsRead(t *testing.T) {
	t.Parallel()
	log, server := startSlowChangeLog(t, 0)
	log.byByte = true
	log.serve(t, server)
	watcher, events := newTestWatcher(server.addr())
	startWatcher(t, watcher)
	expectEvents(t, events, 1)
	log.drain(t, events)
}

// TestSilentChangeLogIsAskedAsBefore checks the requests that a change log gets while it accepts connections
// and sends nothing. Once it sends again, the watcher hears it on a connection that it has kept or opens soon.
func TestSilentChangeLogIsAskedAsBefore(t *testing.T) {
	t.Parallel()
	log, server := startSlowChangeLog(t, 0)
	log.silent.Store(true)
	log.serve(t, server)
	watcher, events := newTestWatcher(server.addr())
	startWatcher(t, watcher)
	expectEvents(t, events, 1)
	const requests = 4
	first := <-log.requested
	for number := 1; number < requests; number++ {
		if after, least := (<-log.requested).Sub(first), time.Duration(number)*silenceTimeout*time.Millisecond; after < least {
			t.Errorf("got request %d after %v, want at least %v", number+1, after, least)
		}
	}
	log.silent.Store(false)
	recovered := time.Now()
	close(log.drained)
	expectEvents(t, events, 2)
	if took, most := time.Since(recovered), (silenceTimeout+maxBackoff+1000)*time.Millisecond; took > most {
		t.Errorf("got the drain %v after the change log has sent again, want at most %v", took, most)
	}
}

// TestSlowDialIsAwaited guards against a change log that is never heard because each connection to it is given
// up before it is established.
func TestSlowDialIsAwaited(t *testing.T) {
	t.Parallel()
	const dialTime = 2 * time.Second
	log, server := startSlowChangeLog(t, 0)
	log.serve(t, server)
	watcher, events := newTestWatcher(server.addr())
	dial := watcher.dial
	watcher.dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		select {
		case <-time.After(dialTime):
			return dial(ctx, to)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	startWatcher(t, watcher)
	expectEvents(t, events, 1)
	log.drain(t, events)
}
