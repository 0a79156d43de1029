package httpfront

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
)

// A client that disconnects is reported to the dispatcher, so that its attempt is canceled.
func TestClientDisconnect(t *testing.T) {
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	conn := dial(t, server)
	send(t, conn, getRequest(objectTarget))
	closeConn(t, conn)
	if request := <-dispatcher.disconnected; request != dispatcher.request(0) {
		t.Error("the client of another request was reported")
	}
}

// Guards against reading ahead only up to the first byte: a client that sent more and then
// disconnected was not noticed, and its request was forwarded.
func TestDisconnectAfterReadAhead(t *testing.T) {
	for name, more := range map[string]string{
		"a byte":            "G",
		"a request":         getRequest(objectTarget),
		"requests":          strings.Repeat(getRequest(objectTarget), 100),
		"more than is kept": strings.Repeat("x", 3*maxReadAheadBytes),
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{hold: true}
			server := newServer(dispatcher)
			conn := dial(t, server)
			send(t, conn, getRequest(objectTarget))
			waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
			send(t, conn, more)
			closeConn(t, conn)
			select {
			case request := <-dispatcher.disconnected:
				if request != dispatcher.request(0) {
					t.Error("the client of another request was reported")
				}
			case <-time.After(readTimeout):
				t.Error("the disconnect was not reported")
			}
			waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
			if count := dispatcher.count(); count != 1 {
				t.Errorf("%d requests were submitted, want 1", count)
			}
		})
	}
}

// Pipelined requests are served in turn, and the time of each counts from its arrival. A
// client that sends without end gets its response, as the last on its connection.
func TestPipelinedRequests(t *testing.T) {
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	manual := server.Clock.(*clock.Manual)
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	second := strings.Replace(getRequest(objectTarget), "2d41", "2d42", 1)
	send(t, conn, getRequest(objectTarget)+second) // in one piece: the second is read with the first
	waitFor(t, "the request is submitted", func() bool { return dispatcher.count() == 1 })
	manual.Advance(700)
	dispatcher.request(0).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("1")})
	readResponse(t, reader, "1")
	waitFor(t, "the second is submitted", func() bool { return dispatcher.count() == 2 })
	if got, want := dispatcher.request(1).Deadline, startTime+1500-responseMarginMs; got != want {
		t.Errorf("the second has %v ms from the start, want %v, as it arrived then", got-startTime, want-startTime)
	}
	send(t, conn, strings.Repeat("x", 2*maxReadAheadBytes))
	waitReadAheadOverflow(t, server)
	dispatcher.request(1).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte("2")})
	if response := readResponse(t, reader, "2"); !response.closes {
		t.Error("a connection whose bytes were discarded is kept alive")
	}
}

// A client that gives up and reconnects at once is served, even where its first connection
// has to be closed before, and the disconnect is reported.
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
			t.Fatal("the client of another request was reported")
		}
	}
	dispatcher.setResponse(servedX, false)
	send(t, conn, putRequest(1)+"a")
	readResponse(t, bufio.NewReader(conn), "x")
	closeConn(t, conn)
}

// resetConn closes a connection with a reset.
func resetConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	closeConn(t, conn)
}

// Connections of clients that are silent, send slowly or flood are closed within 3 s of their
// start, or 6 s where too long a body was announced, however the bytes are spread. A request
// that was begun gets a response. (The symptom: each had 5 s or more, anew for each request.)
func TestMisbehavingClientsAreClosedInTime(t *testing.T) {
	chunked := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for _, test := range []struct {
		name         string
		text         string  // what the client sends first
		repeat       string  // what it sends then, again and again
		byteInterval float64 // ms between two bytes; 0: none
		within       float64 // ms
		status       int     // of the response; 0: none
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
			if took := manual.Now() - startTime; took > test.within {
				t.Errorf("closed after %.0f ms, want %.0f at most", took, test.within)
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

// Connections that are silent, or idle after a request, are evicted for a new one. One whose
// request is open is not.
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
	for i := range 40 { // half of them are idle after a request, half are silent
		conn := dialAt(t, addr)
		if i%2 == 0 {
			send(t, conn, getRequest(objectTarget))
			response, err := parseResponse(bufio.NewReader(conn), http.MethodGet)
			if err != nil || response.status != http.StatusOK {
				t.Fatalf("connection %d: response %+v, %v; want status %d", i, response, err, http.StatusOK)
			}
		}
		manual.Advance(newConnGraceMs)
	}
	dispatcher.request(0).Respond(servedX)
	response, err := parseResponse(bufio.NewReader(active), http.MethodGet)
	if err != nil || response.status != http.StatusOK {
		t.Errorf("the one whose request was open: response %+v, %v; want status %d", response, err, http.StatusOK)
	}
}

// Guards against a Serve that returns when descriptors run out: clients that connect later are
// served.
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
		t.Errorf("%d accept errors, want %d", got, failures)
	}
	closeConn(t, conn)
}
