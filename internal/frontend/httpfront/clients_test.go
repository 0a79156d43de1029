package httpfront

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/memorybudget"
)

// TestClientDisconnect checks that the server reports the disconnect of a client to the dispatcher.
// The dispatcher then cancels the attempt of the client's request.
func TestClientDisconnect(t *testing.T) {
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	conn := dial(t, server)
	send(t, conn, getRequest(objectTarget))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	closeConn(t, conn)
	if request := <-dispatcher.disconnected; request != dispatcher.request(0) {
		t.Error("got another request reported as disconnected, want the submitted request")
	}
}

// TestRequestsOfClosedConnectionAreNotSubmitted checks that requests that wait behind another one are
// not submitted if the client has closed or reset the connection, whatever it sent before.
func TestRequestsOfClosedConnectionAreNotSubmitted(t *testing.T) {
	malformed := strings.Replace(getRequest(objectTarget), "/v1/part/", "/v1/none/", 1)
	for name, end := range map[string]func(net.Conn){
		"closed": func(conn net.Conn) { closeConn(t, conn) },
		"reset": func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			closeConn(t, conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{response: servedX}
			server := newServer(dispatcher)
			listener := listen(t)
			conn := connect(t, listener.Addr().String()) // the server accepts the connection after its end
			send(t, conn, malformed+getRequest(objectTarget)+getRequest(objectTarget))
			end(conn)
			startServer(t, server, listener)
			waitFor(t, "the connection is served", func() bool {
				return server.Metrics.Counter("connections_taken").Load()+server.Metrics.Counter("accept_errors").Load() > 0 && server.connCount() == 0
			})
			if count := dispatcher.count(); count != 0 {
				t.Errorf("got %d submitted requests, want none", count)
			}
		})
	}
}

// TestDisconnectAfterReadAhead checks that the server reports a disconnect to the dispatcher even
// if the client has sent more bytes while its request was open. If the server stopped reading ahead
// at the first of these bytes, it would miss the disconnect and still forward the request.
func TestDisconnectAfterReadAhead(t *testing.T) {
	for name, more := range map[string]string{
		"a byte":            "G",
		"a request":         getRequest(objectTarget),
		"requests":          strings.Repeat(getRequest(objectTarget), 100),
		"more than is kept": strings.Repeat("x", 3*maxReadAheadBytes),
	} {
		for _, end := range []func(*testing.T, net.Conn){closeConn, resetConn} {
			t.Run(name, func(t *testing.T) { checkDisconnectBehind(t, more, newServer(&fakeDispatcher{}), end) })
			t.Run(name+", without memory", func(t *testing.T) { checkDisconnectBehind(t, more, newServerWithoutReadAhead(t), end) })
		}
	}
}

// newServerWithoutReadAhead returns a server whose memory budget has no room for read-ahead.
func newServerWithoutReadAhead(t *testing.T) *Server {
	t.Helper()
	server := newServer(&fakeDispatcher{})
	server.Memory = memorybudget.New(1<<20, server.Metrics)
	filler := server.Memory.NewReservation()
	t.Cleanup(filler.Release)
	for filler.Grow(memorybudget.ReadAhead, 1<<10, 0) == nil { // until only the guaranteed parts of the others are left
	}
	return server
}

// checkDisconnectBehind checks that the server reports the disconnect of a client that has sent more bytes
// behind its open request.
func checkDisconnectBehind(t *testing.T, more string, server *Server, end func(*testing.T, net.Conn)) {
	t.Helper()
	dispatcher := server.Dispatcher.(*fakeDispatcher)
	dispatcher.hold = true
	conn := dial(t, server)
	send(t, conn, getRequest(objectTarget))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	send(t, conn, more)
	end(t, conn)
	select {
	case request := <-dispatcher.disconnected:
		if request != dispatcher.request(0) {
			t.Error("got another request reported as disconnected, want the submitted request")
		}
	case <-time.After(readTimeout):
		t.Error("the disconnect was not reported")
	}
	waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
	if count := dispatcher.count(); count != 1 {
		t.Errorf("got %d submitted requests, want 1", count)
	}
}

