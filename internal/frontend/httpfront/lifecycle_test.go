package httpfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// waitFor waits for a condition within a wide bound.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not seen in time: " + what)
		}
	}
}

// readResponse reads the next answer and wants it whole, with a body.
func readResponse(t *testing.T, in *bufio.Reader, body string) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(r.Body); err != nil || string(b) != body {
		t.Fatalf("%d bytes of %d: %v", len(b), len(body), err)
	}
	return r
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

// Guards against a listener that is closed on connections which wait to be accepted, while
// there is no room for one more: each has brought a request.
func TestBacklogServedAtShutdown(t *testing.T) {
	f := &fakeDispatcher{hold: true}
	s := newServer(f)
	s.MaxConnections = func() int { return 1 }
	conns := []net.Conn{dial(t, s)}
	io.WriteString(conns[0], getRequest(objectTarget))
	waitFor(t, "the request is taken", func() bool { return f.count() == 1 })
	for range 5 { // one is accepted and waits for room, the others are not
		c, err := net.Dial("tcp", conns[0].RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, getRequest(objectTarget))
		conns = append(conns, c)
	}
	f.setResponse(dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}, false)
	done := make(chan bool)
	go func() { s.Shutdown(); close(done) }()
	<-s.serveDone
	f.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("x")})
	for _, c := range conns {
		if r := readResponse(t, bufio.NewReader(c), "x"); !r.Close {
			t.Error("a connection is kept at the end")
		}
		c.Close()
	}
	<-done
}

// gatedConn is a connection each of whose reads waits for a gate, and which tells of read
// deadlines.
type gatedConn struct {
	*net.TCPConn
	gate        chan bool
	deadlineSet chan bool
}

func (g *gatedConn) Read(p []byte) (int, error) {
	<-g.gate
	return g.TCPConn.Read(p)
}

func (g *gatedConn) SetReadDeadline(t time.Time) error {
	err := g.TCPConn.SetReadDeadline(t)
	select {
	case g.deadlineSet <- true:
	default:
	}
	return err
}

// Guards against a request that came whole at the moment at which an idle connection is
// closed, to make room or at the end: a read whose time is over does not look for it.
func TestRequestCrossesIdleClose(t *testing.T) {
	for name, end := range map[string]func(s *Server, c *conn){
		"evicted": func(s *Server, c *conn) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.evictionCandidate() != c {
				t.Error("it is not the one to make room")
			}
			c.evicted = true
			c.text.NetConn.SetReadDeadline(time.Now())
		},
		"finished": func(s *Server, _ *conn) { go s.Shutdown() },
		"idle":     func(_ *Server, c *conn) { c.text.NetConn.SetReadDeadline(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}}
			s := newServer(f)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := &gatedConn{gate: make(chan bool), deadlineSet: make(chan bool, 1)}
			up := make(chan *gatedConn)
			go s.Serve(&gatedListener{l, g, up})
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			<-up
			in := bufio.NewReader(client)
			io.WriteString(client, getRequest(objectTarget))
			g.gate <- true // its first request
			g.gate <- true // the watcher's read
			readResponse(t, in, "x")
			var c *conn
			waitFor(t, "it is idle", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				for c = range s.conns {
					return c.state == stateIdle
				}
				return false
			})
			select {
			case <-g.deadlineSet:
			default:
			}
			io.WriteString(client, getRequest(objectTarget)) // it lies in the socket; the read is at the gate
			end(s, c)
			<-g.deadlineSet
			time.Sleep(time.Millisecond) // the deadline is in the past
			close(g.gate)
			readResponse(t, in, "x")
			client.Close()
			s.Shutdown()
		})
	}
}

// gatedListener accepts one connection as g.
type gatedListener struct {
	net.Listener
	conn     *gatedConn
	accepted chan *gatedConn
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conn.TCPConn = c.(*net.TCPConn)
	l.accepted <- l.conn
	return l.conn, nil
}

// Guards against an answer that a reset overtakes: the client has sent more than was read
// when its connection is closed behind the last answer.
func TestUnreadBytesAtClose(t *testing.T) {
	body := strings.Repeat("b", 240_000)
	f := &fakeDispatcher{hold: true}
	s := newServer(f)
	conn := dial(t, s).(*net.TCPConn)
	conn.SetReadBuffer(16 << 10) // the most of the answer waits on the other side
	io.WriteString(conn, getRequest(objectTarget, "Connection: close"))
	waitFor(t, "the request is taken", func() bool { return f.count() == 1 })
	io.WriteString(conn, strings.Repeat("x", 32<<10)) // more than a reader's buffer takes
	f.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte(body)})
	waitFor(t, "the answer is written", func() bool { return s.Metrics.Counter("http_200").Load() == 1 })
	io.WriteString(conn, strings.Repeat("y", 4<<10)) // nobody reads requests any more
	readResponse(t, bufio.NewReader(conn), body)
}

// An answer may be read as slowly as its client's link lets it, while the client waits.
func TestWriteTimeout(t *testing.T) {
	s := newServer(&fakeDispatcher{})
	classes := []routing.Class{{Deadline: 6 * time.Second}, {Deadline: time.Second}}
	s.Classes = func() []routing.Class { return classes }
	now := s.Clock.Now()
	c := &conn{server: s}
	for _, x := range []struct{ until, want float64 }{{0, minWriteTimeoutMs}, {now + 500, minWriteTimeoutMs}, {now + 4000, 4000}, {now + 600_000, 6000}} {
		if got := c.writeTimeoutMs(&request{clientDeadline: x.until}); got != x.want {
			t.Errorf("waits %v more: %v to write, want %v", x.until-now, got, x.want)
		}
	}
}
