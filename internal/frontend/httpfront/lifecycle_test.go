package httpfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/dispatch"
)

// Guards against a handover that cuts connections: their next request is answered,
// as the last one, and the socket's other holders take what is new.
func TestStopAccepting(t *testing.T) {
	s := newServer(&fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}})
	conn := dial(t, s)
	in := bufio.NewReader(conn)
	for _, last := range []bool{false, true} {
		if last {
			s.StopAccepting()
			<-s.serveDone
		}
		io.WriteString(conn, getRequest(objectTarget))
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if io.Copy(io.Discard, r.Body); r.StatusCode != 200 || r.Close != last {
			t.Errorf("handed over %v: status %d, close %v", last, r.StatusCode, r.Close)
		}
	}
}

// After Stopping the health check fails and requests are served on; Finish
// lets what is open end and closes the connection behind it.
func TestHealthCheckAndShutdown(t *testing.T) {
	f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}}
	s := newServer(f)
	conn := dial(t, s)
	in := bufio.NewReader(conn)
	ask := func(text string) *http.Response {
		t.Helper()
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		return r
	}
	health := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	if r := ask(health); r.StatusCode != 200 {
		t.Error("not healthy:", r.Status)
	}
	s.FailHealthChecks()
	if r := ask(health); r.StatusCode != 503 {
		t.Error("still healthy:", r.Status)
	}
	if r := ask(getRequest(objectTarget)); r.StatusCode != 200 || r.Close {
		t.Error("not served while stopping:", r.Status)
	}
	answer := f.response
	f.setResponse(answer, true)
	if _, err := io.WriteString(conn, getRequest(objectTarget)); err != nil {
		t.Fatal(err)
	}
	for f.count() < 2 {
		time.Sleep(time.Millisecond) // until the request is taken; bounded by the test's own limit
	}
	done := make(chan bool)
	go func() {
		s.Shutdown()
		close(done)
	}()
	for !s.keepAlivesDisabled.Load() {
		time.Sleep(time.Millisecond)
	}
	f.request(1).Respond(answer)
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("open at the end: %v %v", r, err)
	}
	<-done
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

// Guards against a request that is read behind the last answer on its connection: it would
// be sent on, and its answer could not be given.
func TestNoRequestReadAfterFinalResponse(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		end   func(*testing.T, *Server)
		taken int
	}{
		"the client ends it":     {getRequest(objectTarget, "Connection: close"), nil, 1},
		"it could not be read":   {"hello\r\n\r\n", nil, 0},
		"the router hands over":  {getRequest(objectTarget), func(_ *testing.T, s *Server) { s.StopAccepting() }, 1},
		"the router ends":        {getRequest(objectTarget), func(t *testing.T, s *Server) { go s.Shutdown(); waitFor(t, "the end", s.shuttingDown.Load) }, 1},
		"it is to make room":     {getRequest(objectTarget), evictAll, 1},
		"too much waits to read": {getRequest(objectTarget) + strings.Repeat("x", 2*maxReadAheadBytes), waitReadAheadOverflow, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeDispatcher{hold: true}
			s := newServer(f)
			conn := dial(t, s)
			conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(conn, c.text+getRequest(objectTarget)) // the second waits already
			waitFor(t, "the first is taken", func() bool { return f.count() == c.taken })
			if c.end != nil {
				c.end(t, s)
			}
			if c.taken > 0 {
				f.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("x")})
			}
			in := bufio.NewReader(conn)
			r, err := http.ReadResponse(in, nil)
			if err != nil || !r.Close {
				t.Fatalf("%v %v", r, err)
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(conn, getRequest(objectTarget)) // this side of the connection is shut
			if b, err := in.ReadByte(); err == nil {
				t.Errorf("%q behind the last answer", b)
			}
			conn.Close()
			waitFor(t, "it is given back", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.conns) == 0 })
			if f.count() != c.taken {
				t.Errorf("%d requests were taken, want %d", f.count(), c.taken)
			}
		})
	}
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

// Guards against a new connection that is closed with no answer while its first request
// lies in the socket: when it is to make room, when all end, and when its time is over.
func TestFirstRequestCrossesClose(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Server){
		"evicted":  evictAll,
		"finished": func(t *testing.T, s *Server) { go s.Shutdown(); waitFor(t, "the end", s.shuttingDown.Load) },
		"too late": func(*testing.T, *Server) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(&fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}})
			g := &gatedConn{gate: make(chan bool), deadlineSet: make(chan bool, 1)}
			addr := serveHooked(t, s, func(c net.Conn) (net.Conn, error) {
				g.TCPConn = c.(*net.TCPConn)
				return g, nil
			})
			client := dialAt(t, addr)
			<-g.deadlineSet // it waits for its first request: the read is at the gate
			io.WriteString(client, getRequest(objectTarget))
			waitFor(t, "the request lies in the socket", func() bool { return unreadBytes(t, g.TCPConn) == len(getRequest(objectTarget)) })
			end(t, s)
			s.mu.Lock()
			g.SetReadDeadline(time.Now().Add(-time.Second)) // whatever time it was given is over
			s.mu.Unlock()
			close(g.gate)
			readResponse(t, bufio.NewReader(client), "x")
			client.Close()
		})
	}
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

// Guards against small writes that the system holds back: they would go with a reset.
func TestNoDelay(t *testing.T) {
	s := newServer(&fakeDispatcher{hold: true})
	dial(t, s)
	waitFor(t, "a connection", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.conns) == 1 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		raw, err := c.text.NetConn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if on, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("TCP_NODELAY is %d, %v", on, err)
			}
		})
	}
}
