package httpfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/dispatch"
	"garnetline/internal/memorybudget"
)

// TestStopAccepting checks that after StopAccepting, the server serves one more request on each
// connection and then closes the connection. New connections are left to the other processes that
// hold the listening socket.
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
			t.Errorf("got status %d, closes %v; want status %d, closes %v", response.status, response.closes, http.StatusOK, last)
		}
	}
}

// After FailHealthChecks, the health check fails, but other requests are still served. Shutdown
// waits for open requests and closes their connections.
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
		t.Errorf("request open at shutdown: response %+v, error %v; want status %d, closed", response, err, http.StatusOK)
	}
	<-done
}

// startShutdown begins the server's shutdown and returns a channel that is closed when Shutdown
// returns.
func startShutdown(server *Server) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Shutdown()
	}()
	return done
}

// TestBacklogServedAtShutdown checks that a server that shuts down still serves the connections in
// the backlog, even if MaxConnections are open. If it closed the listener immediately, the requests
// on these connections would be lost.
func TestBacklogServedAtShutdown(t *testing.T) {
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	server.MaxConnections = func() int { return 1 }
	conns := []net.Conn{dial(t, server)}
	send(t, conns[0], getRequest(objectTarget))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	for range 5 { // one connection is accepted and waits in admit, the other four wait in the backlog
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
			t.Error("connection is kept alive at shutdown, want it closed")
		}
		closeConn(t, conn)
	}
	<-done
}

// TestNoRequestReadAfterFinalResponse checks that the server reads no request after the last
// response on a connection. If it did, it would forward a request whose response it could not
// write.
func TestNoRequestReadAfterFinalResponse(t *testing.T) {
	for name, test := range map[string]struct {
		text      string
		end       func(*testing.T, *Server) // makes the server end the connection; nil if the field text does that
		submitted int                       // number of requests that the dispatcher gets
	}{
		"the client asks for the close": {getRequest(objectTarget, "Connection: close"), nil, 1},
		"the request is malformed":      {"hello\r\n\r\n", nil, 0},
		"the server stops accepting":    {getRequest(objectTarget), func(_ *testing.T, server *Server) { server.StopAccepting() }, 2},
		"the server shuts down":         {getRequest(objectTarget), beginShutdown, 2},
		"the connection is evicted":     {getRequest(objectTarget), evictAll, 1},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{hold: true}
			server := newServer(dispatcher)
			conn := dial(t, server)
			setReadDeadline(t, conn)
			send(t, conn, test.text+getRequest(objectTarget)) // the second request is sent before the first response
			waitFor(t, "the first request is submitted", func() bool { return dispatcher.count() == min(test.submitted, 1) })
			if test.end != nil {
				test.end(t, server)
			}
			reader := bufio.NewReader(conn)
			for i := range test.submitted {
				waitFor(t, "the next request is submitted", func() bool { return dispatcher.count() == i+1 })
				dispatcher.request(i).Respond(servedX)
				if i+1 < test.submitted && readResponse(t, reader, "x").closes {
					t.Fatalf("response %d closes the connection, want a response to each request sent before it", i)
				}
			}
			if response := mustReadResponse(t, reader); !response.closes {
				t.Fatalf("response %+v keeps the connection alive, want it closed", response)
			}
			_, _ = io.WriteString(conn, getRequest(objectTarget)) // error ignored: the server discards the request or has closed the connection
			if b, err := reader.ReadByte(); err == nil {
				t.Errorf("got byte %q after the last response, want none", b)
			}
			closeConn(t, conn)
			waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
			if count := dispatcher.count(); count != test.submitted {
				t.Errorf("got %d submitted requests, want %d", count, test.submitted)
			}
		})
	}
}

// TestRequestArrivesAtIdleClose checks that the server serves a complete request that arrives on an
// idle connection just before an eviction, a shutdown or the idle timeout would close the
// connection. A read whose deadline has passed fails without looking at the socket, so the server
// must check the socket for unread bytes itself.
func TestRequestArrivesAtIdleClose(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, server *Server, idle *conn){
		"evicted":       evictIdle,
		"shutting down": func(_ *testing.T, server *Server, _ *conn) { startShutdown(server) },
		"idle":          timeOutIdle,
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{response: servedX}
			server := newServer(dispatcher)
			gated := newGatedConn()
			client := dialAt(t, serveHooked(t, server, gated.accept))
			reader := bufio.NewReader(client)
			send(t, client, getRequest(objectTarget))
			gated.gate <- true // lets the server read the first request
			gated.gate <- true // lets the server read ahead
			readResponse(t, reader, "x")
			idle := waitIdle(t, server)
			select {
			case <-gated.deadlineSet:
			default:
			}
			send(t, client, getRequest(objectTarget)) // the request is in the socket, and the server's read waits at the gate
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

// evictIdle evicts an idle connection. It also checks that the server would select the same
// connection for eviction.
func evictIdle(t *testing.T, server *Server, idle *conn) {
	t.Helper()
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.evictionCandidate() != idle {
		t.Error("evictionCandidate did not return the idle connection")
	}
	idle.evicted = true
	endRead(t, idle.text.NetConn)
}

// timeOutIdle ends the server's wait for the next request on an idle connection, as the idle
// timeout does.
func timeOutIdle(t *testing.T, _ *Server, idle *conn) {
	t.Helper()
	endRead(t, idle.text.NetConn)
}

// endRead sets the read deadline of a connection to now, which ends its pending read.
func endRead(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now()); err != nil {
		t.Error(err)
	}
}

