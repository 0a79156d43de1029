package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// fakeConn is a connection that keeps what is written and never brings anything:
// answers are handed to the actor directly.
type fakeConn struct {
	net.Conn
	written    bytes.Buffer
	failWrites bool // the next write breaks
	closed     chan struct{}
	// replies counts the answers handed over for an id.
	replies map[string]int
}

func (w *fakeConn) Read([]byte) (int, error) {
	<-w.closed
	return 0, io.EOF
}

func (w *fakeConn) Write(p []byte) (int, error) {
	if w.failWrites {
		return 0, errors.New("reset")
	}
	return w.written.Write(p)
}

func (w *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (w *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (w *fakeConn) Close() error {
	select {
	case <-w.closed:
	default:
		close(w.closed)
	}
	return nil
}

func (w *fakeConn) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// harness drives one peer's actor by hand and checks what it writes and reports.
type harness struct {
	t           *testing.T
	upstream    *Upstream
	clock       *clock.Manual
	guard       *routing.Guard
	conns       []*fakeConn
	dials       chan *fakeConn // what a dial ends with; nil: refused
	refuseDials bool
	attempts    []*dispatch.Attempt
	completions map[*dispatch.Attempt][]routing.Result
	canceled    map[*dispatch.Attempt]bool
}

func newHarness(t *testing.T) *harness {
	m := &harness{t: t, dials: make(chan *fakeConn), clock: clock.NewManual(1.7e12), completions: map[*dispatch.Attempt][]routing.Result{}, canceled: map[*dispatch.Attempt]bool{},
		guard: &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 8: true}, PurgeRetention: 6 * time.Second}}
	m.upstream = newUpstream(Options{Clock: m.clock, Settings: func() platformconfig.Upstream {
		return platformconfig.Upstream{IdleTimeout: 15000, ConnectTimeout: 400, MaxStreams: 3}
	},
		Guard: func() *routing.Guard { return m.guard }, Metrics: metrics.New(), MaxConnections: func() int64 { return 5 }, openConnections: new(atomic.Int64),
		Complete: func(e dispatch.Completion) { m.completions[e.Attempt] = append(m.completions[e.Attempt], e.Result) },
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			if w := <-m.dials; w != nil {
				return w, nil
			}
			return nil, errors.New("refused")
		}}, 1, netip.MustParseAddrPort("127.0.0.1:1"))
	t.Cleanup(func() {
		close(m.upstream.stopped)
		close(m.dials)
		m.upstream.closeAllConnections()
	})
	return m
}

func (m *harness) send(txn string) *dispatch.Attempt {
	a := &dispatch.Attempt{Request: &dispatch.Request{TransactionID: txn, Object: 7, Group: 3}, Class: &routing.Class{Name: "part"},
		Decision: routing.SendAttempt{Server: 1, FillSource: 8}, ExpiresAt: m.clock.Now() + 2000}
	m.attempts = append(m.attempts, a)
	m.upstream.handleMessage(m.t.Context(), message{send: a})
	return a
}

// finishDial lets a dial that is under way end.
func (m *harness) finishDial() {
	for m.upstream.dialing {
		var w *fakeConn
		if !m.refuseDials {
			w = &fakeConn{closed: make(chan struct{}), replies: map[string]int{}}
			m.conns = append(m.conns, w)
		}
		m.dials <- w
		for up := false; !up; { // ends of readers may come before it
			e := <-m.upstream.connectionEvents
			up = e.connection == nil
			m.upstream.handleConnectionEvent(m.t.Context(), e)
		}
	}
}

func (m *harness) cancel(a *dispatch.Attempt) {
	if !m.canceled[a] {
		m.canceled[a] = true
		m.upstream.handleMessage(m.t.Context(), message{cancel: a})
	}
}

// commands splits what was written. An answered id may be used again.
func commands(t *testing.T, b []byte) (out [][]string) {
	for len(b) > 0 {
		var n int
		if _, err := fmt.Sscanf(string(b), "*%d\r\n", &n); err != nil {
			t.Fatalf("%q: %v", b, err)
		}
		b = b[bytes.IndexByte(b, '\n')+1:]
		var cmd []string
		for range n {
			var l int
			if _, err := fmt.Sscanf(string(b), "$%d\r\n", &l); err != nil {
				t.Fatalf("%q: %v", b, err)
			}
			b = b[bytes.IndexByte(b, '\n')+1:]
			cmd = append(cmd, string(b[:l]))
			b = b[l+2:]
		}
		out = append(out, cmd)
	}
	return out
}

// byteSource is a connection that brings fixed bytes.
type byteSource struct {
	net.Conn
	reader io.Reader
}

func (s byteSource) Read(p []byte) (int, error) { return s.reader.Read(p) }

// disconnectClient says that the client of an attempt's request has gone, as its front does.
func disconnectClient(t *testing.T, a *dispatch.Attempt) {
	t.Helper()
	c, err := dispatch.New(clock.NewManual(0), routing.Settings{Zones: 1, Kinds: 1, ParentKind: -1, OriginKind: -1, MaxAttempts: 1,
		Classes: []routing.Class{{Deadline: 1}}}, 1, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	c.Disconnect(a.Request)
}
