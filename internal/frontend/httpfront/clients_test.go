package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
)

// A client that has gone is told to the core, so that its attempt is given up.
func TestClientDisconnect(t *testing.T) {
	f := &fakeDispatcher{hold: true}
	s := newServer(f)
	conn := dial(t, s)
	if _, err := io.WriteString(conn, getRequest(objectTarget)); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if r := <-f.disconnected; r != f.request(0) {
		t.Error("another request was left")
	}
}

// Guards against a watcher that stops at the first byte of what comes next: a client that
// wrote more and then left was not missed, and its request was sent on.
func TestDisconnectAfterReadAhead(t *testing.T) {
	for name, more := range map[string]string{"a byte": "G", "a request": getRequest(objectTarget), "requests": strings.Repeat(getRequest(objectTarget), 100),
		"more than is kept": strings.Repeat("x", 3*maxReadAheadBytes)} {
		t.Run(name, func(t *testing.T) {
			f := &fakeDispatcher{hold: true}
			s := newServer(f)
			conn := dial(t, s)
			if _, err := io.WriteString(conn, getRequest(objectTarget)); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "the request is taken", func() bool { return f.count() == 1 })
			if _, err := io.WriteString(conn, more); err != nil {
				t.Fatal(err)
			}
			conn.Close()
			select {
			case r := <-f.disconnected:
				if r != f.request(0) {
					t.Error("another request was left")
				}
			case <-time.After(20 * time.Second):
				t.Error("that the client left was not told")
			}
			waitFor(t, "its connection is given back", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.conns) == 0 })
			if f.count() != 1 {
				t.Errorf("%d requests were taken", f.count())
			}
		})
	}
}

// What waits behind an open request is answered in turn, with the time that its client had
// when it came; one that sends without end has its answer, as the last on its connection.
func TestPipelinedRequests(t *testing.T) {
	f := &fakeDispatcher{hold: true}
	s := newServer(f)
	clk := s.Clock.(*clock.Manual)
	conn := dial(t, s)
	in := bufio.NewReader(conn)
	two := strings.Replace(getRequest(objectTarget), "2d41", "2d42", 1)
	io.WriteString(conn, getRequest(objectTarget)+two) // in one piece: the second is read with the first
	waitFor(t, "the request is taken", func() bool { return f.count() == 1 })
	clk.Advance(700)
	f.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("1")})
	readResponse(t, in, "1")
	waitFor(t, "the next is taken", func() bool { return f.count() == 2 })
	if q := f.request(1); q.Deadline != 1.7e12+1500-responseMarginMs {
		t.Errorf("the second has until %v, as if it had come later than it did", q.Deadline-1.7e12)
	}
	io.WriteString(conn, strings.Repeat("x", 2*maxReadAheadBytes))
	waitFor(t, "more than is kept has come", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			return c.text.Discarded()
		}
		return false
	})
	f.request(1).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("2")})
	if r := readResponse(t, in, "2"); !r.Close {
		t.Error("a connection that cannot be read on is kept")
	}
}

// A client that gives up and comes again at once is served, even where its first connection
// has to be given back before; the request that it left is told as left.
func TestClientReconnectsAtOnce(t *testing.T) {
	f := &fakeDispatcher{hold: true}
	s := newServer(f)
	s.MaxConnections = func() int { return 1 }
	conn := dial(t, s)
	addr := conn.RemoteAddr().String()
	for i := range 5 {
		io.WriteString(conn, putRequest(1)+"a")
		waitFor(t, "it is taken", func() bool { return f.count() == i+1 })
		conn.(*net.TCPConn).SetLinger(0) // it resets
		conn.Close()
		conn = dialAt(t, addr)
		waitFor(t, "it is left", func() bool { return len(f.disconnected) > 0 })
		if <-f.disconnected != f.request(i) {
			t.Fatal("another request was left")
		}
	}
	f.setResponse(dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}, false)
	io.WriteString(conn, putRequest(1)+"a")
	readResponse(t, bufio.NewReader(conn), "x")
	conn.Close()
}

