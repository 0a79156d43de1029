// Package textconn provides a buffered connection for protocols of text lines and bodies of a known
// length: HTTP, RESP, and the frames of the change log.
//
// A Conn limits the size of each message and the time to read the message. The package textproto
// does not offer these limits. A Conn reuses one buffer for each direction.
//
// A Conn has one owner, which closes it. At most one goroutine, called the reader, may read. At
// most one goroutine, called the writer, may write. Both may run at the same time. The comment of
// each method says whether the reader, the writer or any goroutine may call it.
package textconn

import (
	"bufio"
	"errors"
	"net"
	"net/textproto"
	"runtime"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
)

// ErrMessageTooLong reports that the peer sent more bytes than LimitRead allows.
var ErrMessageTooLong = errors.New("textconn: message exceeds the size limit")

// Conn is a network connection that is read through a textproto.Reader.
type Conn struct {
	*textproto.Reader
	NetConn net.Conn // the underlying connection, for deadlines and addresses

	// Only the reader uses the following fields.
	remaining       int  // number of bytes that may still be read; see LimitRead
	limitExceeded   bool // since the last LimitRead, a read failed because of the limit
	readBuffer      []byte
	receivedBytes   bool      // since BeginMessage, bytes were read that arrived after the last ReadAhead
	stallTimeout    float64   // ms; limit of each read; 0: reads set no deadline
	messageStart    time.Time // time of the first call of SetReadPace for the message
	messageDeadline time.Time // time by which the whole message must have been read

	// readAhead holds bytes that ReadAhead and Readable read from the socket. Later reads
	// consume them first. Only the reader uses readAhead.
	readAhead       []byte
	readAheadBuffer []byte // the buffer that holds readAhead, from its beginning
	unread          int    // bytes that ReadAhead saw in the socket and left there

	writeBuffer []byte // only the writer uses writeBuffer

	created      time.Time
	lastProgress atomic.Int64 // time of the last read or write of bytes, in ns since created

	// Only the reader uses the following fields; see SetGate.
	gate       Gate
	passedGate bool
}

// Gate limits how many readers process received bytes at a time. Without it, hundreds of peers that
// send at full speed would keep so many readers runnable that the rest of the process waits for all of
// them.
type Gate chan struct{}

// NewGate returns a gate for the given number of readers.
func NewGate(readers int) Gate { return make(Gate, readers) }

// New returns a Conn over netConn. Reads fail until LimitRead is called.
func New(netConn net.Conn) *Conn {
	c := &Conn{NetConn: netConn, created: time.Now()}
	c.Reader = textproto.NewReader(bufio.NewReader(limitedConn{c}))
	return c
}

// Close closes the connection. Any goroutine may call Close.
func (c *Conn) Close() error { return c.NetConn.Close() }

// LimitRead allows n more bytes to be read, and replaces the earlier limit. Only the reader may
// call LimitRead.
func (c *Conn) LimitRead(n int) {
	c.remaining = n
	c.limitExceeded = false
}

// LimitExceeded reports whether a read has failed with ErrMessageTooLong since the last call of
// LimitRead. LimitExceeded is needed because textproto may return another error instead of
// ErrMessageTooLong. Only the reader may call LimitExceeded.
func (c *Conn) LimitExceeded() bool { return c.limitExceeded }

// SetReadPace limits the time to read the current message, in milliseconds. stallTimeout limits
// each read from the socket. messageTimeout limits the whole message and counts from the first call
// of SetReadPace for the message. A later call can replace both limits, for example when the length
// of the message is known.
//
// The reader calls SetReadPace with a stallTimeout of zero after the end of the message. Later
// reads then set no deadline. Only the reader may call SetReadPace.
func (c *Conn) SetReadPace(stallTimeout, messageTimeout float64) {
	if c.stallTimeout == 0 {
		c.messageStart = time.Now()
	}
	c.stallTimeout = stallTimeout
	c.messageDeadline = c.messageStart.Add(clock.Duration(messageTimeout))
}

// BeginMessage marks the start of a message for ReceivedBytes. Only the reader may call
// BeginMessage.
func (c *Conn) BeginMessage() { c.receivedBytes = false }

// ReceivedBytes reports whether any byte was read since BeginMessage that arrived after the last
// ReadAhead. If not, the whole message was already buffered or waited in the socket. Only the reader may
// call ReceivedBytes.
func (c *Conn) ReceivedBytes() bool { return c.receivedBytes }

// Stalled returns the time since bytes were last read or written. Any goroutine may call Stalled.
func (c *Conn) Stalled() time.Duration {
	return time.Since(c.created) - time.Duration(c.lastProgress.Load())
}

func (c *Conn) recordProgress() { c.lastProgress.Store(int64(time.Since(c.created))) }

// SetGate makes the reader pass the gate after each read from the socket. The reader leaves the gate
// before its next read, and when it calls LeaveGate. SetGate is called before the first read.
func (c *Conn) SetGate(gate Gate) { c.gate = gate }

// passGate waits until the reader may process what it has read. It then lets the goroutines run that
// are ready. Otherwise, readers that wake each other at the gate would run before all of them.
func (c *Conn) passGate() {
	if c.gate != nil {
		c.gate <- struct{}{}
		c.passedGate = true
		runtime.Gosched()
	}
}

// LeaveGate lets another reader process what it has read. The reader calls LeaveGate before it waits
// for anything, and at the end of a message. Only the reader may call LeaveGate.
func (c *Conn) LeaveGate() {
	if c.passedGate {
		<-c.gate
		c.passedGate = false
	}
}

// Discard reads and discards up to limit bytes, until a read fails. Only the reader may call Discard.
func (c *Conn) Discard(limit int64) {
	scratch := make([]byte, readAheadStep)
	for limit > 0 {
		n, err := c.NetConn.Read(scratch)
		if err != nil {
			return
		}
		limit -= int64(n)
		c.passGate()
		c.LeaveGate()
	}
}

// limitedConn is the connection that textproto reads. Because textproto reads lines of any length,
// limitedConn enforces the limit of LimitRead.
type limitedConn struct{ conn *Conn }

// Read returns bytes that ReadAhead or Readable has read. If there are no such bytes, Read reads
// from the socket.
func (l limitedConn) Read(dst []byte) (int, error) {
	conn := l.conn
	conn.LeaveGate()
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
	n, err := conn.NetConn.Read(conn.limitToUnread(dst))
	conn.remaining -= n
	if n > 0 {
		conn.receivedBytes = conn.countUnread(n) || conn.receivedBytes
		conn.recordProgress()
		conn.passGate()
	}
	return n, err
}

// consumeReadAhead moves bytes from readAhead to dst and returns their number.
func (c *Conn) consumeReadAhead(dst []byte) int {
	n := copy(dst, c.readAhead)
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead, c.readAheadBuffer = nil, nil
	}
	return n
}

// setPacedDeadline sets the deadline of the next read. It does nothing if SetReadPace has set no
// limits.
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
