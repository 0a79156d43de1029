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
		response := mustReadResponse(t, reader)
		if response.status != http.StatusOK || response.closes != last {
			t.Errorf("status %d, closes %v; want status %d, closes %v", response.status, response.closes, http.StatusOK, last)
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
	request := func(text string) clientResponse {
		t.Helper()
		send(t, conn, text)
		return mustReadResponse(t, reader)
	}
	health := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	if got := request(health); got.status != http.StatusOK {
		t.Errorf("health check: status %d, want %d", got.status, http.StatusOK)
	}
	server.FailHealthChecks()
	if got := request(health); got.status != http.StatusServiceUnavailable {
		t.Errorf("health check after FailHealthChecks: status %d, want %d", got.status, http.StatusServiceUnavailable)
	}
	if got := request(getRequest(objectTarget)); got.status != http.StatusOK || got.closes {
		t.Errorf("request after FailHealthChecks: status %d, closes %v; want status %d, kept alive", got.status, got.closes, http.StatusOK)
	}
	dispatcher.setResponse(servedX, true)
	send(t, conn, getRequest(objectTarget))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 2 })
	done := startShutdown(server)
	waitFor(t, "the shutdown begins", server.keepAlivesDisabled.Load)
	dispatcher.request(1).Respond(servedX)
	response, err := parseResponse(reader, http.MethodGet)
	if err != nil || response.status != http.StatusOK || !response.closes {
		t.Errorf("open at the shutdown: response %+v, %v; want status %d, closed", response, err, http.StatusOK)
	}
	<-done
}

// startShutdown begins the server's shutdown and returns a channel that is closed when the
// server is shut down.
func startShutdown(server *Server) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Shutdown()
	}()
	return done
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
		conn := connect(t, conns[0].RemoteAddr().String())
		send(t, conn, getRequest(objectTarget))
		conns = append(conns, conn)
	}
	dispatcher.setResponse(servedX, false)
	done := startShutdown(server)
	<-server.serveDone
	dispatcher.request(0).Respond(servedX)
	for _, conn := range conns {
		if response := readResponse(t, bufio.NewReader(conn), "x"); !response.closes {
			t.Error("a connection is kept alive at shutdown")
		}
		closeConn(t, conn)
	}
	<-done
}

// Guards against a request that is read after the last response on its connection: it would be
// forwarded, and its response could not be written.
func TestNoRequestReadAfterFinalResponse(t *testing.T) {
	for name, test := range map[string]struct {
		text      string
		end       func(*testing.T, *Server) // ends the connection; nil: the text does
		submitted int                       // requests
	}{
		"the client asks for the close": {getRequest(objectTarget, "Connection: close"), nil, 1},
		"the request is malformed":      {"hello\r\n\r\n", nil, 0},
		"the server stops accepting":    {getRequest(objectTarget), func(_ *testing.T, server *Server) { server.StopAccepting() }, 1},
		"the server shuts down":         {getRequest(objectTarget), beginShutdown, 1},
		"the connection is evicted":     {getRequest(objectTarget), evictAll, 1},
		"too much is read ahead":        {getRequest(objectTarget) + strings.Repeat("x", 2*maxReadAheadBytes), waitReadAheadOverflow, 1},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{hold: true}
			server := newServer(dispatcher)
			conn := dial(t, server)
			setReadDeadline(t, conn)
			send(t, conn, test.text+getRequest(objectTarget)) // the second request is there already
			waitFor(t, "the first is submitted", func() bool { return dispatcher.count() == test.submitted })
			if test.end != nil {
				test.end(t, server)
			}
			if test.submitted > 0 {
				dispatcher.request(0).Respond(servedX)
			}
			reader := bufio.NewReader(conn)
			if response := mustReadResponse(t, reader); !response.closes {
				t.Fatalf("response %+v keeps the connection alive", response)
			}
			_, _ = io.WriteString(conn, getRequest(objectTarget)) // nobody reads it, or the connection is closed
			if b, err := reader.ReadByte(); err == nil {
				t.Errorf("%q after the last response", b)
			}
			closeConn(t, conn)
			waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
			if count := dispatcher.count(); count != test.submitted {
				t.Errorf("%d requests were submitted, want %d", count, test.submitted)
			}
		})
	}
}

// Guards against a request that arrived whole in the moment in which its idle connection is
// closed, at an eviction, at shutdown or at its timeout: a read whose deadline has passed does
// not look at the socket.
func TestRequestCrossesIdleClose(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, server *Server, idle *conn){
		"evicted":  evictIdle,
		"finished": func(_ *testing.T, server *Server, _ *conn) { startShutdown(server) },
		"idle":     timeOutIdle,
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
			idle := waitIdle(t, server)
			select {
			case <-gated.deadlineSet:
			default:
			}
			send(t, client, getRequest(objectTarget)) // it is in the socket, and the read is at the gate
			end(t, server, idle)
			<-gated.deadlineSet
			waitFor(t, "the deadline is in the past", gated.deadlinePassed)
			close(gated.gate)
			readResponse(t, reader, "x")
			closeConn(t, client)
		})
	}
}

// waitIdle waits until the server's only connection is idle, and returns it.
func waitIdle(t *testing.T, server *Server) *conn {
	t.Helper()
	var idle *conn
	waitFor(t, "the connection is idle", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for idle = range server.conns {
			return idle.state == stateIdle
		}
		return false
	})
	return idle
}

// evictIdle evicts a connection, which must be the one that the server would evict.
func evictIdle(t *testing.T, server *Server, idle *conn) {
	t.Helper()
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.evictionCandidate() != idle {
		t.Error("the idle connection is not the candidate for eviction")
	}
	idle.evicted = true
	endRead(t, idle.text.NetConn)
}

// timeOutIdle ends the wait of an idle connection for its next request.
func timeOutIdle(t *testing.T, _ *Server, idle *conn) {
	t.Helper()
	endRead(t, idle.text.NetConn)
}

// endRead ends a read of a connection at once.
func endRead(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now()); err != nil {
		t.Error(err)
	}
}

// beginShutdown begins the server's shutdown and waits until it is seen to have begun.
func beginShutdown(t *testing.T, server *Server) {
	t.Helper()
	startShutdown(server)
	waitFor(t, "the shutdown begins", server.shuttingDown.Load)
}

// Guards against a new connection that is closed without a response while its first request
// is in the socket: at an eviction, at shutdown and at its timeout.
func TestFirstRequestCrossesClose(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Server){
		"evicted":  evictAll,
		"finished": beginShutdown,
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
			err := gated.SetReadDeadline(time.Now().Add(-time.Second)) // whatever time it had
			server.mu.Unlock()
			if err != nil {
				t.Fatal(err)
			}
			close(gated.gate)
			readResponse(t, bufio.NewReader(client), "x")
			closeConn(t, client)
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
	if err := conn.SetReadBuffer(16 << 10); err != nil { // most of the response waits at the server
		t.Fatal(err)
	}
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
	for accepted := range server.conns {
		control(t, accepted.text.NetConn.(syscall.Conn), func(fd int) {
			noDelay, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
			if err != nil || noDelay == 0 {
				t.Errorf("TCP_NODELAY is %d, %v; want it set", noDelay, err)
			}
		})
	}
}
