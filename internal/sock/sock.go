// Package sock holds what every socket of the program shares: a text
// connection whose reading is bounded, with one buffer for each direction: a
// multiplexed connection is read and written at the same time.
package sock

import (
	"errors"
	"io"
	"net"
	"net/textproto"
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
	n, err := l.k.Net.Read(p[:min(len(p), l.k.left)])
	l.k.left -= n
	return n, err
}

func (l limited) Write(p []byte) (int, error) { return l.k.Net.Write(p) }
func (l limited) Close() error                { return l.k.Net.Close() }

// Allow bounds what may be read from the socket until the next call.
func (k *Conn) Allow(n int) { k.left, k.over = n, false }

// Over tells whether a read stopped at the bound.
func (k *Conn) Over() bool { return k.over }

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
