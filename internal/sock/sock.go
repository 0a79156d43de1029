// Package sock holds what every socket of the program shares: a text
// connection whose reading is bounded, with one buffer for each direction: a
// multiplexed connection is read and written at the same time.
package sock

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

// keep is how much of a grown buffer an idle connection holds on to.
const keep = 16 << 10

// ErrLimit reports a message longer than it may be.
var ErrLimit = errors.New("message too long")

// Conn is a connection with a textproto reader over it and one buffer a
// direction in which messages are put together. It has one owner, who closes it.
type Conn struct {
	*textproto.Conn
	Net  net.Conn
	left int    // bytes that the message being read may still bring
	in   []byte // the message being read
	out  []byte // the message being written
	over bool   // a read went past the limit
	// What was read beside textproto, which gets it first. Watch and Poll write it, while
	// nobody reads.
	ahead []byte
	spilt atomic.Bool // Watch dropped bytes
	fresh bool        // textproto has had bytes from the socket since Settle
	stall float64     // ms that a read may take within a message; 0: reads set no deadline
	whole time.Time   // the message is read by then
	began time.Time   // the message's first Pace
}

// New wraps a connection.
func New(c net.Conn) *Conn {
	k := &Conn{Net: c}
	k.Conn = textproto.NewConn(limited{k})
	return k
}

// limited is the connection under textproto. textproto reads lines of any
// length; this bounds what one message can make it hold.
type limited struct{ k *Conn }

func (l limited) Read(p []byte) (int, error) {
	if l.k.left <= 0 {
		l.k.over = true
		return 0, ErrLimit
	}
	p = p[:min(len(p), l.k.left)]
	if len(l.k.ahead) > 0 {
		n := copy(p, l.k.ahead)
		if l.k.ahead = l.k.ahead[n:]; len(l.k.ahead) == 0 {
			l.k.ahead = nil
		}
		l.k.left -= n
		return n, nil
	}
	if l.k.stall > 0 {
		until := time.Now().Add(clock.Duration(l.k.stall))
		if l.k.whole.Before(until) {
			until = l.k.whole
		}
		if err := l.k.Net.SetReadDeadline(until); err != nil {
			return 0, err
		}
	}
	n, err := l.k.Net.Read(p)
	l.k.left -= n
	l.k.fresh = l.k.fresh || n > 0
	return n, err
}

func (l limited) Write(p []byte) (int, error) { return l.k.Net.Write(p) }
func (l limited) Close() error                { return l.k.Net.Close() }

// Allow bounds what may be read from the socket until the next call.
func (k *Conn) Allow(n int) { k.left, k.over = n, false }

// Pace has each read of the message that is coming take stall ms at the most, and all of
// them together whole, counted from the message's first Pace. Without a stall it is over.
func (k *Conn) Pace(stall, whole float64) {
	now := time.Now()
	if k.stall == 0 {
		k.began = now
	}
	k.stall, k.whole = stall, k.began.Add(clock.Duration(whole))
}

// Over tells whether a read stopped at the bound.
func (k *Conn) Over() bool { return k.over }

const (
	watchStep = 4 << 10   // by which what is read ahead grows at first
	watchDrop = 128 << 20 // bytes dropped by one Watch, after which it looks no longer
)

// Watch reads ahead until the connection ends or its read deadline passes, and returns
// why. Up to most bytes wait for textproto, the rest is dropped. Nobody else may read
// meanwhile; came is called for each piece.
//
// Symptom guarded against: one byte more than a request hid it for good that the client
// had left, and what nobody wanted any more was sent on.
func (k *Conn) Watch(most int, came func()) error {
	var one [1]byte // an idle watch needs no buffer
	var drop []byte
	for dropped := 0; dropped < watchDrop; {
		b := one[:]
		if n := len(k.ahead); n > 0 && n < most {
			k.ahead = slices.Grow(k.ahead, min(max(n, watchStep), most-n))
			b = k.ahead[n:min(cap(k.ahead), most)]
		} else if n > 0 {
			if drop == nil {
				drop = make([]byte, watchStep)
			}
			b = drop
		}
		n, err := k.Net.Read(b)
		switch {
		case len(k.ahead) >= most && n > 0:
			dropped += n
			k.spilt.Store(true)
		case n > 0:
			k.ahead = append(k.ahead, b[:n]...)
		}
		if n > 0 {
			came()
		}
		if err != nil {
			return err
		}
	}
	return ErrLimit
}

// Spilt tells whether Watch dropped bytes: what follows on the connection cannot be read.
func (k *Conn) Spilt() bool { return k.spilt.Load() }

// Settle begins a message; Fresh tells whether any byte of it came from the socket since,
// and not from what had been read before.
func (k *Conn) Settle()     { k.fresh = false }
func (k *Conn) Fresh() bool { return k.fresh }

// Poll tells whether something waits to be read, without waiting for it. It takes the read
// deadline away.
//
// Symptom guarded against: a read whose deadline has passed does not look at the socket
// at all, and a request that lay there whole was closed unread.
func (k *Conn) Poll() bool {
	if k.R.Buffered() > 0 || len(k.ahead) > 0 {
		return true
	}
	sc, ok := k.Net.(syscall.Conn)
	if !ok || k.Net.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	b, n := make([]byte, watchStep), 0
	if raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true // it does not wait
	}) != nil || err != nil || n <= 0 {
		return false
	}
	k.ahead, k.fresh = b[:n], true
	return true
}

// Line reads a line as it stands in the reader's buffer, without its end. It
// is valid until the next read; one longer than that buffer is an error.
func (k *Conn) Line() ([]byte, error) {
	b, err := k.R.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	return textproto.TrimBytes(b), nil
}

// Body reads n bytes into the connection's buffer, which the message holds
// until the next one. It grows with what has come, not with what was promised.
func (k *Conn) Body(n int) ([]byte, error) {
	k.in = k.in[:0]
	for len(k.in) < n {
		at, step := len(k.in), min(n-len(k.in), max(4096, len(k.in)))
		if cap(k.in) < at+step {
			k.in = append(make([]byte, 0, at+step), k.in...)
		}
		k.in = k.in[:at+step]
		if _, err := io.ReadFull(k.R, k.in[at:]); err != nil {
			return nil, err
		}
	}
	return k.in, nil
}

// Out returns the empty buffer for a message to be appended to; Flush writes it.
func (k *Conn) Out() []byte { return k.out[:0] }

// Flush writes a message that was put together in Out, and then body. It
// gives up after a time.
func (k *Conn) Flush(msg, body []byte, within float64) error {
	k.out = msg
	if err := k.Net.SetWriteDeadline(time.Now().Add(clock.Duration(within))); err != nil {
		return err
	}
	bufs := net.Buffers{msg}
	if len(body) > 0 {
		bufs = append(bufs, body)
	}
	_, err := bufs.WriteTo(k.Net)
	return err
}

// RestIn gives back a read buffer that has grown; the reader calls it between
// messages. RestOut is the writer's.
func (k *Conn) RestIn() {
	if cap(k.in) > keep {
		k.in = nil
	}
}

// RestOut gives back a write buffer that has grown.
func (k *Conn) RestOut() {
	if cap(k.out) > keep {
		k.out = nil
	}
}
