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

// Guards against a handover that cuts connections: the next request on each is served, as the
// last one, and new connections are left to the other holders of the socket.
func TestStopAccepting(t *testing.T) {
	server := newServer(&fakeDispatcher{response: servedX})
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	for _, last := range []bool{false, true} {
		if last {
			server.StopAccepting()
			<-server.serveDone
		}
		send(t, conn, getRequest(objectTarget))
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if io.Copy(io.Discard, r.Body); r.StatusCode != http.StatusOK || r.Close != last {
			t.Errorf("accepting ended: %v; status %d, close %v", last, r.StatusCode, r.Close)
		}
	}
}

// After FailHealthChecks the health check fails and requests are still served. Shutdown waits
// for open requests and closes their connections.
func TestHealthCheckAndShutdown(t *testing.T) {
	dispatcher := &fakeDispatcher{response: servedX}
	server := newServer(dispatcher)
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	ask := func(text string) *http.Response {
		t.Helper()
		send(t, conn, text)
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		return r
	}
	health := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	if r := ask(health); r.StatusCode != http.StatusOK {
		t.Error("not healthy:", r.Status)
	}
	server.FailHealthChecks()
	if r := ask(health); r.StatusCode != http.StatusServiceUnavailable {
		t.Error("still healthy:", r.Status)
	}
	if r := ask(getRequest(objectTarget)); r.StatusCode != http.StatusOK || r.Close {
		t.Error("not served after FailHealthChecks:", r.Status)
	}
	response := dispatcher.response
	dispatcher.setResponse(response, true)
	send(t, conn, getRequest(objectTarget))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 2 })
	done := make(chan bool)
	go func() {
		server.Shutdown()
		close(done)
	}()
	waitFor(t, "the shutdown begins", server.keepAlivesDisabled.Load)
	dispatcher.request(1).Respond(response)
	r, err := http.ReadResponse(reader, nil)
	if err != nil || r.StatusCode != http.StatusOK || !r.Close {
		t.Errorf("open at the shutdown: %v %v", r, err)
	}
	<-done
}

// Guards against a listener that is closed while connections wait to be accepted and there is
// no capacity for one more: each has brought a request.
func TestBacklogServedAtShutdown(t *testing.T) {
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	server.MaxConnections = func() int { return 1 }
	conns := []net.Conn{dial(t, server)}
	send(t, conns[0], getRequest(objectTarget))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	for range 5 { // one is accepted and waits for capacity, the others are not
		c, err := net.Dial("tcp", conns[0].RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		send(t, c, getRequest(objectTarget))
		conns = append(conns, c)
	}
	dispatcher.setResponse(servedX, false)
	done := make(chan bool)
	go func() { server.Shutdown(); close(done) }()
	<-server.serveDone
	dispatcher.request(0).Respond(servedX)
	for _, c := range conns {
		if r := readResponse(t, bufio.NewReader(c), "x"); !r.Close {
			t.Error("a connection is kept alive at shutdown")
		}
		c.Close()
	}
	<-done
}

// Guards against a request that is read after the last response on its connection: it would be
// forwarded, and its response could not be written.
func TestNoRequestReadAfterFinalResponse(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		end   func(*testing.T, *Server)
		taken int
	}{
		"the client asks for the close": {getRequest(objectTarget, "Connection: close"), nil, 1},
		"the request is malformed":      {"hello\r\n\r\n", nil, 0},
		"the server stops accepting":    {getRequest(objectTarget), func(_ *testing.T, server *Server) { server.StopAccepting() }, 1},
		"the server shuts down": {getRequest(objectTarget), func(t *testing.T, server *Server) {
			t.Helper()
			go server.Shutdown()
			waitFor(t, "the shutdown begins", server.shuttingDown.Load)
		}, 1},
		"the connection is evicted": {getRequest(objectTarget), evictAll, 1},
		"too much is read ahead":    {getRequest(objectTarget) + strings.Repeat("x", 2*maxReadAheadBytes), waitReadAheadOverflow, 1},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{hold: true}
			server := newServer(dispatcher)
			conn := dial(t, server)
			conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			send(t, conn, test.text+getRequest(objectTarget)) // the second request is there already
			waitFor(t, "the first is submitted", func() bool { return dispatcher.count() == test.taken })
			if test.end != nil {
				test.end(t, server)
			}
			if test.taken > 0 {
				dispatcher.request(0).Respond(servedX)
			}
			reader := bufio.NewReader(conn)
			r, err := http.ReadResponse(reader, nil)
			if err != nil || !r.Close {
				t.Fatalf("%v %v", r, err)
			}
			io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, getRequest(objectTarget)) // nobody reads it, or the connection is closed
			if b, err := reader.ReadByte(); err == nil {
				t.Errorf("%q after the last response", b)
			}
			conn.Close()
			waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
			if dispatcher.count() != test.taken {
				t.Errorf("%d requests were submitted, want %d", dispatcher.count(), test.taken)
			}
		})
	}
}

