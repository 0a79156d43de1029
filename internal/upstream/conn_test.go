package upstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"garnetline/routing"
)

// Guards against a machine that vanished and looks silent when it is back: its connection
// stays open and silent, and what follows was written there.
func TestUnresponsiveConnectionIsRetired(t *testing.T) {
	actor := newHarness(t)
	a := actor.send("a")
	actor.finishDial()
	actor.clock.Advance(800)
	actor.cancel(a)
	if !actor.conns[0].isClosed() {
		t.Error("the unresponsive connection is still open")
	}
	actor.send("b")
	actor.finishDial()
	if len(actor.conns) != 2 || !actor.conns[1].wrote("b") {
		t.Errorf("%d connections", len(actor.conns))
	}
}

// A refused connection proves that nothing ran; a reset does not.
func TestConnectionRefusedAndReset(t *testing.T) {
	actor := newHarness(t)
	actor.refuseDials = true
	a := actor.send("a")
	actor.finishDial()
	actor.refuseDials = false
	b := actor.send("b")
	actor.finishDial()
	actor.endConnection(actor.upstream.connections[0], io.EOF)
	if actor.completions[a][0] != routing.ConnectFailed || actor.completions[b][0] != routing.ConnectionLost {
		t.Errorf("refused: %v, reset: %v", actor.completions[a], actor.completions[b])
	}
}

// A server that takes no more connections is not dialed for a while: what follows is sent
// over the one there is, and no request fails for it.
func TestNoDialPerRequestAtConnectionLimit(t *testing.T) {
	actor := newHarness(t)
	dials := 0
	request := func(i int) {
		actor.send(fmt.Sprint(i))
		if actor.upstream.dialing {
			dials++
		}
		actor.refuseDials = len(actor.conns) > 0
		actor.finishDial()
		actor.reply(actor.upstream.connections[0], fmt.Sprint(i), statusDone)
	}
	actor.send("first")
	actor.finishDial()
	for i := range 50 {
		request(i)
		actor.clock.Advance(10)
	}
	if dials != 1 || len(actor.conns) != 1 {
		t.Errorf("%d dials for a further connection within 500 ms, %d connections; want 1 and 1", dials, len(actor.conns))
	}
	actor.clock.Advance(growBackoff)
	if request(50); dials != 2 {
		t.Errorf("%d dials after the backoff, want one more", dials)
	}
	for i, attempt := range actor.attempts[1:] {
		if got := actor.completions[attempt]; len(got) != 1 || got[0] != routing.Served {
			t.Errorf("request %d completed as %v", i, got)
		}
	}
}

// Guards against one connection for all requests to a server: a malformed reply on it
// completed them all as lost.
func TestMalformedReplyClosesOneConnection(t *testing.T) {
	actor := newHarness(t)
	for i := range 6 {
		actor.send(fmt.Sprint(i))
		actor.finishDial()
	}
	if len(actor.upstream.connections) < 2 {
		t.Fatal("all is on one connection")
	}
	actor.endConnection(actor.upstream.connections[0], errMalformedReply)
	if n := len(actor.completions); n == 0 || n > 2 {
		t.Errorf("%d of 6 attempts completed with one connection", n)
	}
	for _, got := range actor.completions {
		if got[0] != routing.ConnectionLost {
			t.Errorf("completed as %v", got)
		}
	}
}

// errNoDeadline is what a stallingConn returns where a read would wait for ever.
var errNoDeadline = errors.New("waits for ever")

// stallingConn is a connection that brings some bytes and then nothing more.
type stallingConn struct {
	byteSource
	deadline time.Time
}

func (c *stallingConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *stallingConn) Read(p []byte) (int, error) {
	if n, err := c.reader.Read(p); err == nil {
		return n, nil
	}
	if c.deadline.IsZero() {
		return 0, errNoDeadline
	}
	return 0, os.ErrDeadlineExceeded
}

// A reply that has begun has a time to end; the wait for one that has not begun has none.
func TestTruncatedReplyTimesOut(t *testing.T) {
	complete := frame("a", statusLack, noFields, "")
	for _, test := range []struct {
		text string
		want error
	}{
		{complete, errNoDeadline},
		{complete + complete[:20], os.ErrDeadlineExceeded},
	} {
		conn := newConnection(&stallingConn{byteSource: byteSource{reader: strings.NewReader(test.text)}}, 0)
		if r, err := conn.nextReply(0); err != nil || r.status != statusLack {
			t.Fatalf("%+v, %v", r, err)
		}
		if _, err := conn.nextReply(0); err == nil || err.Error() != test.want.Error() {
			t.Errorf("after %q: %v, want %v", test.text, err, test.want)
		}
	}
}

