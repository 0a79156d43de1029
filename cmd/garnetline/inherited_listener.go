package main

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxRegisterAttempts bounds the attempts to register the socket with the runtime's poller.
const maxRegisterAttempts = 100

var (
	errNotPollable = errors.New("the socket cannot be watched for connections")
	errNotTCP      = errors.New("not a TCP socket that listens")
)

// inheritedListener is a net.Listener on a socket that other processes hold too. Whether an accept waits in the
// kernel is a property of the socket, which each holder can change at any time. The listener of package net calls
// accept first and waits in the runtime's poller only if accept tells it to, so it may stay in the kernel until a
// connection comes, and so may its Close.
//
// This listener waits in the poller first, and makes the socket non-blocking right before each accept.
type inheritedListener struct {
	file   *os.File // registered with the poller
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// newInheritedListener returns a listener on a duplicate of the descriptor.
func newInheritedListener(descriptor int) (*inheritedListener, error) {
	addr, err := listeningAddr(descriptor)
	if err != nil {
		return nil, err
	}
	file, err := openPollable(descriptor)
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &inheritedListener{file: file, raw: raw, addr: addr}, nil
}

// listeningAddr returns the address of a TCP socket that listens.
func listeningAddr(descriptor int) (*net.TCPAddr, error) {
	listens, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return nil, err
	}
	name, err := unix.Getsockname(descriptor)
	if err != nil {
		return nil, err
	}
	if listens == 0 {
		return nil, errNotTCP
	}
	switch inet := name.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: inet.Addr[:], Port: inet.Port}, nil
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: inet.Addr[:], Port: inet.Port}, nil
	}
	return nil, errNotTCP
}

// openPollable returns a file on a duplicate of the descriptor that is registered with the poller. Package os
// registers only descriptors that are non-blocking when the file is created.
func openPollable(descriptor int) (*os.File, error) {
	for range maxRegisterAttempts {
		if err := unix.SetNonblock(descriptor, true); err != nil {
			return nil, err
		}
		duplicate, err := unix.FcntlInt(uintptr(descriptor), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			return nil, err
		}
		file := os.NewFile(uintptr(duplicate), "listen")
		if file.SetReadDeadline(time.Time{}) == nil {
			return file, nil
		}
		_ = file.Close() // another holder has made the socket blocking meanwhile
	}
	return nil, errNotPollable
}

// Accept waits for a connection and returns it. It drops connections that their clients have reset meanwhile: they
// have no remote address any more.
func (l *inheritedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptOne()
		if err != nil || conn.RemoteAddr() != nil {
			return conn, err
		}
		_ = conn.Close()
	}
}

// acceptOne waits for a connection and returns it.
func (l *inheritedListener) acceptOne() (net.Conn, error) {
	var accepted int
	var acceptErr error
	err := l.raw.Read(func(descriptor uintptr) (done bool) {
		if !hasConnection(descriptor) {
			return false
		}
		accepted, acceptErr = acceptNow(int(descriptor))
		return !errors.Is(acceptErr, unix.EAGAIN) // another process may have taken the connection
	})
	switch {
	case l.closed.Load() && (err != nil || acceptErr != nil):
		return nil, net.ErrClosed
	case err != nil:
		return nil, err
	case acceptErr != nil:
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	file := os.NewFile(uintptr(accepted), "connection")
	defer file.Close() //nolint:errcheck // the connection uses a duplicate of the descriptor
	return net.FileConn(file)
}

// hasConnection reports, without waiting, whether a connection can be accepted, or accept reports an error.
func hasConnection(descriptor uintptr) bool {
	sockets := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
	ready, err := unix.Poll(sockets, 0)
	return err != nil || ready > 0
}

// acceptNow accepts a connection that waits.
func acceptNow(descriptor int) (accepted int, err error) {
	if err := unix.SetNonblock(descriptor, true); err != nil {
		return 0, err
	}
	for {
		accepted, _, err = unix.Accept4(descriptor, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if !errors.Is(err, unix.EINTR) {
			return accepted, err
		}
	}
}

// Close ends a pending Accept.
func (l *inheritedListener) Close() error {
	l.closed.Store(true)
	return l.file.Close()
}

// Addr returns the address of the socket.
func (l *inheritedListener) Addr() net.Addr { return l.addr }

// SetDeadline makes pending and later calls of Accept fail after a time.
func (l *inheritedListener) SetDeadline(deadline time.Time) error {
	return l.file.SetReadDeadline(deadline)
}
