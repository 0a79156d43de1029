package textconn

import (
	"slices"
	"syscall"
	"time"
)

const (
	readAheadStep = 4 << 10   // bytes of a read; the read-ahead buffer grows by at least as many
	maxDiscarded  = 128 << 20 // bytes that one call of ReadAhead discards before it returns
)

// ReadAhead reads until a read fails, usually because the connection ends or its read deadline
// passes, and returns that error. It keeps up to limit bytes for later reads and discards the
// rest; after 128 MiB of discarded bytes it returns ErrMessageTooLong. It calls onReceived after
// each read that returns bytes. Only the reader may call ReadAhead.
//
// ReadAhead keeps reading after the first byte so that it notices the end of the connection.
// Otherwise a client that had sent one byte beyond its request could disconnect unnoticed, and
// its request was forwarded although no client waited for the response.
func (c *Conn) ReadAhead(limit int, onReceived func()) error {
	var firstByte [1]byte // keeps the buffer of an idle connection small
	var scratch []byte    // for bytes that are discarded
	for discarded := 0; discarded < maxDiscarded; {
		dst := firstByte[:]
		buffered := len(c.readAhead)
		switch {
		case buffered > 0 && buffered < limit:
			c.readAhead = slices.Grow(c.readAhead, min(max(buffered, readAheadStep), limit-buffered))
			dst = c.readAhead[buffered:min(cap(c.readAhead), limit)]
		case buffered > 0:
			if scratch == nil {
				scratch = make([]byte, readAheadStep)
			}
			dst = scratch
		}
		n, err := c.NetConn.Read(dst)
		if n > 0 {
			if buffered >= limit {
				discarded += n
				c.discarded.Store(true)
			} else {
				c.readAhead = append(c.readAhead, dst[:n]...)
			}
			onReceived()
		}
		if err != nil {
			return err
		}
	}
	return ErrMessageTooLong
}

// Discarded reports whether ReadAhead discarded bytes. If it did, later bytes on the connection
// cannot be interpreted. Any goroutine may call Discarded.
func (c *Conn) Discarded() bool { return c.discarded.Load() }

// Readable reports, without blocking, whether bytes can be read. It may clear the read deadline.
// Only the reader may call Readable.
//
// Readable is needed because a read after its deadline fails without looking at the socket. A
// connection was closed that way although a complete request was waiting in the socket.
func (c *Conn) Readable() bool {
	if c.R.Buffered() > 0 || len(c.readAhead) > 0 {
		return true
	}
	socket, ok := c.NetConn.(syscall.Conn)
	if !ok || c.NetConn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	buffer := make([]byte, readAheadStep)
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), buffer)
		return true // do not wait until the socket is readable
	})
	if err != nil || readErr != nil || n <= 0 {
		return false
	}
	c.readAhead = buffer[:n]
	c.receivedBytes = true
	return true
}
