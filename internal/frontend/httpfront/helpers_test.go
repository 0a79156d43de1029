package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// fakeDispatcher responds to each request immediately. If hold is set, it leaves requests open
// instead.
type fakeDispatcher struct {
	mu           sync.Mutex
	requests     []*dispatch.Request
	response     dispatch.Response
	hold         bool
	disconnected chan *dispatch.Request
}

func (f *fakeDispatcher) Submit(r *dispatch.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if !f.hold {
		r.Respond(f.response)
	}
	return true
}

func (f *fakeDispatcher) Disconnect(r *dispatch.Request) { f.disconnected <- r }

func (f *fakeDispatcher) setResponse(response dispatch.Response, hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.response = response
	f.hold = hold
}

func (f *fakeDispatcher) request(i int) *dispatch.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[i]
}

func (f *fakeDispatcher) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// startTime is the time on the clock of newServer, in ms.
const startTime = 1.7e12

// servedX is a response whose body is "x".
var servedX = dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}

// newServer returns a server with two classes: "part" for reads and "form" for writes.
func newServer(dispatcher *fakeDispatcher) *Server {
	dispatcher.disconnected = make(chan *dispatch.Request, 8)
	classes := []routing.Class{
		{Name: "part", Idempotency: routing.Idempotent},
		{Name: "form", Idempotency: routing.IdempotentWithKey, Write: true},
	}
	return New(Options{
		Clock:          clock.NewManual(startTime),
		Dispatcher:     dispatcher,
		Ready:          func() bool { return true },
		Metrics:        metrics.New(),
		MaxConnections: func() int { return 8 },
		Classes:        func() []routing.Class { return classes },
	})
}

// dial starts the server on a loopback address and returns a connection to it. The server is
// shut down at the end of the test.
func dial(t *testing.T, server *Server) net.Conn {
	t.Helper()
	listener := listen(t)
	startServer(t, server, listener)
	return connect(t, listener.Addr().String())
}

// listen returns a listener on a loopback address.
func listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return listener
}

// startServer makes the server accept connections on a listener, and shuts it down at the end of
// the test. Tests call startServer before connect. Cleanups run in reverse order, so the
// connections are closed before the shutdown.
func startServer(tb testing.TB, server *Server, listener net.Listener) {
	tb.Helper()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	tb.Cleanup(func() {
		server.Shutdown()
		if err := <-served; err != nil {
			tb.Errorf("Serve: %v", err)
		}
	})
}

// connect returns a connection to addr. At the end of the test the connection is closed, if it is
// still open.
func connect(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	conn, err := new(net.Dialer).DialContext(tb.Context(), "tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			tb.Error(err)
		}
	})
	return conn
}

// closeConn closes a connection and fails the test on an error.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// send writes a text and fails the test on an error.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// sendInBackground writes a text on another goroutine, so that the test can read the response at
// the same time. It ignores errors, because the server may close the connection before it has read
// the whole text.
func sendInBackground(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(conn, text)
	}()
	t.Cleanup(func() {
		_ = conn.SetWriteDeadline(time.Now()) // ends the write; fails if the connection is closed already
		<-written
	})
}

// setReadDeadline sets the read deadline of a connection to readTimeout from now.
func setReadDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		t.Fatal(err)
	}
}

// connCount returns how many connections are open.
func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// objectTarget is the request target of a read.
const objectTarget = "/v1/part/7f3a9c21e0b4d655?block=3"

// getRequest returns a GET request with the mandatory headers and additional headers.
func getRequest(target string, headers ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\n" +
		strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// putRequest returns the head of a PUT request whose body has the given length.
func putRequest(length int, headers ...string) string {
	headers = append(headers, "X-Txn-Key: k1", "Content-Length: "+strconv.Itoa(length))
	return strings.Replace(getRequest("/v1/form/7f3a9c21e0b4d655", headers...), "GET", "PUT", 1)
}

// readTimeout bounds how long a test waits for a response or a condition.
const readTimeout = 20 * time.Second

// waitFor waits until a condition holds. It fails the test if the condition does not hold within
// readTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(readTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until " + description)
		}
	}
}

// clientResponse is a complete response as a client reads it.
type clientResponse struct {
	status int
	header http.Header
	body   string
	closes bool // the server closes the connection after this response
}

// parseResponse reads the response to a request with the given method.
func parseResponse(reader *bufio.Reader, method string) (clientResponse, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return clientResponse{}, err
	}
	body, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return clientResponse{
		status: response.StatusCode,
		header: response.Header,
		body:   string(body),
		closes: response.Close,
	}, err
}

// parseFinalResponse reads and returns a response. If the response is 100 Continue, it reads and
// returns the next response instead.
func parseFinalResponse(reader *bufio.Reader, method string) (clientResponse, error) {
	response, err := parseResponse(reader, method)
	if err == nil && response.status == http.StatusContinue {
		return parseResponse(reader, method)
	}
	return response, err
}

// mustReadResponse reads the response to a GET request. It fails the test if the response is
// malformed or incomplete.
func mustReadResponse(t *testing.T, reader *bufio.Reader) clientResponse {
	t.Helper()
	response, err := parseResponse(reader, http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// readResponse reads the response to a GET request. It fails the test if the response is malformed
// or incomplete or has another body.
func readResponse(t *testing.T, reader *bufio.Reader, body string) clientResponse {
	t.Helper()
	response := mustReadResponse(t, reader)
	if response.body != body {
		t.Fatalf("got body %.100q of %d bytes, want %.100q of %d bytes", response.body, len(response.body), body, len(body))
	}
	return response
}

// serveHooked starts the server on a loopback address and returns the address. The server passes
// each accepted connection to the function accept and uses the connection that the function
// returns.
func serveHooked(t *testing.T, server *Server, accept func(net.Conn) (net.Conn, error)) string {
	t.Helper()
	listener := listen(t)
	startServer(t, server, &hookedListener{listener, accept})
	return listener.Addr().String()
}

// dialAt returns a connection to addr. Its read deadline is readTimeout from now. The connection is
// closed at the end of the test.
func dialAt(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn := connect(t, addr)
	setReadDeadline(t, conn)
	return conn
}

// evictAll marks all connections as evicted, without changing their read deadlines.
func evictAll(_ *testing.T, s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.evicted = true
	}
}

// unreadBytes returns how many bytes can be read from a socket, up to 4096. It returns -1 if there
// are none.
func unreadBytes(t *testing.T, socket syscall.Conn) int {
	t.Helper()
	unread := 0
	control(t, socket, func(fd int) {
		unread, _, _ = syscall.Recvfrom(fd, make([]byte, 4096), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return unread
}

// control calls a function with the file descriptor of a socket.
func control(t *testing.T, socket syscall.Conn, call func(fd int)) {
	t.Helper()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { call(int(fd)) }); err != nil {
		t.Fatal(err)
	}
}

// stoppedDispatcher accepts no requests, like a dispatcher that has stopped.
type stoppedDispatcher struct{ *fakeDispatcher }

func (stoppedDispatcher) Submit(*dispatch.Request) bool { return false }

// immediateDispatcher responds in Submit and does not store the request.
type immediateDispatcher struct{ response dispatch.Response }

func (d *immediateDispatcher) Submit(r *dispatch.Request) bool {
	r.Respond(d.response)
	return true
}

func (d *immediateDispatcher) Disconnect(*dispatch.Request) {}
