package textconn

import (
	"slices"
	"syscall"
	"time"
)

const (
	readAheadStep = 4 << 10   // bytes, by which the buffer read ahead grows at first
	maxDiscarded  = 128 << 20 // bytes dropped by one ReadAhead before it returns
)

// ReadAhead reads until the connection ends or its read deadline passes, and returns that
// error. It keeps up to limit bytes for the next reads and drops the rest; after 128 MB of
// those it returns ErrMessageTooLong. It calls received for each piece. It is the reader's:
// nobody else may read meanwhile.
//
// Symptom guarded against: a client that had sent one byte beyond its request could
// disconnect unnoticed, and its request was forwarded though nobody waited for it.
func (c *Conn) ReadAhead(limit int, received func()) error {
	var firstByte [1]byte // an idle connection needs no larger buffer
	var scratch []byte    // for bytes that are dropped
	for dropped := 0; dropped < maxDiscarded; {
		dst := firstByte[:]
		held := len(c.readAhead)
		switch {
		case held > 0 && held < limit:
			c.readAhead = slices.Grow(c.readAhead, min(max(held, readAheadStep), limit-held))
			dst = c.readAhead[held:min(cap(c.readAhead), limit)]
		case held > 0:
			if scratch == nil {
				scratch = make([]byte, readAheadStep)
			}
			dst = scratch
		}
		n, err := c.NetConn.Read(dst)
		if n > 0 {
			if held >= limit {
				dropped += n
				c.discarded.Store(true)
			} else {
				c.readAhead = append(c.readAhead, dst[:n]...)
			}
			received()
		}
		if err != nil {
			return err
		}
	}
	return ErrMessageTooLong
}

// Discarded reports whether ReadAhead dropped bytes: nothing that follows on the connection
// can be understood. Any goroutine may call it.
func (c *Conn) Discarded() bool { return c.discarded.Load() }

// Readable reports whether something can be read, without waiting for it. It takes away the
// read deadline. It is the reader's.
//
// Symptom guarded against: a read whose deadline has passed does not look at the socket at
// all, and a connection was closed though a complete request lay there.
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
