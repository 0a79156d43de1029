package textconn

import (
	"io"
	"net"
	"net/textproto"
	"time"

	"garnetline/internal/clock"
)

const (
	bodyStep      = 4 << 10  // bytes, by which the buffer of a body grows at first
	maxIdleBuffer = 16 << 10 // bytes that an idle connection keeps of a grown buffer
)

// ReadLineSlice reads a line and returns it without its end, in place: it is valid until the
// next read. A line longer than textproto's buffer is an error. It is the reader's.
func (c *Conn) ReadLineSlice() ([]byte, error) {
	line, err := c.R.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	return textproto.TrimBytes(line), nil
}

// ReadBody reads n bytes into the connection's buffer, where they stay valid until the next
// call. The buffer grows with the bytes that have come and not with n, which the other side
// has only announced. It is the reader's.
func (c *Conn) ReadBody(n int) ([]byte, error) {
	c.readBuffer = c.readBuffer[:0]
	for len(c.readBuffer) < n {
		have := len(c.readBuffer)
		step := min(n-have, max(bodyStep, have))
		if cap(c.readBuffer) < have+step {
			c.readBuffer = append(make([]byte, 0, have+step), c.readBuffer...)
		}
		c.readBuffer = c.readBuffer[:have+step]
		if _, err := io.ReadFull(c.R, c.readBuffer[have:]); err != nil {
			return nil, err
		}
	}
	return c.readBuffer, nil
}

// ShrinkReadBuffer releases a read buffer that has grown beyond 16 KB. The reader calls it
// between messages.
func (c *Conn) ShrinkReadBuffer() {
	if cap(c.readBuffer) > maxIdleBuffer {
		c.readBuffer = nil
	}
}

// WriteBuffer returns an empty buffer to which a message for Flush is appended. It is the
// writer's.
func (c *Conn) WriteBuffer() []byte { return c.writeBuffer[:0] }

// Flush writes a message that was appended to WriteBuffer, and then body, within so many
// milliseconds. After an error it is not known how much was written. It is the writer's.
func (c *Conn) Flush(message, body []byte, within float64) error {
	c.writeBuffer = message
	if err := c.NetConn.SetWriteDeadline(time.Now().Add(clock.Duration(within))); err != nil {
		return err
	}
	buffers := net.Buffers{message}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	_, err := buffers.WriteTo(c.NetConn)
	return err
}

// ShrinkWriteBuffer releases a write buffer that has grown beyond 16 KB. The writer calls it
// between messages.
func (c *Conn) ShrinkWriteBuffer() {
	if cap(c.writeBuffer) > maxIdleBuffer {
		c.writeBuffer = nil
	}
}
