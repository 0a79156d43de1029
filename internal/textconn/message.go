package textconn

import (
	"io"
	"net"
	"net/textproto"
	"time"

	"garnetline/internal/clock"
)

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