// TestPipelinesAreServedWhole guards against requests that are read and thrown away: a client sends many
// requests at once, more than the server keeps behind an open one. Each gets its own answer, in order, with
// and without memory for read-ahead, and the connection stays open.
func TestPipelinesAreServedWhole(t *testing.T) {
	for _, requests := range []int{2, 4, 50, 200} {
		for _, size := range []int{0, 1000, 48_000} {
			t.Run(fmt.Sprintf("%d of %d bytes", requests, size), func(t *testing.T) {
				checkPipeline(t, newServer(&fakeDispatcher{}), requests, size)
			})
			t.Run(fmt.Sprintf("%d of %d bytes, without memory", requests, size), func(t *testing.T) {
				checkPipeline(t, newServerWithoutReadAhead(t), requests, size)
			})
		}
	}
}

// checkPipeline sends writes at once and answers each of them once it is submitted.
func checkPipeline(t *testing.T, server *Server, requests, size int) {
	t.Helper()
	dispatcher := server.Dispatcher.(*fakeDispatcher)
	dispatcher.hold = true
	conn := dial(t, server)
	setReadDeadline(t, conn)
	var text strings.Builder
	for i := range requests {
		text.WriteString(putRequest(size) + strings.Repeat(string(rune('a'+i%26)), size))
	}
	sendInBackground(t, conn, text.String())
	reader := bufio.NewReader(conn)
	for i := range requests {
		waitFor(t, "the next request is submitted", func() bool { return dispatcher.count() == i+1 })
		if got, want := string(dispatcher.request(i).Body), strings.Repeat(string(rune('a'+i%26)), size); got != want {
			t.Fatalf("request %d: got a body of %d bytes, want %d others", i, len(got), size)
		}
		dispatcher.request(i).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte(strconv.Itoa(i))})
		if response := readResponse(t, reader, strconv.Itoa(i)); response.closes {
			t.Fatalf("request %d: the connection is closed after the response", i)
		}
	}
}

// The server serves pipelined requests in order. The timeout of each request counts from its
// arrival.
func TestPipelinedRequests(t *testing.T) {
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	manual := server.Clock.(*clock.Manual)
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	second := strings.Replace(getRequest(objectTarget), "2d41", "2d42", 1)
	send(t, conn, getRequest(objectTarget)+second) // one write, so that the server reads both requests together
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	manual.Advance(700)
	dispatcher.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("1")})
	readResponse(t, reader, "1")
	waitFor(t, "the second request is submitted", func() bool { return dispatcher.count() == 2 })
	if got, want := dispatcher.request(1).Deadline, startTime+1500-responseMarginMs; got != want {
		t.Errorf("deadline of the second request is %v ms from the start, want %v, counted from its arrival", got-startTime, want-startTime)
	}
	dispatcher.request(1).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("2")})
	if response := readResponse(t, reader, "2"); response.closes {
		t.Error("connection is closed after the last response, want it kept alive")
	}
}

// TestClientReconnectsAtOnce checks a client that closes its connection while its request is open,
// and connects again immediately. The server reports the disconnect and serves the new connection,
// even if the server must close the old connection first because of MaxConnections.
func TestClientReconnectsAtOnce(t *testing.T) {
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	server.MaxConnections = func() int { return 1 }
	conn := dial(t, server)
	addr := conn.RemoteAddr().String()
	for i := range 5 {
		send(t, conn, putRequest(1)+"a")
		waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == i+1 })
		resetConn(t, conn)
		conn = dialAt(t, addr)
		waitFor(t, "the disconnect is reported", func() bool { return len(dispatcher.disconnected) > 0 })
		if <-dispatcher.disconnected != dispatcher.request(i) {
			t.Fatal("got another request reported as disconnected, want the submitted request")
		}
	}
	dispatcher.setResponse(servedX, false)
	send(t, conn, putRequest(1)+"a")
	readResponse(t, bufio.NewReader(conn), "x")
	closeConn(t, conn)
}

// resetConn closes a connection with a TCP reset.
func resetConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	closeConn(t, conn)
}