// beginShutdown starts the server's shutdown and waits until shuttingDown is set.
func beginShutdown(t *testing.T, server *Server) {
	t.Helper()
	startShutdown(server)
	waitFor(t, "the shutdown begins", server.shuttingDown.Load)
}

// TestFirstRequestArrivesAtClose checks that the server serves the first request on a new
// connection if the request is in the socket when an eviction, a shutdown or a timeout ends the
// server's wait for it.
func TestFirstRequestArrivesAtClose(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Server){
		"evicted":       evictAll,
		"shutting down": beginShutdown,
		"timed out":     func(*testing.T, *Server) {},
	} {
		t.Run(name, func(t *testing.T) {
			server := newServer(&fakeDispatcher{response: servedX})
			gated := newGatedConn()
			client := dialAt(t, serveHooked(t, server, gated.accept))
			<-gated.deadlineSet // the server waits for the first request, and its read waits at the gate
			send(t, client, getRequest(objectTarget))
			waitFor(t, "the request is in the socket", func() bool { return unreadBytes(t, gated.TCPConn) == len(getRequest(objectTarget)) })
			end(t, server)
			server.mu.Lock()
			err := gated.SetReadDeadline(time.Now().Add(-time.Second)) // replaces any deadline that the server has set
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

// The client receives the complete last response even if the server has not read all of the
// client's bytes. Without lingering, the close would reset the connection and cut off the response.
func TestUnreadBytesAtClose(t *testing.T) {
	body := strings.Repeat("b", 240_000)
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	conn := dial(t, server).(*net.TCPConn)
	if err := conn.SetReadBuffer(16 << 10); err != nil { // small, so that most of the response must wait at the server
		t.Fatal(err)
	}
	send(t, conn, getRequest(objectTarget, "Connection: close"))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	send(t, conn, strings.Repeat("x", 32<<10)) // more than the server's read buffer holds
	dispatcher.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte(body)})
	waitFor(t, "the response is written", func() bool { return server.Metrics.Counter("http_200").Load() == 1 })
	_, _ = io.WriteString(conn, strings.Repeat("y", 4<<10)) // the server reads no further request
	readResponse(t, bufio.NewReader(conn), body)
}

// Accepted connections have TCP_NODELAY set. Otherwise the system could delay a small write, and a
// reset would discard the delayed bytes.
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
				t.Errorf("TCP_NODELAY is %d, error %v; want it set", noDelay, err)
			}
		})
	}
}

// TestLowerConnectionLimitEvictsExcess checks that the server evicts just the connections beyond a limit
// that has become lower, as it does when a second process begins to share the limits.
func TestLowerConnectionLimitEvictsExcess(t *testing.T) {
	server := newServer(&fakeDispatcher{response: servedX})
	var limit atomic.Int64
	limit.Store(4)
	server.MaxConnections = func() int { return int(limit.Load()) }
	conns := []net.Conn{dial(t, server)}
	for range 3 {
		conns = append(conns, connect(t, conns[0].RemoteAddr().String()))
	}
	for _, conn := range conns {
		send(t, conn, getRequest(objectTarget))
		readResponse(t, bufio.NewReader(conn), "x")
	}
	server.EnforceConnectionLimit()
	limit.Store(1)
	server.EnforceConnectionLimit()
	server.EnforceConnectionLimit() // the evicted connections may not have ended yet
	waitFor(t, "the connections beyond the limit are closed", func() bool { return server.connCount() == 1 })
	if evicted := server.Metrics.Counter("connections_evicted").Load(); evicted != 3 {
		t.Errorf("got %d evicted connections, want 3", evicted)
	}
}

// TestRejectedRequestHoldsNoMemory checks that a rejected request holds no memory while its connection
// lingers.
func TestRejectedRequestHoldsNoMemory(t *testing.T) {
	server := newServer(&fakeDispatcher{})
	server.Memory = memorybudget.New(1<<20, server.Metrics)
	conn := dial(t, server)
	head := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	send(t, conn, head+"4e20\r\n"+strings.Repeat("b", 20_000)+"\r\nmalformed\r\n")
	if status, err := bufio.NewReader(conn).ReadString('\n'); err != nil || status != "HTTP/1.1 400 Bad Request\r\n" {
		t.Fatalf("got status line %q, error %v, want 400", status, err)
	}
	for _, account := range []memorybudget.Account{memorybudget.Requests, memorybudget.Bodies} {
		if held := server.Memory.Usage().Accounts[account].Bytes; held != 0 {
			t.Errorf("got %d bytes of %v held for a rejected request, want none", held, account)
		}
	}
	if server.connCount() != 1 {
		t.Error("the connection has ended, want it to linger")
	}
}
