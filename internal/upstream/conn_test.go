package upstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"garnetline/internal/textconn"
	"garnetline/routing"
)

// A machine that vanished leaves its connection open and silent. What follows
// must not be written there, or it looks silent when it is back.
func TestUnresponsiveConnectionIsRetired(t *testing.T) {
	m := newHarness(t)
	a := m.send("a")
	m.finishDial()
	m.clock.Advance(800)
	m.cancel(a)
	if !m.conns[0].isClosed() {
		t.Error("the silent connection is still open")
	}
	m.send("b")
	m.finishDial()
	if len(m.conns) != 2 || !strings.Contains(m.conns[1].written.String(), "$1\r\nb\r\n") {
		t.Errorf("%d connections", len(m.conns))
	}
}

// A refused connection proves that nothing ran; a reset does not.
func TestConnectionRefusedAndReset(t *testing.T) {
	m := newHarness(t)
	m.refuseDials = true
	a := m.send("a")
	m.finishDial()
	m.refuseDials = false
	b := m.send("b")
	m.finishDial()
	m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], err: io.EOF})
	if m.completions[a][0] != routing.ConnectFailed || m.completions[b][0] != routing.ConnectionLost {
		t.Errorf("refused: %v, reset: %v", m.completions[a], m.completions[b])
	}
}

// A server that takes no more connections is left alone with that for a while: what
// follows goes over the one that there is, and nothing ends for it.
func TestNoDialPerRequestAtConnectionLimit(t *testing.T) {
	m := newHarness(t)
	tries := 0
	ask := func(i int) {
		m.send(fmt.Sprint(i))
		if m.upstream.dialing {
			tries++
		}
		m.refuseDials = len(m.conns) > 0
		m.finishDial()
		m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: fmt.Sprint(i), status: "DONE", fields: "-"}})
	}
	m.send("first")
	m.finishDial()
	for i := range 50 {
		ask(i)
		m.clock.Advance(10)
	}
	if tries != 1 || len(m.conns) != 1 {
		t.Errorf("%d tries for a further connection within 500 ms, %d connections; want 1 and 1", tries, len(m.conns))
	}
	m.clock.Advance(growBackoff)
	if ask(50); tries != 2 {
		t.Errorf("%d tries after a rest, want one more", tries)
	}
	for i, a := range m.attempts[1:] {
		if len(m.completions[a]) != 1 || m.completions[a][0] != routing.Served {
			t.Errorf("request %d ended as %v", i, m.completions[a])
		}
	}
}

// What is open with a server lies on several connections, so that a spoilt
// answer on one takes little along. (The symptom: it took all.)
func TestMalformedReplyClosesOneConnection(t *testing.T) {
	m := newHarness(t)
	for i := range 6 {
		m.send(fmt.Sprint(i))
		m.finishDial()
	}
	if len(m.upstream.connections) < 2 {
		t.Fatal("all is on one connection")
	}
	m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], err: errMalformedReply})
	if n := len(m.completions); n == 0 || n > 2 {
		t.Errorf("%d of 6 attempts ended with one connection", n)
	}
	for _, e := range m.completions {
		if e[0] != routing.ConnectionLost {
			t.Errorf("ended as %v", e)
		}
	}
}

// stallingConn is a connection that brings some bytes and then nothing more.
type stallingConn struct {
	byteSource
	deadline time.Time
}

func (h *stallingConn) SetReadDeadline(t time.Time) error {
	h.deadline = t
	return nil
}

func (h *stallingConn) Read(p []byte) (int, error) {
	if n, err := h.reader.Read(p); err == nil {
		return n, nil
	}
	if h.deadline.IsZero() {
		return 0, errors.New("waits for ever")
	}
	return 0, os.ErrDeadlineExceeded
}