// TestMisbehavingClientsAreClosedInTime checks that the server closes the connection of a client
// that sends nothing, sends too slowly or sends too much. The server closes it within 3 s after it
// accepted the connection, or within 6 s if the body is too long. If the client has begun a
// request, it gets a response first. If the timeouts started again with each request, such a client
// could hold its connection for 5 s or more per request.
func TestMisbehavingClientsAreClosedInTime(t *testing.T) {
	chunked := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for _, test := range []struct {
		name         string
		text         string  // sent first
		repeat       string  // sent repeatedly after the field text
		byteInterval float64 // ms between two bytes; 0: full speed
		maxElapsed   float64 // upper bound of the time in ms until the connection is closed
		status       int     // HTTP status of the response; 0: no response
	}{
		{"silence", "", "", 0, 3000, 0},
		{"half a line", "GET " + objectTarget, "", 0, 3000, 400},
		{"half a head", "GET " + objectTarget + " HTTP/1.1\r\n", "", 0, 3000, 408},
		{"a trickled line", getRequest(objectTarget), "", 300, 3000, 400},
		{"a trickled head", strings.TrimSuffix(getRequest(objectTarget, "X-A: "), "\r\n\r\n"), "a", 15, 3000, 408},
		{"a trickled body", putRequest(40_000), "a", 10, 3000, 408},
		{"a body that stops", putRequest(40_000) + "abc", "", 0, 3000, 408},
		{"chunks that never end", chunked, strings.Repeat("1\r\na\r\n", 800), 0, 6000, 413},
		{"a trickle after the rejection", "x\r\n", "a", 500, 3000, 400},
		{"a flood after the rejection", "x\r\n" + strings.Repeat("a", 5000), strings.Repeat("a", 5000), 0, 3000, 400},
		{"a huge body", putRequest(60_000_000) + "a", strings.Repeat("a", 5000), 0, 6000, 413},
	} {
		t.Run(test.name, func(t *testing.T) {
			manual := clock.NewManual(startTime)
			server := newServer(&fakeDispatcher{})
			server.Clock = manual
			client := &slowClient{clock: manual, text: test.text, repeat: test.repeat, byteInterval: test.byteInterval}
			server.newConn(client).serve()
			if elapsed := manual.Now() - startTime; elapsed > test.maxElapsed {
				t.Errorf("closed after %.0f ms, want at most %.0f ms", elapsed, test.maxElapsed)
			}
			if test.status == 0 {
				if client.out.Len() > 0 {
					t.Errorf("response %q, want none", client.out.String())
				}
				return
			}
			response := mustReadResponse(t, bufio.NewReader(&client.out))
			if response.status != test.status {
				t.Errorf("status %d, want %d", response.status, test.status)
			}
		})
	}
}

// TestIdleConnectionsAreEvicted checks that the server evicts connections to admit new connections
// when MaxConnections connections are open. It evicts connections that have sent nothing or that
// are idle after a request. It does not evict a connection with an open request.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	dispatcher := &fakeDispatcher{response: servedX}
	server := newServer(dispatcher)
	manual := clock.NewManual(startTime)
	server.Clock = manual
	addr := serveHooked(t, server, func(conn net.Conn) (net.Conn, error) {
		return evictionOnlyConn{conn.(*net.TCPConn)}, nil
	})
	active := dialAt(t, addr)
	dispatcher.setResponse(servedX, true)
	send(t, active, getRequest(objectTarget))
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	dispatcher.setResponse(servedX, false)
	for i := range 40 { // half of the connections are idle after a request, the other half send nothing
		conn := dialAt(t, addr)
		if i%2 == 0 {
			send(t, conn, getRequest(objectTarget))
			response, err := parseResponse(bufio.NewReader(conn), http.MethodGet)
			if err != nil || response.status != http.StatusOK {
				t.Fatalf("connection %d: response %+v, error %v; want status %d", i, response, err, http.StatusOK)
			}
		}
		manual.Advance(newConnGraceMs)
	}
	dispatcher.request(0).Respond(servedX)
	response, err := parseResponse(bufio.NewReader(active), http.MethodGet)
	if err != nil || response.status != http.StatusOK {
		t.Errorf("connection with an open request: response %+v, error %v; want status %d", response, err, http.StatusOK)
	}
}

// TestOutOfDescriptors checks that Serve retries an accept that fails because no file descriptors
// are left. Clients that connect later are then served.
func TestOutOfDescriptors(t *testing.T) {
	server := newServer(&fakeDispatcher{response: servedX})
	accepted := 0
	const failures = 3
	addr := serveHooked(t, server, func(conn net.Conn) (net.Conn, error) {
		if accepted++; accepted > failures {
			return conn, nil
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	})
	for range failures {
		dialAt(t, addr)
	}
	conn := dialAt(t, addr)
	send(t, conn, getRequest(objectTarget))
	readResponse(t, bufio.NewReader(conn), "x")
	if got := server.Metrics.Counter("accept_errors").Load(); got != failures {
		t.Errorf("got %d accept errors, want %d", got, failures)
	}
	closeConn(t, conn)
}
