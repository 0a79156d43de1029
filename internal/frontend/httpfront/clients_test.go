package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
)

// hookedListener is a listener whose connections and errors a test makes.
type hookedListener struct {
	net.Listener
	accept func(net.Conn) (net.Conn, error)
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.accept(c)
}

// serveHooked serves connections made by accept, and returns the address.
func serveHooked(t *testing.T, s *Server, accept func(net.Conn) (net.Conn, error)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(&hookedListener{l, accept})
	t.Cleanup(s.Shutdown)
	return l.Addr().String()
}

// dialAt is a client's connection, closed before the server's end.
func dialAt(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	return c
}

// singleByteConn brings one byte with each read.
type singleByteConn struct{ *net.TCPConn }

func (c singleByteConn) Read(p []byte) (int, error) { return c.TCPConn.Read(p[:1]) }

// A request is the same in each form that HTTP/1.1 allows, in one piece and byte by byte.
func TestRequestForms(t *testing.T) {
	read, write := getRequest(objectTarget, "X-Family: 17"), putRequest(3)+"abc"
	chunked := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for name, c := range map[string]struct{ text, as string }{
		"read":                   {read, read},
		"empty line before":      {"\r\n" + read, read},
		"lines that end with LF": {strings.ReplaceAll(read, "\r", ""), read},
		"names in small letters": {strings.NewReplacer("Host:", "host:", "X-", "x-").Replace(read), read},
		"no space":               {strings.ReplaceAll(read, ": ", ":"), read},
		"more space":             {strings.ReplaceAll(strings.ReplaceAll(read, ": ", ": \t "), "\r\nX", " \t\r\nX"), read},
		"whole target":           {strings.Replace(read, objectTarget, "http://x"+objectTarget, 1), read},
		"kept alive":             {getRequest(objectTarget, "X-Family: 17", "Connection: Keep-Alive"), read},
		"length of nothing":      {getRequest(objectTarget, "X-Family: 17", "Content-Length: 0"), read},
		"write":                  {write, write},
		"chunks":                 {chunked + "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", write},
		"chunks, more of them":   {chunked + "01;x=\"y\"\r\na\r\n002\r\nbc\r\n0\r\nX-Trailer: z\r\n\r\n", write},
		"expects 100":            {putRequest(3, "Expect: 100-Continue") + "abc", write},
	} {
		for _, pieces := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in pieces %v", name, pieces), func(t *testing.T) {
				f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}}
				s := newServer(f)
				addr := serveHooked(t, s, func(c net.Conn) (net.Conn, error) {
					if pieces {
						return singleByteConn{c.(*net.TCPConn)}, nil
					}
					return c, nil
				})
				conn := dialAt(t, addr)
				in := bufio.NewReader(conn)
				for _, text := range []string{c.text, c.as} {
					io.WriteString(conn, text)
					r, err := http.ReadResponse(in, nil)
					if err == nil && r.StatusCode == http.StatusContinue {
						r, err = http.ReadResponse(in, nil)
					}
					if err != nil || r.StatusCode != 200 || r.Close {
						t.Fatalf("%v %v", r, err)
					}
					io.Copy(io.Discard, r.Body)
				}
				conn.Close()
				one, other := f.request(0), f.request(1)
				one.Respond, other.Respond = nil, nil
				if !reflect.DeepEqual(one, other) {
					t.Errorf("%+v, want %+v", one, other)
				}
			})
		}
	}
}

// A client that writes slowly, but whole within its time, is served; its time counts from
// the last byte.
func TestSlowWriter(t *testing.T) {
	clk := clock.NewManual(1.7e12)
	f := &fakeDispatcher{hold: true} // the client's connection has one reader, and no answer crosses it
	s := newServer(f)
	s.Clock = clk
	text := putRequest(3) + "abc"
	s.newConn(&slowClient{clock: clk, text: text, byteInterval: 15}).serve()
	if f.count() != 1 {
		t.Fatalf("%d requests were taken", f.count())
	}
	if last := 15 * float64(len(text)); f.request(0).Deadline != 1.7e12+last+1500-responseMarginMs {
		t.Errorf("it has until %v, its last byte came at %v", f.request(0).Deadline-1.7e12, last)
	}
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

// evictAll has all connections make room.
func evictAll(_ *testing.T, s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.evicted = true
	}
}

// waitReadAheadOverflow waits until more has come than is kept.
func waitReadAheadOverflow(t *testing.T, s *Server) {
	waitFor(t, "more than is kept", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			return c.text.Discarded()
		}
		return false
	})
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

// unreadBytes is how many bytes wait in a socket.
func unreadBytes(t *testing.T, c *net.TCPConn) (n int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 4096), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n
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