// Guards against a request that arrived whole in the moment in which its idle connection is
// closed, at an eviction, at shutdown or at its timeout: a read whose deadline has passed does
// not look at the socket.
func TestRequestCrossesIdleClose(t *testing.T) {
	for name, end := range map[string]func(server *Server, c *conn){
		"evicted": func(server *Server, c *conn) {
			server.mu.Lock()
			defer server.mu.Unlock()
			if server.evictionCandidate() != c {
				t.Error("it is not the candidate")
			}
			c.evicted = true
			c.text.NetConn.SetReadDeadline(time.Now())
		},
		"finished": func(server *Server, _ *conn) { go server.Shutdown() },
		"idle":     func(_ *Server, c *conn) { c.text.NetConn.SetReadDeadline(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{response: servedX}
			server := newServer(dispatcher)
			gated := newGatedConn()
			client := dialAt(t, serveHooked(t, server, gated.accept))
			reader := bufio.NewReader(client)
			send(t, client, getRequest(objectTarget))
			gated.gate <- true // the first request
			gated.gate <- true // the read-ahead
			readResponse(t, reader, "x")
			var c *conn
			waitFor(t, "the connection is idle", func() bool {
				server.mu.Lock()
				defer server.mu.Unlock()
				for c = range server.conns {
					return c.state == stateIdle
				}
				return false
			})
			select {
			case <-gated.deadlineSet:
			default:
			}
			send(t, client, getRequest(objectTarget)) // it is in the socket, and the read is at the gate
			end(server, c)
			<-gated.deadlineSet
			time.Sleep(time.Millisecond) // the deadline is in the past
			close(gated.gate)
			readResponse(t, reader, "x")
			client.Close()
		})
	}
}

// Guards against a new connection that is closed without a response while its first request
// is in the socket: at an eviction, at shutdown and at its timeout.
func TestFirstRequestCrossesClose(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Server){
		"evicted": evictAll,
		"finished": func(t *testing.T, server *Server) {
			t.Helper()
			go server.Shutdown()
			waitFor(t, "the shutdown begins", server.shuttingDown.Load)
		},
		"too late": func(*testing.T, *Server) {},
	} {
		t.Run(name, func(t *testing.T) {
			server := newServer(&fakeDispatcher{response: servedX})
			gated := newGatedConn()
			client := dialAt(t, serveHooked(t, server, gated.accept))
			<-gated.deadlineSet // the server waits for the first request: its read is at the gate
			send(t, client, getRequest(objectTarget))
			waitFor(t, "the request is in the socket", func() bool { return unreadBytes(t, gated.TCPConn) == len(getRequest(objectTarget)) })
			end(t, server)
			server.mu.Lock()
			gated.SetReadDeadline(time.Now().Add(-time.Second)) // whatever time it had
			server.mu.Unlock()
			close(gated.gate)
			readResponse(t, bufio.NewReader(client), "x")
			client.Close()
		})
	}
}

// Guards against a response that a reset overtakes: the client has sent more than was read
// when its connection is closed after the last response.
func TestUnreadBytesAtClose(t *testing.T) {
	body := strings.Repeat("b", 240_000)
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	conn := dial(t, server).(*net.TCPConn)
	conn.SetReadBuffer(16 << 10) // most of the response waits at the server
	send(t, conn, getRequest(objectTarget, "Connection: close"))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	send(t, conn, strings.Repeat("x", 32<<10)) // more than a reader's buffer takes
	dispatcher.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte(body)})
	waitFor(t, "the response is written", func() bool { return server.Metrics.Counter("http_200").Load() == 1 })
	_, _ = io.WriteString(conn, strings.Repeat("y", 4<<10)) // nobody reads requests any more
	readResponse(t, bufio.NewReader(conn), body)
}

// Guards against small writes that the system holds back: a reset would discard them.
func TestNoDelay(t *testing.T) {
	server := newServer(&fakeDispatcher{hold: true})
	dial(t, server)
	waitFor(t, "the connection is accepted", func() bool { return server.connCount() == 1 })
	server.mu.Lock()
	defer server.mu.Unlock()
	for c := range server.conns {
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
