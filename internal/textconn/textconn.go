// Package textconn is the program's buffered connection for protocols of text lines and
// counted bodies: HTTP, RESP, and the change log's frames.
//
// A Conn bounds how many bytes one message may bring and how long it may take, which
// textproto alone does not, and reuses one buffer for each direction.
//
// A Conn has one owner, who closes it. At most one goroutine may read and one may write at
// the same time, so that a multiplexed connection can do both; each method says which of the
// two it belongs to.
package textconn

import (
	"errors"
	"net"
	"net/textproto"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
)

// ErrMessageTooLong reports a message with more bytes than LimitRead allows.
var ErrMessageTooLong = errors.New("message too long")

// Conn is a network connection with a textproto.Conn over it.
type Conn struct {
	*textproto.Conn
	NetConn net.Conn // below textproto, for deadlines and addresses

	// The reader's.
	remaining       int  // bytes that may still be read, see LimitRead
	limitExceeded   bool // a read was refused since the last LimitRead
	readBuffer      []byte
	receivedBytes   bool      // bytes came from the socket since BeginMessage
	stallTimeout    float64   // ms a read may take; zero: reads set no deadline
	messageStart    time.Time // when SetReadPace was first called for the message
	messageDeadline time.Time // when the whole message has to be there

	// readAhead holds bytes that ReadAhead and Readable took from the socket. The reader
	// consumes them first. They are written only while nobody reads.
	readAhead []byte
	discarded atomic.Bool // ReadAhead dropped bytes

	writeBuffer []byte // the writer's
}

// New returns a Conn over a connection. Nothing can be read before LimitRead is called.
func New(netConn net.Conn) *Conn {
	c := &Conn{NetConn: netConn}
	c.Conn = textproto.NewConn(limitedConn{c})
	return c
}

// LimitRead allows n more bytes to be read from the socket, in place of what was allowed
// before. It is the reader's.
func (c *Conn) LimitRead(n int) {
	c.remaining = n
	c.limitExceeded = false
}

// LimitExceeded reports whether a read was refused with ErrMessageTooLong since the last
// call of LimitRead. textproto may hide that error behind one of its own.
func (c *Conn) LimitExceeded() bool { return c.limitExceeded }

// SetReadPace bounds the time for the message being read, in milliseconds: stall for each
// read from the socket, and whole for all of them, counted from the first call for the
// message. A message may be given more time when its length is known, by another call.
// A stall of zero ends the message and leaves reads without a deadline of their own. It is
// the reader's.
func (c *Conn) SetReadPace(stall, whole float64) {
	if c.stallTimeout == 0 {
		c.messageStart = time.Now()
	}
	c.stallTimeout = stall
	c.messageDeadline = c.messageStart.Add(clock.Duration(whole))
}

// BeginMessage starts a message for ReceivedBytes. It is the reader's.
func (c *Conn) BeginMessage() { c.receivedBytes = false }

// ReceivedBytes reports whether any byte came from the socket since BeginMessage. If none
// did, all of the message had been buffered before. It is the reader's.
func (c *Conn) ReceivedBytes() bool { return c.receivedBytes }

// limitedConn is the connection as textproto sees it. textproto reads lines of any length;
// limitedConn bounds what one message can make it hold.
type limitedConn struct{ conn *Conn }

// Read returns what was read ahead, or else what the socket brings.
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

// setPacedDeadline sets the read deadline for one read, if the message has a pace.
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
