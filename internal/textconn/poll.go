package textconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// endEvents are the events of a connection that the peer has closed or reset.
const endEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// PeerClosed reports whether the peer has closed or reset the connection, also if bytes that the peer
// sent before are still unread. It reads nothing and does not block. It returns false if the system
// cannot tell. Any goroutine may call PeerClosed.
func (c *Conn) PeerClosed() bool {
	return c.poll(unix.POLLRDHUP)&endEvents != 0
}

// HasUnread reports whether bytes of the peer wait in the system. It does not block. Any goroutine may
// call HasUnread.
func (c *Conn) HasUnread() bool { return c.poll(unix.POLLIN)&unix.POLLIN != 0 }

// UnacknowledgedBytes returns how many written bytes the peer's system has not acknowledged yet. It returns 0 if
// the system cannot tell. Any goroutine may call UnacknowledgedBytes.
func (c *Conn) UnacknowledgedBytes() (unacknowledged int) {
	c.control(func(descriptor int) {
		if bytes, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ); err == nil {
			unacknowledged = bytes
		}
	})
	return unacknowledged
}

// poll asks the system which of the events hold for the socket now. It returns 0 if the system cannot
// tell.
func (c *Conn) poll(events int16) (held int16) {
	c.control(func(descriptor int) { held = pollDescriptor(int32(descriptor), events) })
	return held
}

// control calls ask with the descriptor of the socket, unless the connection is closed or is no socket.
func (c *Conn) control(ask func(descriptor int)) {
	raw, err := c.rawConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { ask(int(descriptor)) })
}

// errNoSocket reports a connection that is not a socket, so that the system cannot be asked about it.
var errNoSocket = errors.New("textconn: the connection is not a socket")

// rawConn gives access to the socket.
func (c *Conn) rawConn() (syscall.RawConn, error) {
	socket, ok := c.NetConn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

func pollDescriptor(descriptor int32, events int16) int16 {
	sockets := []unix.PollFd{{Fd: descriptor, Events: events}}
	for {
		_, err := unix.Poll(sockets, 0)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return 0
		}
		return sockets[0].Revents
	}
}
