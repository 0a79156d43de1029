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

// TestUnresponsiveConnectionIsRetired checks that a cancel retires a connection without replies.
// The connection to a machine that vanished stays open and silent. If it stayed in use, the machine
// would seem unresponsive even after its return.
func TestUnresponsiveConnectionIsRetired(t *testing.T) {
	harness := newHarness(t)
	a := harness.send("a")
	harness.finishDial()
	harness.clock.Advance(800)
	harness.cancel(a)
	if !harness.conns[0].isClosed() {
		t.Error("the unresponsive connection is still open")
	}
	harness.send("b")
	harness.finishDial()
	if len(harness.conns) != 2 || !harness.conns[1].wrote("b") {
		t.Errorf("got %d connections, want 2 with the second attempt on the new one", len(harness.conns))
	}
}

// TestConnectionRefusedAndReset checks the results of attempts that lose their connection. A
// refused connection proves that the server executed nothing. A reset proves nothing.
func TestConnectionRefusedAndReset(t *testing.T) {
	harness := newHarness(t)
	harness.refuseDials = true
	a := harness.send("a")
	harness.finishDial()
	harness.refuseDials = false
	b := harness.send("b")
	harness.finishDial()
	harness.endConnection(harness.upstream.connections[0], io.EOF)
	if harness.completions[a][0] != routing.ConnectFailed || harness.completions[b][0] != routing.ConnectionLost {
		t.Errorf("refused connection: completed as %v, want ConnectFailed; ended connection: completed as %v, want ConnectionLost", harness.completions[a], harness.completions[b])
	}
}

// TestNoDialPerRequestAtConnectionLimit checks the pause after a server has refused an additional
// connection. During growBackoff, the server is not dialed again. The existing connection carries
// the requests, and none of them fails.
func TestNoDialPerRequestAtConnectionLimit(t *testing.T) {
	harness := newHarness(t)
	dials := 0
	request := func(i int) {
		harness.send(fmt.Sprint(i))
		if harness.upstream.dialing {
			dials++
		}
		harness.refuseDials = len(harness.conns) > 0
		harness.finishDial()
		harness.reply(harness.upstream.connections[0], fmt.Sprint(i), statusDone)
	}
	harness.send("first")
	harness.finishDial()
	for i := range 50 {
		request(i)
		harness.clock.Advance(10)
	}
	if dials != 1 || len(harness.conns) != 1 {
		t.Errorf("got %d dials for an additional connection within 500 ms and %d connections, want 1 and 1", dials, len(harness.conns))
	}
	harness.clock.Advance(growBackoff)
	if request(50); dials != 2 {
		t.Errorf("got %d dials after the backoff, want 2", dials)
	}
	for i, attempt := range harness.attempts[1:] {
		if got := harness.completions[attempt]; len(got) != 1 || got[0] != routing.Served {
			t.Errorf("request %d completed as %v, want once as Served", i, got)
		}
	}
}

// TestMalformedReplyClosesOneConnection checks that a malformed reply ends only the attempts on its
// own connection. If one connection carried all requests to a server, a malformed reply would end
// all of them.
func TestMalformedReplyClosesOneConnection(t *testing.T) {
	harness := newHarness(t)
	for i := range 6 {
		harness.send(fmt.Sprint(i))
		harness.finishDial()
	}
	if len(harness.upstream.connections) < 2 {
		t.Fatal("all attempts are on one connection, want at least two connections")
	}
	harness.endConnection(harness.upstream.connections[0], errMalformedReply)
	if n := len(harness.completions); n == 0 || n > 2 {
		t.Errorf("%d of 6 attempts completed when one connection was closed, want 1 or 2", n)
	}
	for _, got := range harness.completions {
		if got[0] != routing.ConnectionLost {
			t.Errorf("attempt completed as %v, want ConnectionLost", got)
		}
	}
}

// errNoDeadline is the error of a stallingConn whose read would block for ever.
var errNoDeadline = errors.New("read without a deadline would block for ever")

// stallingConn is a connection that returns the bytes of its reader. After these bytes, its reads
// block until the read deadline.
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

// TestTruncatedReplyTimesOut checks that the read of a reply has a time limit after its first byte.
// The wait for the first byte has no limit.
func TestTruncatedReplyTimesOut(t *testing.T) {
	complete := encodeReply("a", statusLack, noFields, "")
	for _, test := range []struct {
		text string
		want error
	}{
		{complete, errNoDeadline},
		{complete + complete[:20], os.ErrDeadlineExceeded},
	} {
		conn := newConnection(&stallingConn{byteSource: byteSource{reader: strings.NewReader(test.text)}}, 0)
		if r, err := conn.nextReply(0, nil); err != nil || r.status != statusLack {
			t.Fatalf("got reply %+v and error %v", r, err)
		}
		if _, err := conn.nextReply(0, nil); err == nil || err.Error() != test.want.Error() {
			t.Errorf("after %q: got error %v, want %v", test.text, err, test.want)
		}
	}
}