// Silence, trickles and floods end within 3 s of the connection's start, or 6 s
// where too much was announced, however the bytes are spread; and what was
// begun is answered. (The symptom: each had 5 s or more, anew for each request.)
func TestMisbehavingClientsAreClosedInTime(t *testing.T) {
	for _, c := range []struct {
		name, text, more string
		every, within    float64
		status           int
	}{
		{"silence", "", "", 0, 3000, 0},
		{"half a line", "GET " + objectTarget, "", 0, 3000, 400},
		{"half a head", "GET " + objectTarget + " HTTP/1.1\r\n", "", 0, 3000, 408},
		{"a trickled line", getRequest(objectTarget), "", 300, 3000, 400},
		{"a trickled head", strings.TrimSuffix(getRequest(objectTarget, "X-A: "), "\r\n\r\n"), "a", 15, 3000, 408},
		{"a trickled body", putRequest(40_000), "a", 10, 3000, 408},
		{"a body that stops", putRequest(40_000) + "abc", "", 0, 3000, 408},
		{"chunks that never end", strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1), strings.Repeat("1\r\na\r\n", 800), 0, 6000, 413},
		{"a trickle after the refusal", "x\r\n", "a", 500, 3000, 400},
		{"a flood after the refusal", "x\r\n" + strings.Repeat("a", 5000), strings.Repeat("a", 5000), 0, 3000, 400},
		{"a huge body", putRequest(60_000_000) + "a", strings.Repeat("a", 5000), 0, 6000, 413},
	} {
		clk := clock.NewManual(1.7e12)
		s := newServer(&fakeDispatcher{})
		s.Clock = clk
		nc := &slowClient{clock: clk, text: c.text, repeat: c.more, byteInterval: c.every}
		s.newConn(nc).serve()
		if took := clk.Now() - 1.7e12; took > c.within {
			t.Errorf("%s: closed after %.0f ms", c.name, took)
		}
		status := 0
		if r, err := http.ReadResponse(bufio.NewReader(&nc.out), nil); err == nil {
			status = r.StatusCode
		}
		if status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, status, c.status)
		}
	}
}

// Connections that say nothing, or that asked once and stay, make room for one
// that asks; one that is being answered does not.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}}
	s := newServer(f)
	clk := clock.NewManual(1.7e12)
	s.Clock = clk
	first := dial(t, s)
	ask := func(c net.Conn) error {
		if _, err := io.WriteString(c, getRequest(objectTarget)); err != nil {
			return err
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 200 {
			return fmt.Errorf("%v %w", r, err)
		}
		_, err = io.Copy(io.Discard, r.Body)
		return err
	}
	more := func() net.Conn {
		c, err := net.Dial("tcp", first.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	f.setResponse(f.response, true)
	io.WriteString(first, getRequest(objectTarget))
	for f.count() < 1 {
		time.Sleep(time.Millisecond) // until it is taken
	}
	f.setResponse(f.response, false)
	for i := range 40 { // of these some ask and stay, some say nothing
		c := more()
		if i%2 == 0 {
			if err := ask(c); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
		}
		clk.Advance(newConnGraceMs)
	}
	f.request(0).Respond(f.response)
	if r, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || r.StatusCode != 200 {
		t.Errorf("the one that was being answered: %v %v", r, err)
	}
}

// Guards against an end of Serve when descriptors run out: clients that come later are
// served all the same.
func TestOutOfDescriptors(t *testing.T) {
	s := newServer(&fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}})
	times := 0
	addr := serveHooked(t, s, func(c net.Conn) (net.Conn, error) {
		if times++; times <= 3 {
			c.Close()
			return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
		}
		return c, nil
	})
	for range 3 {
		dialAt(t, addr)
	}
	conn := dialAt(t, addr)
	io.WriteString(conn, getRequest(objectTarget))
	readResponse(t, bufio.NewReader(conn), "x")
	if n := s.Metrics.Counter("accept_errors").Load(); n != 3 {
		t.Errorf("%d accept errors", n)
	}
	conn.Close()
}
