package textconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (server, client net.Conn) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err = new(net.Dialer).DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = server.Close()
		_ = client.Close()
	})
	return server, client
}

// TestGateAdmitsOneReader checks that a reader behind a gate waits until the reader before it reads again
// or leaves the gate.
func TestGateAdmitsOneReader(t *testing.T) {
	gate := NewGate(1)
	lines := make(chan string)
	read := func(conn *Conn) {
		line, err := conn.ReadLine()
		if err != nil {
			line = err.Error()
		}
		lines <- line
	}
	var conns []*Conn
	for range 2 {
		server, client := connect(t)
		conn := New(server)
		conn.SetGate(gate)
		conn.LimitRead(100)
		conns = append(conns, conn)
		if _, err := io.WriteString(client, "line\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	go read(conns[0])
	if line := <-lines; line != "line" {
		t.Fatalf("got %q, want the line", line)
	}
	go read(conns[1])
	select {
	case line := <-lines:
		t.Errorf("got %q from the second reader while the first is behind the gate", line)
	case <-time.After(20 * time.Millisecond):
	}
	conns[0].LeaveGate()
	if line := <-lines; line != "line" {
		t.Errorf("got %q from the second reader, want the line", line)
	}
}

// TestPeerClosedBehindUnreadBytes checks that the end of a connection is seen although bytes before it were
// not read.
func TestPeerClosedBehindUnreadBytes(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			server, client := connect(t)
			conn := New(server)
			if _, err := io.WriteString(client, "unread"); err != nil {
				t.Fatal(err)
			}
			if _, err := bufio.NewReaderSize(server, 16).Peek(1); err != nil {
				t.Fatal(err)
			}
			if conn.PeerClosed() {
				t.Error("got a closed connection while the client keeps it open")
			}
			if err := client.(*net.TCPConn).SetLinger(linger); err != nil {
				t.Fatal(err)
			}
			_ = client.Close()
			for deadline := time.Now().Add(10 * time.Second); !conn.PeerClosed(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("got an open connection after the client has closed it")
				}
			}
		})
	}
}

// TestReadAheadLeavesBytesInSocket checks that ReadAhead leaves what it may not keep in the socket, that later
// reads get each byte, and that ReceivedBytes tells the bytes that waited there from later ones.
func TestReadAheadLeavesBytesInSocket(t *testing.T) {
	const limit, total = 8 << 10, 40 << 10
	server, client := connect(t)
	conn := New(server)
	text := strings.Repeat("0123456789abcdef", total/16)
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
	arrived, ended := make(chan struct{}), make(chan error)
	go func() {
		ended <- conn.ReadAhead(limit, func(int) error { return nil }, func() {
			if len(conn.readAhead)+conn.unread == total {
				close(arrived)
			}
		})
	}()
	<-arrived
	_ = server.SetReadDeadline(time.Now())
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) || len(conn.readAhead) != limit {
		t.Fatalf("got error %v with %d bytes kept, want a timeout and %d bytes", err, len(conn.readAhead), limit)
	}
	_ = server.SetReadDeadline(time.Time{})
	conn.LimitRead(total + 1)
	conn.BeginMessage()
	if body, err := conn.ReadBody(total); err != nil || string(body) != text || conn.ReceivedBytes() {
		t.Errorf("got %d bytes, error %v, received %v; want the bytes that waited in the socket", len(body), err, conn.ReceivedBytes())
	}
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	if body, err := conn.ReadBody(1); err != nil || string(body) != "x" || !conn.ReceivedBytes() {
		t.Errorf("got %q, error %v, received %v; want a byte that arrived later", body, err, conn.ReceivedBytes())
	}
}