// Guards against connections retired for clients that disconnect soon, which says nothing of
// the server: all eight were, and what came next was rejected as if the server were full.
func TestEarlyCancelsKeepConnections(t *testing.T) {
	actor := newHarness(t)
	for i := range 40 {
		stays := actor.send(fmt.Sprintf("stay%d", i))
		leaves := actor.send(fmt.Sprintf("leave%d", i))
		actor.finishDial()
		actor.clock.Advance(20)
		actor.cancel(leaves)
		if i > 4 {
			actor.cancel(actor.attempts[2*(i-5)])
		}
		for _, conn := range actor.upstream.connections {
			if conn.retired {
				t.Fatalf("a connection was retired after %d", i)
			}
		}
		if got := actor.completions[stays]; len(got) > 0 {
			t.Fatalf("attempt %d completed as %v", i, got)
		}
	}
}

// An attempt that is canceled for a retry, on a connection that has brought no reply since it
// was written, is canceled by closing that: only then can no second copy be in flight. On one
// that has brought others a cancel will do.
func TestRetryClosesUnresponsiveConnection(t *testing.T) {
	for _, replied := range []bool{false, true} {
		actor := newHarness(t)
		a, b := actor.send("a"), actor.send("b")
		actor.finishDial()
		actor.clock.Advance(100)
		if replied {
			actor.reply(actor.upstream.connections[0], "b", statusLack)
		}
		a.MayRetry = true
		actor.cancel(a)
		closed := actor.conns[0].isClosed()
		gotA, gotB := actor.completions[a], actor.completions[b]
		if closed == replied || len(gotA) != 1 || gotA[0] != routing.Canceled || len(gotB) != 1 {
			t.Errorf("replied %v: closed %v, completed as %v and %v", replied, closed, gotA, gotB)
		}
	}
}

// Guards against a rejection that comes twice: the second must not be taken for the end of
// the attempt that followed, while that runs on and another one is sent.
func TestDuplicateReply(t *testing.T) {
	for idempotency, want := range map[routing.Idempotency]routing.Result{
		routing.Idempotent:        routing.Rejected,
		routing.IdempotentWithKey: routing.ServerError,
		routing.NonIdempotent:     routing.ServerError,
	} {
		actor := newHarness(t)
		actor.send("a")
		actor.finishDial()
		actor.reply(actor.upstream.connections[0], "a", statusWait)
		actor.clock.Advance(5)
		retry := actor.send("a")
		retry.Class = &routing.Class{Idempotency: idempotency}
		actor.reply(actor.upstream.connections[0], "a", statusWait)
		if got := actor.completions[retry]; len(got) != 1 || got[0] != want {
			t.Errorf("%v: completed as %v, want %v", idempotency, got, want)
		}
		if got := actor.conns[0].written.String(); !strings.HasSuffix(got, string(appendCancelCommand(nil, "a"))) {
			t.Errorf("%v: it was not canceled: %q", idempotency, got)
		}
		actor.send("a")
		actor.finishDial()
		if len(actor.conns) != 2 || !actor.conns[1].wrote("a") {
			t.Errorf("%v: the third attempt was sent where a crossing reply may come", idempotency)
		}
	}
}

// Long after the first, a second rejection is a reply like any other, and the first is
// forgotten.
func TestDuplicateReplyWindow(t *testing.T) {
	actor := newHarness(t)
	for range 2 {
		actor.send("a")
		actor.finishDial()
		actor.reply(actor.upstream.connections[0], "a", statusWait)
		actor.clock.Advance(duplicateReplyWindow)
	}
	if strings.Contains(actor.conns[0].written.String(), "cancel") {
		t.Error("a rejection was taken for a duplicate for no reason")
	}
	actor.upstream.closeIdle()
	if remembered := len(actor.upstream.connections[0].unservedAt); remembered > 0 {
		t.Errorf("%d replies are remembered for ever", remembered)
	}
}
