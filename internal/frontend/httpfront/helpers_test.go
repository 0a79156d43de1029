package httpfront

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
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

// fakeDispatcher is a core that answers at once, unless held.
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

func (f *fakeDispatcher) setResponse(a dispatch.Response, hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.response, f.hold = a, hold
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

func newServer(f *fakeDispatcher) *Server {
	f.disconnected = make(chan *dispatch.Request, 8)
	return New(Options{Clock: clock.NewManual(1.7e12), Dispatcher: f, Ready: func() bool { return true }, Metrics: metrics.New(), MaxConnections: func() int { return 8 },
		Classes: func() []routing.Class {
			return []routing.Class{{Name: "part", Idempotency: routing.Idempotent}, {Name: "form", Idempotency: routing.IdempotentWithKey, Write: true}}
		}})
}

// dial serves one end of a loopback connection and returns the other.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		s.Shutdown()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c
}

const objectTarget = "/v1/part/7f3a9c21e0b4d655?block=3"

func getRequest(target string, head ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\n" + strings.Join(append(head, ""), "\r\n") + "\r\n"
}

func putRequest(n int, head ...string) string {
	return strings.Replace(getRequest("/v1/form/7f3a9c21e0b4d655", append(head, "X-Txn-Key: k1", "Content-Length: "+strconv.Itoa(n))...), "GET", "PUT", 1)
}

// slowClient is a client on a clock of its own: it sends a text at a pace, says
// nothing more or goes on for ever, and reads what it gets.
type slowClient struct {
	memoryConn
	clock                      *clock.Manual
	text, repeat               string
	byteInterval, readDeadline float64 // ms between bytes; when a read is over
}

func (s *slowClient) SetReadDeadline(t time.Time) error {
	s.readDeadline = s.clock.Now() + 1e9
	if !t.IsZero() {
		s.readDeadline = s.clock.Now() + clock.Millis(time.Until(t))
	}
	return nil
}

func (s *slowClient) Read(p []byte) (int, error) {
	if s.text == "" {
		s.text = s.repeat
	}
	at := s.clock.Now() + s.byteInterval
	if s.text == "" || at > s.readDeadline {
		s.clock.Advance(max(0, s.readDeadline-s.clock.Now()))
		return 0, os.ErrDeadlineExceeded
	}
	n := 1
	if s.byteInterval == 0 { // at 10 MB/s
		n = copy(p, s.text)
		at += float64(n) / 1e4
	}
	copy(p[:n], s.text)
	s.clock.Advance(at - s.clock.Now())
	s.text = s.text[n:]
	return n, nil
}

func (s *slowClient) CloseWrite() error { return nil }

// memoryConn is a connection that brings fixed bytes and keeps what is written.
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

// stoppedDispatcher is a core that has stopped.
type stoppedDispatcher struct{ *fakeDispatcher }

func (stoppedDispatcher) Submit(*dispatch.Request) bool { return false }

// immediateDispatcher is a core that answers in Submit and keeps nothing.
type immediateDispatcher struct{ response dispatch.Response }

func (c *immediateDispatcher) Submit(r *dispatch.Request) bool { r.Respond(c.response); return true }
func (c *immediateDispatcher) Disconnect(*dispatch.Request)    {}

// repeatingReader brings one text again and again.
type repeatingReader struct {
	text string
	at   int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}
