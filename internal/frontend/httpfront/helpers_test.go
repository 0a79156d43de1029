package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// fakeDispatcher responds to each request at once, or keeps it open if hold is set.
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

// startTime is what the clock of newServer shows.
const startTime = 1.7e12

// servedX is a response whose body is "x".
var servedX = dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}

// newServer returns a server with two classes: part is read, form is written.
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

// startServer has the server accept connections of a listener. It is shut down at the end of
// the test, after the connections that connect returned later have been closed.
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

// connect returns a connection to addr. It is closed at the end of the test, unless the test
// has closed it.
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

// closeConn closes a connection.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// send writes a text that must be written whole.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// sendInBackground writes a text while the test reads the response. The server may close the
// connection before it has read all of it, so that errors do not matter.
func sendInBackground(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(conn, text)
	}()
	t.Cleanup(func() {
		_ = conn.SetWriteDeadline(time.Now()) // fails if the connection is closed, and ends the write
		<-written
	})
}

// setReadDeadline ends reads of a connection after readTimeout.
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

// objectTarget is the target of a read.
const objectTarget = "/v1/part/7f3a9c21e0b4d655?block=3"

// getRequest returns a request with the mandatory headers and those given.
func getRequest(target string, headers ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\n" +
		strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// putRequest returns the head of a write whose body has a length.
func putRequest(length int, headers ...string) string {
	headers = append(headers, "X-Txn-Key: k1", "Content-Length: "+strconv.Itoa(length))
	return strings.Replace(getRequest("/v1/form/7f3a9c21e0b4d655", headers...), "GET", "PUT", 1)
}

// slowClient is a connection to a client that sends a text at a pace, on a manual clock, and
// then sends nothing more or another text without end.
type slowClient struct {
	memoryConn
	clock        *clock.Manual
	text         string
	repeat       string  // sent again and again after text
	byteInterval float64 // ms between two bytes; 0: 10 MB/s
	readDeadline float64
}

func (s *slowClient) SetReadDeadline(t time.Time) error {
	s.readDeadline = s.clock.Now() + 1e9
	if !t.IsZero() {
		s.readDeadline = s.clock.Now() + clock.Millis(time.Until(t))
	}
	return nil
}

func (s *slowClient) Read(buffer []byte) (int, error) {
	if s.text == "" {
		s.text = s.repeat
	}
	at := s.clock.Now() + s.byteInterval
	if s.text == "" || at > s.readDeadline {
		s.clock.Advance(max(0, s.readDeadline-s.clock.Now()))
		return 0, os.ErrDeadlineExceeded
	}
	n := 1
	if s.byteInterval == 0 {
		n = copy(buffer, s.text)
		at += float64(n) / 1e4
	}
	copy(buffer[:n], s.text)
	s.clock.Advance(at - s.clock.Now())
	s.text = s.text[n:]
	return n, nil
}

func (s *slowClient) CloseWrite() error { return nil }

// memoryConn is a connection that reads from in and keeps what is written.
type memoryConn struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (m *memoryConn) Read(p []byte) (int, error)       { return m.in.Read(p) }
func (m *memoryConn) Write(p []byte) (int, error)      { return m.out.Write(p) }
func (m *memoryConn) Close() error                     { return nil }
func (m *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (m *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// readTimeout bounds how long a test waits for a response or a condition.
const readTimeout = 20 * time.Second

// waitFor waits until a condition holds, for readTimeout at most.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(readTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// clientResponse is a complete response as a client reads it.
type clientResponse struct {
	status int
	header http.Header
	body   string
	closes bool // the connection is closed after it
}

// parseResponse reads a response to a request with a method.
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

// parseFinalResponse reads responses up to the first that is not 100 Continue.
func parseFinalResponse(reader *bufio.Reader, method string) (clientResponse, error) {
	for {
		response, err := parseResponse(reader, method)
		if err != nil || response.status != http.StatusContinue {
			return response, err
		}
	}
}

// mustReadResponse reads a response to a GET request, which must be complete.
func mustReadResponse(t *testing.T, reader *bufio.Reader) clientResponse {
	t.Helper()
	response, err := parseResponse(reader, http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// readResponse reads a response, which must be complete and have this body.
func readResponse(t *testing.T, reader *bufio.Reader, body string) clientResponse {
	t.Helper()
	response := mustReadResponse(t, reader)
	if response.body != body {
		t.Fatalf("body %.100q of %d bytes, want %.100q of %d", response.body, len(response.body), body, len(body))
	}
	return response
}

// gatedConn is a connection whose reads each wait for a value on gate, and which signals
// that a read deadline was set.
type gatedConn struct {
	*net.TCPConn
	gate        chan bool
	deadlineSet chan bool
	deadline    atomic.Pointer[time.Time] // of reads, as it was set last
}

func newGatedConn() *gatedConn {
	return &gatedConn{gate: make(chan bool), deadlineSet: make(chan bool, 1)}
}

// accept is for serveHooked.
func (g *gatedConn) accept(conn net.Conn) (net.Conn, error) {
	g.TCPConn = conn.(*net.TCPConn)
	return g, nil
}

func (g *gatedConn) Read(p []byte) (int, error) {
	<-g.gate
	return g.TCPConn.Read(p)
}

func (g *gatedConn) SetReadDeadline(t time.Time) error {
	err := g.TCPConn.SetReadDeadline(t)
	g.deadline.Store(&t)
	select {
	case g.deadlineSet <- true:
	default:
	}
	return err
}

// deadlinePassed reports whether the read deadline that was set last is in the past.
func (g *gatedConn) deadlinePassed() bool {
	deadline := g.deadline.Load()
	return deadline != nil && !deadline.IsZero() && deadline.Before(time.Now())
}

// hookedListener passes accepted connections through a function of the test.
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

// serveHooked starts the server on a loopback address, passes accepted connections through
// accept, and returns the address.
func serveHooked(t *testing.T, server *Server, accept func(net.Conn) (net.Conn, error)) string {
	t.Helper()
	listener := listen(t)
	startServer(t, server, &hookedListener{listener, accept})
	return listener.Addr().String()
}

// dialAt returns a connection to addr whose reads end after readTimeout. It is closed at the
// end of the test.
func dialAt(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn := connect(t, addr)
	setReadDeadline(t, conn)
	return conn
}

// singleByteConn returns one byte from each read.
type singleByteConn struct{ *net.TCPConn }

func (c singleByteConn) Read(p []byte) (int, error) { return c.TCPConn.Read(p[:1]) }

// evictionOnlyConn is a connection whose reads do not time out, but for those that are ended
// at once.
type evictionOnlyConn struct{ *net.TCPConn }

func (c evictionOnlyConn) SetReadDeadline(t time.Time) error {
	if t.After(time.Now()) {
		t = time.Time{}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// evictAll marks all connections as evicted.
func evictAll(_ *testing.T, s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.evicted = true
	}
}

// waitReadAheadOverflow waits until more was read ahead than is kept.
func waitReadAheadOverflow(t *testing.T, server *Server) {
	t.Helper()
	waitFor(t, "bytes are discarded", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for c := range server.conns {
			return c.text.Discarded()
		}
		return false
	})
}

// unreadBytes returns how many bytes wait to be read from a socket; -1 stands for none.
func unreadBytes(t *testing.T, socket syscall.Conn) int {
	t.Helper()
	unread := 0
	control(t, socket, func(fd int) {
		unread, _, _ = syscall.Recvfrom(fd, make([]byte, 4096), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return unread
}

// control calls a function with the descriptor of a socket.
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

// stoppedDispatcher is a dispatcher that has stopped.
type stoppedDispatcher struct{ *fakeDispatcher }

func (stoppedDispatcher) Submit(*dispatch.Request) bool { return false }

// immediateDispatcher responds in Submit and keeps nothing.
type immediateDispatcher struct{ response dispatch.Response }

func (d *immediateDispatcher) Submit(r *dispatch.Request) bool {
	r.Respond(d.response)
	return true
}

func (d *immediateDispatcher) Disconnect(*dispatch.Request) {}

// repeatingReader reads one text again and again.
type repeatingReader struct {
	text string
	at   int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}
