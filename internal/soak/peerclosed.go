package soak

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosed reports whether the other side has closed or reset the connection. It reads nothing.
func (c *client) peerClosed() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(descriptor uintptr) {
		events := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		for {
			count, pollErr := unix.Poll(events, 0)
			if errors.Is(pollErr, syscall.EINTR) {
				continue
			}
			closed = pollErr != nil || count > 0
			return
		}
	})
	return closed || err != nil
}
