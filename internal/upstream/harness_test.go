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

// fakeConn is a connection that records the written bytes. Its reads block until the connection is
// closed, because the tests pass replies to the actor directly.
type fakeConn struct {
	net.Conn
	written    bytes.Buffer
	failWrites bool
	closed     chan struct{}
	replies    map[string]int // number of replies passed to the actor, by id
}

func newFakeConn() *fakeConn {
	return &fakeConn{closed: make(chan struct{}), replies: map[string]int{}}
}

func (c *fakeConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *fakeConn) Write(p []byte) (int, error) {
	if c.failWrites {
		return 0, errors.New("reset")
	}
	return c.written.Write(p)
}

func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }

func (c *fakeConn) Close() error {
	if !c.isClosed() {
		close(c.closed)
	}
	return nil
}

func (c *fakeConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

const (
	harnessMaxStreams     = 3
	harnessMaxConnections = 5
	harnessTimeout        = 2000 // ms until an attempt expires
)

// harness calls the methods of one Upstream directly; no goroutine executes the method run. It
// records the commands that the Upstream writes and the attempts that the Upstream completes.
type harness struct {
	t           *testing.T
	upstream    *Upstream
	clock       *clock.Manual
	guard       *routing.Guard
	conns       []*fakeConn
	dials       chan *fakeConn // result of each dial; nil means refused
	refuseDials bool
	attempts    []*dispatch.Attempt
	completions map[*dispatch.Attempt][]routing.Result
	canceled    map[*dispatch.Attempt]bool
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	harness := &harness{
		t:           t,
		clock:       clock.NewManual(1.7e12),
		guard:       &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 8: true}, PurgeRetention: 6 * time.Second},
		dials:       make(chan *fakeConn),
		completions: map[*dispatch.Attempt][]routing.Result{},
		canceled:    map[*dispatch.Attempt]bool{},
	}
	harness.upstream = newUpstream(Options{
		Clock: harness.clock,
		Settings: func() platformconfig.Upstream {
			return platformconfig.Upstream{IdleTimeout: 15000, ConnectTimeout: 400, MaxStreams: harnessMaxStreams}
		},
		Guard:           func() *routing.Guard { return harness.guard },
		Metrics:         metrics.New(),
		MaxConnections:  func() int64 { return harnessMaxConnections },
		Complete:        harness.recordCompletion,
		Dial:            harness.dial,
		openConnections: new(atomic.Int64),
	}, platformconfig.Endpoint{Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	t.Cleanup(func() {
		close(harness.upstream.stopped)
		close(harness.dials)
		harness.upstream.closeAllConnections()
	})
	return harness
}

func (h *harness) recordCompletion(completion dispatch.Completion) {
	h.completions[completion.Attempt] = append(h.completions[completion.Attempt], completion.Result)
}

func (h *harness) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	if conn := <-h.dials; conn != nil {
		return conn, nil
	}
	return nil, errors.New("refused")
}

// newAttempt returns an attempt that has not been sent.
func (h *harness) newAttempt(id string) *dispatch.Attempt {
	return &dispatch.Attempt{
		Request:   &dispatch.Request{TransactionID: id, Object: 7, PurgeGroup: 3},
		Class:     &routing.Class{Name: "part"},
		Decision:  routing.SendAttempt{Server: 1, FillSource: 8},
		ExpiresAt: h.clock.Now() + harnessTimeout,
	}
}

func (h *harness) send(id string) *dispatch.Attempt {
	h.t.Helper()
	attempt := h.newAttempt(id)
	h.sendAttempt(attempt)
	return attempt
}

func (h *harness) sendAttempt(attempt *dispatch.Attempt) {
	h.t.Helper()
	h.attempts = append(h.attempts, attempt)
	h.upstream.handleMessage(h.t.Context(), message{send: attempt})
}

func (h *harness) cancel(attempt *dispatch.Attempt) {
	h.t.Helper()
	if h.canceled[attempt] {
		return
	}
	h.canceled[attempt] = true
	h.upstream.handleMessage(h.t.Context(), message{cancel: attempt})
}

// finishDial waits until no dial is in progress. It also finishes the dials that start during the
// wait.
func (h *harness) finishDial() {
	h.t.Helper()
	for h.upstream.dialing {
		var conn *fakeConn
		if !h.refuseDials {
			conn = newFakeConn()
			h.conns = append(h.conns, conn)
		}
		h.dials <- conn
		for dialEnded := false; !dialEnded; { // readers may report the end of their connections before the dial ends
			event := <-h.upstream.connectionEvents
			dialEnded = event.connection == nil
			h.upstream.handleConnectionEvent(h.t.Context(), event)
		}
	}
}

// reply tells the actor that a reply has arrived on a connection.
func (h *harness) reply(conn *connection, id, status string) {
	h.t.Helper()
	h.upstream.handleConnectionEvent(h.t.Context(), connectionEvent{connection: conn, reply: reply{id: id, status: status, fields: noFields}})
}

// endConnection tells the actor that a connection has ended with the given error.
func (h *harness) endConnection(conn *connection, err error) {
	h.t.Helper()
	h.upstream.handleConnectionEvent(h.t.Context(), connectionEvent{connection: conn, err: err})
}

// wrote reports whether a command with the given id was written to the connection.
func (c *fakeConn) wrote(id string) bool {
	return bytes.Contains(c.written.Bytes(), appendBulk(nil, id))
}

// parseCommands splits the written bytes into commands. It splits each command into its bulk
// strings.
func parseCommands(t *testing.T, written []byte) (out [][]string) {
	t.Helper()
	for len(written) > 0 {
		var n int
		if _, err := fmt.Sscanf(string(written), "*%d\r\n", &n); err != nil {
			t.Fatalf("cannot parse the written bytes %q as a command: %v", written, err)
		}
		written = skipLine(written)
		var command []string
		for range n {
			var length int
			if _, err := fmt.Sscanf(string(written), "$%d\r\n", &length); err != nil {
				t.Fatalf("cannot parse the written bytes %q as a command: %v", written, err)
			}
			written = skipLine(written)
			command = append(command, string(written[:length]))
			written = written[length+len("\r\n"):]
		}
		out = append(out, command)
	}
	return out
}

// skipLine returns the text after its first line.
func skipLine(text []byte) []byte { return text[bytes.IndexByte(text, '\n')+1:] }

// byteSource is a connection whose reads return the bytes of a reader.
type byteSource struct {
	net.Conn
	reader io.Reader
}

func (s byteSource) Read(p []byte) (int, error) { return s.reader.Read(p) }

// disconnectClient marks the client of an attempt's request as disconnected. Like a frontend, it
// calls Dispatcher.Disconnect.
func disconnectClient(t *testing.T, attempt *dispatch.Attempt) {
	t.Helper()
	settings := routing.Settings{Zones: 1, Kinds: 1, ParentKind: -1, OriginKind: -1, MaxAttempts: 1, Classes: []routing.Class{{Deadline: 1}}}
	dispatcher, err := dispatch.New(clock.NewManual(0), settings, 1, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.Disconnect(attempt.Request)
}
