package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// tcpPair holds a listener of the endpoint b, and the proxy's address through which the endpoint a
// connects to the listener.
type tcpPair struct {
	proxy    *Proxy
	listener *net.TCPListener
	address  string
}

func newTCPPair(t *testing.T) *tcpPair {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: loopback})
	if err != nil {
		t.Fatal(err)
	}
	closeAfter(t, listener)
	proxy := newProxy(t, 2)
	address, err := proxy.TCP("a", "b", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return &tcpPair{proxy: proxy, listener: listener, address: address}
}

// closeAfter closes a socket when the test ends.
func closeAfter(t *testing.T, socket io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
	})
}

// dial returns a's end of a new connection. The proxy accepts the connection even while a fault is
// set.
func (p *tcpPair) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: arrivalTimeout}).DialContext(t.Context(), "tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	closeAfter(t, conn)
	return conn
}

// acceptWithin returns b's end of the next connection, or an error if no connection arrives within
// the timeout.
func (p *tcpPair) acceptWithin(t *testing.T, timeout time.Duration) (net.Conn, error) {
	t.Helper()
	if err := p.listener.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := p.listener.Accept()
	if err == nil {
		closeAfter(t, conn)
	}
	return conn, err
}

// connect returns both ends of a new connection.
func (p *tcpPair) connect(t *testing.T) (connA, connB net.Conn) {
	t.Helper()
	connA = p.dial(t)
	connB, err := p.acceptWithin(t, arrivalTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return connA, connB
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// read returns the next size bytes of a connection. If fewer bytes arrive within the timeout, read
// returns these bytes and an error.
func read(t *testing.T, conn net.Conn, size int, timeout time.Duration) (string, error) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, size)
	n, err := io.ReadFull(conn, buffer)
	return string(buffer[:n]), err
}

// expect fails the test unless the next bytes of a connection are the expected text.
func expect(t *testing.T, conn net.Conn, expected string) {
	t.Helper()
	got, err := read(t, conn, len(expected), arrivalTimeout)
	if err != nil || got != expected {
		t.Fatalf("read %q, error %v; want %q", got, err, expected)
	}
}

// expectNothing fails the test if data arrives on a connection, or the connection ends, within
// quietPeriod.
func expectNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	got, err := read(t, conn, 1, quietPeriod)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %q, error %v; want nothing for %v", got, err, quietPeriod)
	}
}

func TestStreamIsForwardedBothWays(t *testing.T) {
	connA, connB := newTCPPair(t).connect(t)
	write(t, connA, "there")
	write(t, connB, "back")
	expect(t, connB, "there")
	expect(t, connA, "back")
}

func TestPartitionHoldsOneDirectionOfStream(t *testing.T) {
	pair := newTCPPair(t)
	connA, connB := pair.connect(t)
	pair.proxy.Set("a", "b", Fault{Partitioned: true})
	write(t, connA, "late")
	write(t, connB, "free")
	expect(t, connA, "free")
	expectNothing(t, connB)
	pair.proxy.Heal()
	expect(t, connB, "late")
}

func TestConnectionIsEstablishedAfterPartition(t *testing.T) {
	pair := newTCPPair(t)
	pair.proxy.Set("a", "b", Fault{Partitioned: true})
	pair.dial(t)
	if _, err := pair.acceptWithin(t, quietPeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("accept during the partition: got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	pair.proxy.Heal()
	if _, err := pair.acceptWithin(t, arrivalTimeout); err != nil {
		t.Errorf("accept after the partition: %v", err)
	}
}

func TestHalfCloseEndsOneDirectionOfStream(t *testing.T) {
	pair := newTCPPair(t)
	connA, connB := pair.connect(t)
	pair.proxy.Set("a", "b", Fault{HalfClosed: true})
	write(t, connA, "x")
	if got, err := read(t, connB, 1, arrivalTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("closed direction: read %q, error %v; want %v", got, err, io.EOF)
	}
	write(t, connB, "open")
	expect(t, connA, "open")

	pair.proxy.Heal()
	healedA, healedB := pair.connect(t)
	write(t, healedA, "healed")
	expect(t, healedB, "healed")
}

func TestStreamThroughputIsLimited(t *testing.T) {
	const (
		size           = 50_000
		bytesPerSecond = 100_000
		least          = 400 * time.Millisecond // half a second, less some tolerance
	)
	pair := newTCPPair(t)
	connA, connB := pair.connect(t)
	pair.proxy.Set("a", "b", Fault{BytesPerSecond: bytesPerSecond})
	for _, conn := range []net.Conn{connA, connB} {
		if err := conn.SetDeadline(time.Now().Add(arrivalTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	startedAt := time.Now()
	written := make(chan error, 1)
	go func() {
		_, err := connA.Write(bytes.Repeat([]byte("x"), size))
		written <- err
	}()
	if _, err := io.CopyN(io.Discard, connB, size); err != nil {
		t.Error(err)
	}
	if elapsed := time.Since(startedAt); elapsed < least {
		t.Errorf("%d bytes at %d bytes a second took %v, want %v or more", size, bytesPerSecond, elapsed, least)
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}

// Close must not wait for the end of a partition.
func TestCloseEndsStreamsDuringPartition(t *testing.T) {
	pair := newTCPPair(t)
	connA, connB := pair.connect(t)
	pair.proxy.Set("a", "b", Fault{Partitioned: true})
	write(t, connA, "never")
	pair.proxy.Close()
	if got, err := read(t, connB, 1, arrivalTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %q, error %v; want a closed connection", got, err)
	}
}
