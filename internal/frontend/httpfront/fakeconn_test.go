package httpfront

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
)

// slowClient is a connection to a client that sends at a limited speed on a manual clock. The
// client sends the field text once. It then sends the field repeat without end, or nothing if
// repeat is empty.
type slowClient struct {
	memoryConn
	clock        *clock.Manual
	text         string
	repeat       string  // sent repeatedly after the field text; if empty, nothing is sent
	byteInterval float64 // ms between two bytes; 0: 10 MB/s
	readDeadline float64 // time on clock in ms
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

// memoryConn is a connection whose reads return the bytes of the field in. It stores written bytes
// in the field out.
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
func (m *memoryConn) SetDeadline(time.Time) error      { return nil }

// gatedConn is a connection whose reads wait for the channel gate. Each read begins when it
// receives a value from gate or when gate is closed. SetReadDeadline sends a value on the channel
// deadlineSet.
type gatedConn struct {
	*net.TCPConn
	gate        chan bool
	deadlineSet chan bool
	deadline    atomic.Pointer[time.Time] // the read deadline that was set last
}

func newGatedConn() *gatedConn {
	return &gatedConn{gate: make(chan bool), deadlineSet: make(chan bool, 1)}
}

// accept makes g wrap an accepted connection. Tests pass this method to serveHooked.
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

// hookedListener passes each accepted connection to its function accept. Its Accept method returns
// the result of that function.
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

// singleByteConn is a connection whose reads return one byte each.
type singleByteConn struct{ *net.TCPConn }

func (c singleByteConn) Read(p []byte) (int, error) { return c.TCPConn.Read(p[:1]) }

// evictionOnlyConn is a connection that ignores read deadlines in the future. A deadline that is
// not in the future still ends reads immediately. An eviction sets such a deadline.
type evictionOnlyConn struct{ *net.TCPConn }

func (c evictionOnlyConn) SetReadDeadline(t time.Time) error {
	if t.After(time.Now()) {
		t = time.Time{}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// repeatingReader is an endless reader that repeats a text.
type repeatingReader struct {
	text   string
	offset int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	return n, nil
}
