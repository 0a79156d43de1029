package textconn

import (
	"io"
	"net"
	"net/textproto"
	"time"

	"garnetline/internal/clock"
)

const (
	minBodyGrowth = 4 << 10  // minimum number of bytes by which the buffer of a body grows
	maxIdleBuffer = 16 << 10 // bytes; a connection releases a larger buffer between messages
)

// ReadLineSlice reads a line and returns it without its line end and without leading and trailing
// spaces and tabs. The returned slice points into textproto's buffer and is valid until the next
// read. A line that does not fit into that buffer is an error. Only the reader may call
// ReadLineSlice.
func (c *Conn) ReadLineSlice() ([]byte, error) {
	line, err := c.R.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	return textproto.TrimBytes(line), nil
}

// ReadBody reads n bytes into the connection's buffer. The returned slice is valid until the next
// call of ReadBody. The buffer grows as bytes arrive. A peer therefore cannot make the buffer large
// by only announcing a large length. Only the reader may call ReadBody.
func (c *Conn) ReadBody(n int) ([]byte, error) {
	c.readBuffer = c.readBuffer[:0]
	for len(c.readBuffer) < n {
		have := len(c.readBuffer)
		step := min(n-have, max(minBodyGrowth, have))
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

// ShrinkReadBuffer releases the read buffer if it has grown beyond 16 KiB. The reader calls it
// between messages.
func (c *Conn) ShrinkReadBuffer() {
	if cap(c.readBuffer) > maxIdleBuffer {
		c.readBuffer = nil
	}
}

// WriteBuffer returns the empty write buffer. The writer appends a message to it and passes the
// result to Flush. Only the writer may call WriteBuffer.
func (c *Conn) WriteBuffer() []byte { return c.writeBuffer[:0] }

// Flush writes a message that was appended to WriteBuffer, and then body. The write may take
// timeoutMillis milliseconds. If Flush returns an error, the peer may have received any part of the
// bytes. Only the writer may call Flush.
func (c *Conn) Flush(message, body []byte, timeoutMillis float64) error {
	c.writeBuffer = message
	if err := c.NetConn.SetWriteDeadline(time.Now().Add(clock.Duration(timeoutMillis))); err != nil {
		return err
	}
	buffers := net.Buffers{message}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	_, err := buffers.WriteTo(c.NetConn)
	return err
}

// ShrinkWriteBuffer releases the write buffer if it has grown beyond 16 KiB. The writer calls it
// between messages.
func (c *Conn) ShrinkWriteBuffer() {
	if cap(c.writeBuffer) > maxIdleBuffer {
		c.writeBuffer = nil
	}
}
