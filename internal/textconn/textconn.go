// Package sock holds what every socket of the program shares: a text
// connection whose reading is bounded, with one buffer for each direction: a
// multiplexed connection is read and written at the same time.
package textconn

import (
	"errors"
	"io"
	"net"
	"net/textproto"
	"slices"
	"sync/atomic"
	"syscall"
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

const (
	readAheadStep = 4 << 10   // by which what is read ahead grows at first
	maxDiscarded  = 128 << 20 // bytes dropped by one Watch, after which it looks no longer
)

// ReadAhead reads ahead until the connection ends or its read deadline passes, and returns
// why. Up to most bytes wait for textproto, the rest is dropped. Nobody else may read
// meanwhile; came is called for each piece.
//
// Symptom guarded against: one byte more than a request hid it for good that the client
// had left, and what nobody wanted any more was sent on.
func (k *Conn) ReadAhead(most int, came func()) error {
	var one [1]byte // an idle watch needs no buffer
	var drop []byte
	for dropped := 0; dropped < maxDiscarded; {
		b := one[:]
		if n := len(k.readAhead); n > 0 && n < most {
			k.readAhead = slices.Grow(k.readAhead, min(max(n, readAheadStep), most-n))
			b = k.readAhead[n:min(cap(k.readAhead), most)]
		} else if n > 0 {
			if drop == nil {
				drop = make([]byte, readAheadStep)
			}
			b = drop
		}
		n, err := k.NetConn.Read(b)
		switch {
		case len(k.readAhead) >= most && n > 0:
			dropped += n
			k.discarded.Store(true)
		case n > 0:
			k.readAhead = append(k.readAhead, b[:n]...)
		}
		if n > 0 {
			came()
		}
		if err != nil {
			return err
		}
	}
	return ErrMessageTooLong
}

// Discarded tells whether Watch dropped bytes: what follows on the connection cannot be read.
func (k *Conn) Discarded() bool { return k.discarded.Load() }

// BeginMessage begins a message; Fresh tells whether any byte of it came from the socket since,
// and not from what had been read before.
func (k *Conn) BeginMessage()       { k.receivedBytes = false }
func (k *Conn) ReceivedBytes() bool { return k.receivedBytes }

// Readable tells whether something waits to be read, without waiting for it. It takes the read
// deadline away.
//
// Symptom guarded against: a read whose deadline has passed does not look at the socket
// at all, and a request that lay there whole was closed unread.
func (k *Conn) Readable() bool {
	if k.R.Buffered() > 0 || len(k.readAhead) > 0 {
		return true
	}
	sc, ok := k.NetConn.(syscall.Conn)
	if !ok || k.NetConn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	b, n := make([]byte, readAheadStep), 0
	if raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true // it does not wait
	}) != nil || err != nil || n <= 0 {
		return false
	}
	k.readAhead, k.receivedBytes = b[:n], true
	return true
}

// ReadLineSlice reads a line as it stands in the reader's buffer, without its end. It
// is valid until the next read; one longer than that buffer is an error.
func (k *Conn) ReadLineSlice() ([]byte, error) {
	b, err := k.R.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	return textproto.TrimBytes(b), nil
}

// ReadBody reads n bytes into the connection's buffer, which the message holds
// until the next one. It grows with what has come, not with what was promised.
func (k *Conn) ReadBody(n int) ([]byte, error) {
	k.readBuffer = k.readBuffer[:0]
	for len(k.readBuffer) < n {
		at, step := len(k.readBuffer), min(n-len(k.readBuffer), max(4096, len(k.readBuffer)))
		if cap(k.readBuffer) < at+step {
			k.readBuffer = append(make([]byte, 0, at+step), k.readBuffer...)
		}
		k.readBuffer = k.readBuffer[:at+step]
		if _, err := io.ReadFull(k.R, k.readBuffer[at:]); err != nil {
			return nil, err
		}
	}
	return k.readBuffer, nil
}

// WriteBuffer returns the empty buffer for a message to be appended to; Flush writes it.
func (k *Conn) WriteBuffer() []byte { return k.writeBuffer[:0] }

// Flush writes a message that was put together in Out, and then body. It
// gives up after a time.
func (k *Conn) Flush(msg, body []byte, within float64) error {
	k.writeBuffer = msg
	if err := k.NetConn.SetWriteDeadline(time.Now().Add(clock.Duration(within))); err != nil {
		return err
	}
	bufs := net.Buffers{msg}
	if len(body) > 0 {
		bufs = append(bufs, body)
	}
	_, err := bufs.WriteTo(k.NetConn)
	return err
}

// ShrinkReadBuffer gives back a read buffer that has grown; the reader calls it between
// messages. RestOut is the writer's.
func (k *Conn) ShrinkReadBuffer() {
	if cap(k.readBuffer) > maxIdleBuffer {
		k.readBuffer = nil
	}
}

// ShrinkWriteBuffer gives back a write buffer that has grown.
func (k *Conn) ShrinkWriteBuffer() {
	if cap(k.writeBuffer) > maxIdleBuffer {
		k.writeBuffer = nil
	}
}
