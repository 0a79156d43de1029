// Package sock holds what every socket of the program shares: a text
// connection whose reading is bounded, with one buffer for each direction: a
// multiplexed connection is read and written at the same time.
package textconn

import (
	"errors"
	"net"
	"net/textproto"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
)

// maxIdleBuffer is how much of a grown buffer an idle connection holds on to.
const maxIdleBuffer = 16 << 10

// ErrMessageTooLong reports a message longer than it may be.
var ErrMessageTooLong = errors.New("message too long")

// Conn is a connection with a textproto reader over it and one buffer a
// direction in which messages are put together. It has one owner, who closes it.
type Conn struct {
	*textproto.Conn
	NetConn       net.Conn
	remaining     int    // bytes that the message being read may still bring
	readBuffer    []byte // the message being read
	writeBuffer   []byte // the message being written
	limitExceeded bool   // a read went past the limit
	// What was read beside textproto, which gets it first. Watch and Poll write it, while
	// nobody reads.
	readAhead       []byte
	discarded       atomic.Bool // Watch dropped bytes
	receivedBytes   bool        // textproto has had bytes from the socket since Settle
	stallTimeout    float64     // ms that a read may take within a message; 0: reads set no deadline
	messageDeadline time.Time   // the message is read by then
	messageStart    time.Time   // the message's first Pace
}

// New wraps a connection.
func New(c net.Conn) *Conn {
	k := &Conn{NetConn: c}
	k.Conn = textproto.NewConn(limitedConn{k})
	return k
}

// limitedConn is the connection under textproto. textproto reads lines of any
// length; this bounds what one message can make it hold.
type limitedConn struct{ conn *Conn }

func (l limitedConn) Read(p []byte) (int, error) {
	if l.conn.remaining <= 0 {
		l.conn.limitExceeded = true
		return 0, ErrMessageTooLong
	}
	p = p[:min(len(p), l.conn.remaining)]
	if len(l.conn.readAhead) > 0 {
		n := copy(p, l.conn.readAhead)
		if l.conn.readAhead = l.conn.readAhead[n:]; len(l.conn.readAhead) == 0 {
			l.conn.readAhead = nil
		}
		l.conn.remaining -= n
		return n, nil
	}
	if l.conn.stallTimeout > 0 {
		until := time.Now().Add(clock.Duration(l.conn.stallTimeout))
		if l.conn.messageDeadline.Before(until) {
			until = l.conn.messageDeadline
		}
		if err := l.conn.NetConn.SetReadDeadline(until); err != nil {
			return 0, err
		}
	}
	n, err := l.conn.NetConn.Read(p)
	l.conn.remaining -= n
	l.conn.receivedBytes = l.conn.receivedBytes || n > 0
	return n, err
}

func (l limitedConn) Write(p []byte) (int, error) { return l.conn.NetConn.Write(p) }
func (l limitedConn) Close() error                { return l.conn.NetConn.Close() }

// LimitRead bounds what may be read from the socket until the next call.
func (k *Conn) LimitRead(n int) { k.remaining, k.limitExceeded = n, false }

// SetReadPace has each read of the message that is coming take stall ms at the most, and all of
// them together whole, counted from the message's first Pace. Without a stall it is over.
func (k *Conn) SetReadPace(stall, whole float64) {
	now := time.Now()
	if k.stallTimeout == 0 {
		k.messageStart = now
	}
	k.stallTimeout, k.messageDeadline = stall, k.messageStart.Add(clock.Duration(whole))
}

// LimitExceeded tells whether a read stopped at the bound.
func (k *Conn) LimitExceeded() bool { return k.limitExceeded }