// An answer that has begun has a time to end; one that has not begun has none.
func TestTruncatedReplyTimesOut(t *testing.T) {
	whole := "*4\r\n$1\r\na\r\n$4\r\nLACK\r\n$1\r\n-\r\n$0\r\n\r\n"
	for _, c := range []struct {
		text string
		want string
	}{{whole, "waits for ever"}, {whole + whole[:20], os.ErrDeadlineExceeded.Error()}} {
		l := &connection{text: textconn.New(&stallingConn{byteSource: byteSource{reader: strings.NewReader(c.text)}})}
		if r, err := l.nextReply(0); err != nil || r.status != "LACK" {
			t.Fatalf("%+v, %v", r, err)
		}
		if _, err := l.nextReply(0); err == nil || err.Error() != c.want {
			t.Errorf("after %q: %v, want %s", c.text, err, c.want)
		}
	}
}

// Clients that leave soon after they asked say nothing of the server: its
// connections stay in use. (The symptom: all eight were set aside, each for one
// such client, and what came next was refused as if the server were full.)
func TestEarlyCancelsKeepConnections(t *testing.T) {
	m := newHarness(t)
	for i := range 40 {
		a := m.send(fmt.Sprintf("stay%d", i))
		b := m.send(fmt.Sprintf("leave%d", i))
		m.finishDial()
		m.clock.Advance(20)
		m.cancel(b)
		if i > 4 {
			m.cancel(m.attempts[2*(i-5)])
		}
		for _, l := range m.upstream.connections {
			if l.retired {
				t.Fatalf("a connection was set aside after %d", i)
			}
		}
		if len(m.completions[a]) > 0 {
			t.Fatalf("attempt %d ended as %v", i, m.completions[a])
		}
	}
}

// What is given up to be sent again, on a connection that has said nothing
// since, is given up by closing that: only then can no second copy be out. On
// one that has answered others the cancel does.
func TestRetryClosesUnresponsiveConnection(t *testing.T) {
	for _, answered := range []bool{false, true} {
		m := newHarness(t)
		a, b := m.send("a"), m.send("b")
		m.finishDial()
		m.clock.Advance(100)
		if answered {
			m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: "b", status: "LACK", fields: "-"}})
		}
		a.MayRetry = true
		m.cancel(a)
		if m.conns[0].isClosed() == answered || len(m.completions[a]) != 1 || m.completions[a][0] != routing.Canceled || len(m.completions[b]) != 1 {
			t.Errorf("answered %v: closed %v, ends %v and %v", answered, m.conns[0].isClosed(), m.completions[a], m.completions[b])
		}
	}
}

// Guards against a refusal that comes twice: the second one is not taken for the end of the
// attempt that followed, while that runs on and another one is sent.
func TestDuplicateReply(t *testing.T) {
	for effect, want := range map[routing.Idempotency]routing.Result{routing.Idempotent: routing.Rejected, routing.IdempotentWithKey: routing.ServerError, routing.NonIdempotent: routing.ServerError} {
		m := newHarness(t)
		say := func() {
			m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: "a", status: "WAIT", fields: "-"}})
		}
		m.send("a")
		m.finishDial()
		say()
		m.clock.Advance(5)
		again := m.send("a")
		again.Class = &routing.Class{Idempotency: effect}
		say()
		if got := m.completions[again]; len(got) != 1 || got[0] != want {
			t.Errorf("effect %v: ended as %v, want %v", effect, got, want)
		}
		if got := m.conns[0].written.String(); !strings.HasSuffix(got, string(appendCancelCommand(nil, "a"))) {
			t.Errorf("effect %v: it was not given up: %q", effect, got)
		}
		m.send("a")
		m.finishDial()
		if len(m.conns) != 2 || !strings.Contains(m.conns[1].written.String(), "$1\r\na\r\n") {
			t.Errorf("effect %v: the third was sent where a crossing answer may come", effect)
		}
	}
	// Long after, it is an answer like any other.
	m := newHarness(t)
	for range 2 {
		m.send("a")
		m.finishDial()
		m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: "a", status: "WAIT", fields: "-"}})
		m.clock.Advance(duplicateReplyWindow)
	}
	if strings.Contains(m.conns[0].written.String(), "cancel") {
		t.Error("a second refusal was doubted for no reason")
	}
	if m.upstream.closeIdle(); len(m.upstream.connections[0].unservedAt) > 0 {
		t.Error("what was answered is kept for ever")
	}
}
