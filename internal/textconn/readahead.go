package textconn

import (
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readAheadStep is the minimum growth of the read-ahead buffer, and the size of a single read buffer, in
// bytes.
const readAheadStep = 4 << 10

// ReadAhead reads until the connection ends or its read deadline passes, and returns the error. It keeps
// up to limit bytes for later reads. Before it keeps more bytes, it calls reserve with their number. When
// the limit is reached or reserve returns an error, further bytes stay in the socket, so that TCP holds
// the peer back; ReadAhead then waits for the end of the connection without reading. It calls onReceived
// each time that bytes arrive. Only the reader may call ReadAhead.
//
// ReadAhead goes on after the first byte so that it notices the end of the connection. If it stopped
// after that byte, a client that sends one byte beyond its request could disconnect unnoticed. Its
// request would be forwarded although no client waits for the response.
func (c *Conn) ReadAhead(limit int, reserve func(bytes int) error, onReceived func()) error {
	for len(c.readAhead) < limit && c.growReadAhead(limit, reserve) {
		n, err := c.readIntoReadAhead(limit)
		if n > 0 && c.countUnread(n) {
			onReceived()
		}
		if err != nil {
			return err
		}
	}
	return c.awaitEnd(onReceived)
}

// readIntoReadAhead appends the bytes of one read to readAhead. For the first byte it needs no room in
// readAhead, so that an idle connection has no larger buffer.
func (c *Conn) readIntoReadAhead(limit int) (int, error) {
	buffered := len(c.readAhead)
	if buffered == 0 {
		var firstByte [1]byte
		n, err := c.NetConn.Read(firstByte[:])
		c.setReadAhead(append([]byte(nil), firstByte[:n]...))
		return n, err
	}
	n, err := c.NetConn.Read(c.limitToUnread(c.readAhead[buffered:min(cap(c.readAhead), limit)]))
	c.readAhead = c.readAhead[:buffered+n]
	return n, err
}

// setReadAhead makes a buffer with its bytes the content of readAhead.
func (c *Conn) setReadAhead(buffer []byte) {
	c.readAhead = buffer
	c.readAheadBuffer = buffer[:0]
}

// growReadAhead makes room for more bytes in readAhead, unless it is empty. It returns false if reserve
// returns an error. What reserve has allowed since readAhead was empty last is the size of its buffer.
func (c *Conn) growReadAhead(limit int, reserve func(bytes int) error) bool {
	buffered := len(c.readAhead)
	if buffered == 0 || buffered < min(cap(c.readAhead), limit) {
		return true
	}
	if buffered < cap(c.readAheadBuffer) { // earlier bytes were consumed
		c.readAhead = append(c.readAheadBuffer, c.readAhead...)
		return true
	}
	added := min(max(buffered, readAheadStep), limit-buffered)
	if reserve(added) != nil {
		return false
	}
	c.setReadAhead(append(make([]byte, 0, buffered+added), c.readAhead...))
	return true
}

// AwaitEnd waits until the peer has closed or reset the connection, or the read deadline passes, and returns the
// error. It reads nothing. Only the reader may call AwaitEnd.
func (c *Conn) AwaitEnd() error { return c.awaitEnd(func() {}) }

// awaitEnd waits until the peer has closed or reset the connection, or the read deadline passes. It reads
// nothing. The system reports each arrival of bytes and the end of the connection, also behind bytes that
// are unread.
func (c *Conn) awaitEnd(onReceived func()) error {
	raw, err := c.rawConn()
	if err != nil {
		return err
	}
	err = raw.Read(func(descriptor uintptr) (ended bool) {
		if c.recordUnread(int(descriptor)) {
			onReceived()
		}
		return pollDescriptor(int32(descriptor), unix.POLLRDHUP)&endEvents != 0
	})
	if err != nil {
		return err
	}
	return io.EOF
}

// recordUnread records how many bytes wait in the socket, and reports whether more have arrived since it
// was called last.
func (c *Conn) recordUnread(descriptor int) (arrived bool) {
	unread, err := unix.IoctlGetInt(descriptor, unix.SIOCINQ)
	if err != nil {
		return false
	}
	arrived = unread > c.unread
	c.unread = unread
	return arrived
}

// limitToUnread cuts a buffer so that a read into it returns only bytes that recordUnread has seen, or only
// later ones.
func (c *Conn) limitToUnread(buffer []byte) []byte {
	if c.unread > 0 && len(buffer) > c.unread {
		return buffer[:c.unread]
	}
	return buffer
}

// countUnread subtracts bytes that were read from those that recordUnread has seen. It reports whether
// the bytes arrived later.
func (c *Conn) countUnread(n int) (arrived bool) {
	arrived = n > c.unread
	c.unread = max(c.unread-n, 0)
	return arrived
}

// HasReadAhead reports whether bytes that ReadAhead or Readable has read wait for later reads. Only
// the reader may call HasReadAhead.
func (c *Conn) HasReadAhead() bool { return len(c.readAhead) > 0 }

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
	raw, err := c.rawConn()
	if err != nil || c.NetConn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	buffer := make([]byte, readAheadStep)
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), c.limitToUnread(buffer))
		return true // do not wait until the socket is readable
	})
	if err != nil || readErr != nil || n <= 0 {
		return false
	}
	c.setReadAhead(buffer[:n])
	c.receivedBytes = c.countUnread(n) || c.receivedBytes
	return true
}
