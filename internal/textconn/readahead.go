package textconn

import (
	"syscall"
	"time"
)

const (
	readAheadStep = 4 << 10 // bytes; minimum growth of the read-ahead buffer, and size of a single read buffer

	// discardPause is the pause after each discardBurst of discarded bytes. Without it, one client that
	// sends at full speed could use most of a processor.
	discardBurst = 512 << 10 // bytes
	discardPause = time.Millisecond
)

// ReadAhead reads until a read fails, and returns the error of that read. Usually the read fails
// because the connection ends or its read deadline passes. ReadAhead keeps up to limit bytes for
// later reads and discards the rest. Before it keeps more bytes, it calls reserve with their number;
// after an error of reserve it keeps no more. It calls onReceived after each read that returns bytes.
// Only the reader may call ReadAhead.
//
// ReadAhead keeps reading after the first byte so that it notices the end of the connection. If it
// stopped after that byte, a client that sends one byte beyond its request could disconnect
// unnoticed. Its request would be forwarded although no client waits for the response.
func (c *Conn) ReadAhead(limit int, reserve func(bytes int) error, onReceived func()) error {
	var firstByte [1]byte // an idle connection needs no larger buffer
	var scratch []byte    // receives the bytes that are discarded
	for discarded := 0; ; {
		dst := firstByte[:]
		buffered := len(c.readAhead)
		switch {
		case c.Discarded() || buffered >= limit || buffered > 0 && !c.growReadAhead(limit, reserve):
			if scratch == nil {
				scratch = make([]byte, readAheadStep)
			}
			dst = scratch
		case buffered > 0:
			dst = c.readAhead[buffered:min(cap(c.readAhead), limit)]
		}
		n, err := c.NetConn.Read(dst)
		if n > 0 {
			if scratch == nil {
				c.readAhead = append(c.readAhead, dst[:n]...)
			} else {
				discarded += n
				c.discarded.Store(true)
			}
			onReceived()
		}
		if err != nil {
			return err
		}
		if discarded >= discardBurst {
			discarded = 0
			time.Sleep(discardPause)
		}
	}
}

// growReadAhead makes room for more bytes in readAhead. It returns false if reserve does.
func (c *Conn) growReadAhead(limit int, reserve func(bytes int) error) bool {
	buffered := len(c.readAhead)
	if buffered < min(cap(c.readAhead), limit) {
		return true
	}
	added := min(max(buffered, readAheadStep), limit-buffered)
	if reserve(added) != nil {
		return false
	}
	c.readAhead = append(make([]byte, 0, buffered+added), c.readAhead...)
	return true
}

// HasReadAhead reports whether bytes that ReadAhead or Readable has read wait for later reads. Only
// the reader may call HasReadAhead.
func (c *Conn) HasReadAhead() bool { return len(c.readAhead) > 0 }

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
	if c.R.Buffered() > 0 || c.HasReadAhead() {
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
