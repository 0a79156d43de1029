// Package textconn provides a buffered connection for protocols of text lines and bodies of a
// known length: HTTP, RESP, and the frames of the change log.
//
// A Conn limits the size of each message and the time to read it, which textproto alone does
// not, and reuses one buffer for each direction.
//
// A Conn has one owner, which closes it. At most one goroutine, called the reader, may read, and
// at the same time at most one, called the writer, may write. The comment of each method says
// which of them may call it.
package textconn

import (
	"errors"
	"net"
	"net/textproto"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
)

// ErrMessageTooLong reports that the peer sent more bytes than LimitRead allows, or that
// ReadAhead discarded too many.
var ErrMessageTooLong = errors.New("message too long")

// Conn is a network connection that is read and written through a textproto.Conn.
type Conn struct {
	*textproto.Conn
	NetConn net.Conn // the underlying connection, for deadlines and addresses

	// Only the reader uses the following fields.
	remaining       int  // bytes that may still be read, see LimitRead
	limitExceeded   bool // a read failed because of the limit since the last LimitRead
	readBuffer      []byte
	receivedBytes   bool      // bytes were read from the socket since BeginMessage
	stallTimeout    float64   // ms that a read may take; if zero, reads set no deadline
	messageStart    time.Time // first call of SetReadPace for the message
	messageDeadline time.Time // the whole message must have been read by then

	// readAhead holds bytes that ReadAhead and Readable read from the socket. Later reads
	// consume them first. Only the reader uses readAhead.
	readAhead []byte
	discarded atomic.Bool // ReadAhead discarded bytes

	writeBuffer []byte // only the writer uses it
}

// New returns a Conn over netConn. Reads fail until LimitRead is called.
func New(netConn net.Conn) *Conn {
	c := &Conn{NetConn: netConn}
	c.Conn = textproto.NewConn(limitedConn{c})
	return c
}

// LimitRead sets the number of bytes that may be read from now on to n, replacing the earlier
// limit. Only the reader may call LimitRead.
func (c *Conn) LimitRead(n int) {
	c.remaining = n
	c.limitExceeded = false
}

// LimitExceeded reports whether a read failed with ErrMessageTooLong since the last call of
// LimitRead. It is needed because textproto may replace that error by one of its own. Only the
// reader may call LimitExceeded.
func (c *Conn) LimitExceeded() bool { return c.limitExceeded }

// SetReadPace limits the time to read the current message, in milliseconds: stallTimeout limits
// each read from the socket, and messageTimeout limits the whole message, counted from the first
// call for it. A later call can give the message more time, when its length is known. A
// stallTimeout of zero ends the message; reads set no deadline after it. Only the reader may call
// SetReadPace.
func (c *Conn) SetReadPace(stallTimeout, messageTimeout float64) {
	if c.stallTimeout == 0 {
		c.messageStart = time.Now()
	}
	c.stallTimeout = stallTimeout
	c.messageDeadline = c.messageStart.Add(clock.Duration(messageTimeout))
}

// BeginMessage marks the start of a message for ReceivedBytes. Only the reader may call it.
func (c *Conn) BeginMessage() { c.receivedBytes = false }

// ReceivedBytes reports whether any byte was read from the socket since BeginMessage. If none
// was, the whole message had been buffered before. Only the reader may call ReceivedBytes.
func (c *Conn) ReceivedBytes() bool { return c.receivedBytes }

// limitedConn is the connection that textproto reads and writes. Because textproto reads lines of
// any length, limitedConn enforces the limit of LimitRead.
type limitedConn struct{ conn *Conn }

// Read returns bytes that were read ahead, or reads from the socket if there are none.
func (l limitedConn) Read(dst []byte) (int, error) {
	conn := l.conn
	if conn.remaining <= 0 {
		conn.limitExceeded = true
		return 0, ErrMessageTooLong
	}
	dst = dst[:min(len(dst), conn.remaining)]
	if len(conn.readAhead) > 0 {
		n := conn.consumeReadAhead(dst)
		conn.remaining -= n
		return n, nil
	}
	if err := conn.setPacedDeadline(); err != nil {
		return 0, err
	}
	n, err := conn.NetConn.Read(dst)
	conn.remaining -= n
	conn.receivedBytes = conn.receivedBytes || n > 0
	return n, err
}

// Write writes to the socket.
func (l limitedConn) Write(p []byte) (int, error) { return l.conn.NetConn.Write(p) }

// Close closes the socket.
func (l limitedConn) Close() error { return l.conn.NetConn.Close() }

// consumeReadAhead moves bytes that were read ahead to dst.
func (c *Conn) consumeReadAhead(dst []byte) int {
	n := copy(dst, c.readAhead)
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// setPacedDeadline sets the deadline for the next read if SetReadPace limits the message.
func (c *Conn) setPacedDeadline() error {
	if c.stallTimeout <= 0 {
		return nil
	}
	deadline := time.Now().Add(clock.Duration(c.stallTimeout))
	if c.messageDeadline.Before(deadline) {
		deadline = c.messageDeadline
	}
	return c.NetConn.SetReadDeadline(deadline)
}
