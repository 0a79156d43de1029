package main

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"garnetline/internal/daemontest"
	"garnetline/internal/platformconfig"
)

// newInheritedSocket returns a socket that listens, as another process would pass it on, and its address.
func newInheritedSocket(t *testing.T) (socket *os.File, addr string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	socket, err = listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket, listener.Addr().String()
}

// dialSocket returns a connection to addr.
func dialSocket(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// TestInheritedSocketInBlockingMode guards against a process that stands still in an accept, because another holder of
// the inherited socket has made it blocking: the accept still takes connections, and closing the listener ends it.
func TestInheritedSocketInBlockingMode(t *testing.T) {
	const closeTimeout = time.Second
	inherited, addr := newInheritedSocket(t)
	descriptor, err := unix.Dup(int(inherited.Fd())) // openListener closes it
	if err != nil {
		t.Fatal(err)
	}
	listener, err := openListener(t.Context(), &platformconfig.Config{ListenFD: descriptor})
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(int(inherited.Fd()), false); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error)
	go func() {
		for {
			conn, err := listener.Accept()
			if err == nil {
				err = conn.Close()
			}
			accepted <- err
			if err != nil {
				return
			}
		}
	}()
	for range 3 {
		conn := dialSocket(t, addr)
		if err := <-accepted; err != nil {
			t.Errorf("accept: %v", err)
		}
		_ = conn.Close()
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = listener.Close()
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		t.Error("the listener is not closed, because an accept waits in the kernel")
		_ = dialSocket(t, addr) // ends that accept
	}
	select {
	case err := <-accepted:
		if err == nil {
			t.Error("got a connection after the close")
		}
	case <-time.After(daemontest.Timeout):
		t.Error("the accept does not end after the close")
	}
}

// TestInheritedDescriptorIsNoListener checks that a descriptor that cannot be listened on is rejected at the start.
func TestInheritedDescriptorIsNoListener(t *testing.T) {
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "udp", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	socket, err := conn.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	for name, descriptor := range map[string]uintptr{"file": file.Fd(), "UDP socket": socket.Fd(), "closed": 1 << 20} {
		if _, err := openListener(t.Context(), &platformconfig.Config{ListenFD: int(descriptor)}); err == nil || !strings.Contains(err.Error(), "EDGE_LISTEN_FD") {
			t.Errorf("%s: got error %v, want one that names EDGE_LISTEN_FD", name, err)
		}
	}
}

// TestInheritedListenerDropsResetConnections guards against connections without a remote address: a client has reset
// its connection before it is accepted.
func TestInheritedListenerDropsResetConnections(t *testing.T) {
	inherited, addr := newInheritedSocket(t)
	listener, err := newInheritedListener(int(inherited.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for range 5 {
		reset := dialSocket(t, addr)
		_ = reset.SetLinger(0) // the close sends a reset
		_ = reset.Close()
	}
	open := dialSocket(t, addr)
	defer func() { _ = open.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if got, want := accepted.RemoteAddr(), open.LocalAddr(); got == nil || got.String() != want.String() {
		t.Errorf("got a connection of %v, want the one of %v, whose client has not reset it", got, want)
	}
}
