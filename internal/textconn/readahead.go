package textconn

import (
	"slices"
	"syscall"
	"time"
)

const (
	readAheadStep = 4 << 10   // bytes; minimum growth of the read-ahead buffer, and size of a single read buffer
	maxDiscarded  = 128 << 20 // bytes; ReadAhead returns after it has discarded this number of bytes
)

// ReadAhead reads until a read fails, and returns the error of that read. Usually the read fails
// because the connection ends or its read deadline passes. ReadAhead keeps up to limit bytes for
// later reads and discards the rest. After 128 MiB of discarded bytes, it returns
// ErrMessageTooLong. It calls onReceived after each read that returns bytes. Only the reader may
// call ReadAhead.
//
// ReadAhead keeps reading after the first byte so that it notices the end of the connection. If it
// stopped after that byte, a client that sends one byte beyond its request could disconnect
// unnoticed. Its request would be forwarded although no client waits for the response.
func (c *Conn) ReadAhead(limit int, onReceived func()) error {
	var firstByte [1]byte // an idle connection needs no larger buffer
	var scratch []byte    // receives the bytes that are discarded
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

// Discarded reports whether ReadAhead discarded bytes. If it did, the reader cannot interpret later
// bytes on the connection. Any goroutine may call Discarded.
func (c *Conn) Discarded() bool { return c.discarded.Load() }

// Readable reports, without blocking, whether bytes can be read. It may clear the read deadline.
// Only the reader may call Readable.
//
// After the read deadline, Read cannot answer this question, because it fails without looking at
// the socket. Without Readable, a connection could be closed although a complete request waits in
// the socket.
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