// TestEarlyCancelsKeepConnections checks that a cancel soon after the write does not retire the
// connection. An early disconnect of a client says nothing about the server. If such cancels
// retired connections, all eight connections to the server would soon be retired, and later
// requests would be rejected as if the server were full.
func TestEarlyCancelsKeepConnections(t *testing.T) {
	harness := newHarness(t)
	for i := range 40 {
		stays := harness.send(fmt.Sprintf("stay%d", i))
		leaves := harness.send(fmt.Sprintf("leave%d", i))
		harness.finishDial()
		harness.clock.Advance(20)
		harness.cancel(leaves)
		if i > 4 {
			harness.cancel(harness.attempts[2*(i-5)])
		}
		for _, conn := range harness.upstream.connections {
			if conn.retired {
				t.Fatalf("a connection was retired after early cancel %d", i)
			}
		}
		if got := harness.completions[stays]; len(got) > 0 {
			t.Fatalf("attempt stay%d completed as %v, want it in flight", i, got)
		}
	}
}

// TestRetryClosesUnresponsiveConnection checks the cancel of an attempt that a retry follows. If no
// reply has come on the connection since the attempt was written, the connection is closed. The
// attempt and its retry are then never in flight at the same time. If other replies have come, a
// cancel command is enough.
func TestRetryClosesUnresponsiveConnection(t *testing.T) {
	for _, replied := range []bool{false, true} {
		harness := newHarness(t)
		a, b := harness.send("a"), harness.send("b")
		harness.finishDial()
		harness.clock.Advance(100)
		if replied {
			harness.reply(harness.upstream.connections[0], "b", statusLack)
		}
		a.MayRetry = true
		harness.cancel(a)
		closed := harness.conns[0].isClosed()
		gotA, gotB := harness.completions[a], harness.completions[b]
		if closed == replied || len(gotA) != 1 || gotA[0] != routing.Canceled || len(gotB) != 1 {
			t.Errorf("with another reply %v: got connection closed %v, attempt a completed as %v and b as %v; want closed only without a reply, a completed as Canceled, b completed once", replied, closed, gotA, gotB)
		}
	}
}

// TestDuplicateReply checks the handling of a rejection that a server sends twice. The duplicate
// completes the next attempt of the request. A cancel command must then stop that attempt at the
// server, and a further attempt must use another connection. Otherwise, two attempts could run at
// the same time.
func TestDuplicateReply(t *testing.T) {
	for idempotency, want := range map[routing.Idempotency]routing.Result{
		routing.Idempotent:        routing.Rejected,
		routing.IdempotentWithKey: routing.ServerError,
		routing.NonIdempotent:     routing.ServerError,
	} {
		harness := newHarness(t)
		harness.send("a")
		harness.finishDial()
		harness.reply(harness.upstream.connections[0], "a", statusWait)
		harness.clock.Advance(5)
		retry := harness.send("a")
		retry.Class = &routing.Class{Idempotency: idempotency}
		harness.reply(harness.upstream.connections[0], "a", statusWait)
		if got := harness.completions[retry]; len(got) != 1 || got[0] != want {
			t.Errorf("%v: completed as %v, want %v", idempotency, got, want)
		}
		if got := harness.conns[0].written.String(); !strings.HasSuffix(got, string(appendCancelCommand(nil, "a"))) {
			t.Errorf("%v: wrote %q, want a cancel command for the retry at the end", idempotency, got)
		}
		harness.send("a")
		harness.finishDial()
		if len(harness.conns) != 2 || !harness.conns[1].wrote("a") {
			t.Errorf("%v: the third attempt was not sent on a new connection", idempotency)
		}
	}
}

// TestDuplicateReplyWindow checks that a rejection does not count as a duplicate if it comes more
// than duplicateReplyWindow after an earlier rejection. The record of the earlier rejection is
// dropped.
func TestDuplicateReplyWindow(t *testing.T) {
	harness := newHarness(t)
	for range 2 {
		harness.send("a")
		harness.finishDial()
		harness.reply(harness.upstream.connections[0], "a", statusWait)
		harness.clock.Advance(duplicateReplyWindow)
	}
	if strings.Contains(harness.conns[0].written.String(), "cancel") {
		t.Error("a rejection after the window was taken for a duplicate")
	}
	harness.upstream.closeIdle()
	if remembered := len(harness.upstream.connections[0].unservedAt); remembered > 0 {
		t.Errorf("%d replies are still recorded after the window, want 0", remembered)
	}
}
