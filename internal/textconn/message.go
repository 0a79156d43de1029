package textconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"garnetline/internal/clock"
)

const (
	minBodyGrowth = 4 << 10  // minimum number of bytes by which the buffer of a body grows
	maxIdleBuffer = 16 << 10 // bytes; a connection releases a larger buffer between messages
	maxWritePiece = 64 << 10 // bytes of one write, after which the write counts as progress
)

// ErrMalformedLine reports a line that does not end with CRLF, or that is too long for the buffer.
var ErrMalformedLine = errors.New("textconn: malformed line")

// ReadCRLFLine reads a line with the function ReadCRLFLine. Only the reader may call it.
func (c *Conn) ReadCRLFLine() ([]byte, error) { return ReadCRLFLine(c.R) }

// ReadCRLFLine reads a line that ends with CRLF and returns it without its line end. The returned slice
// points into the reader's buffer and is valid until the next read.
func ReadCRLFLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			err = ErrMalformedLine
		}
		return nil, err
	}
	end := len(line) - len("\r\n")
	if end < 0 || line[end] != '\r' {
		return nil, ErrMalformedLine
	}
	return line[:end], nil
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

// ReadOwnedBody reads n bytes into a new buffer, which the caller owns. The buffer grows as bytes
// arrive; see ReadAllOwned. Only the reader may call ReadOwnedBody.
func (c *Conn) ReadOwnedBody(n int, reserve func(bytes int) error) ([]byte, error) {
	body, err := ReadAllOwned(io.LimitReader(c.R, int64(n)), n, reserve)
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// ReadAllOwned reads up to limit bytes until the end of the reader into a new buffer, which the caller
// owns. The buffer grows as bytes arrive. Before it grows, ReadAllOwned calls reserve with the number
// of added bytes; an error of reserve ends the read.
func ReadAllOwned(reader io.Reader, limit int, reserve func(bytes int) error) ([]byte, error) {
	var body []byte
	for len(body) < limit {
		if len(body) == cap(body) {
			added := min(limit-len(body), max(minBodyGrowth, len(body)))
			if err := reserve(added); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, len(body)+added), body...)
		}
		n, err := reader.Read(body[len(body):min(cap(body), limit)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
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

// Flush writes a message that was appended to WriteBuffer, and then further parts. The write may take
// timeoutMillis milliseconds. If Flush returns an error, the peer may have received any part of the
// bytes. Only the writer may call Flush.
func (c *Conn) Flush(message []byte, timeoutMillis float64, parts ...[]byte) error {
	c.writeBuffer = message
	if err := c.NetConn.SetWriteDeadline(time.Now().Add(clock.Duration(timeoutMillis))); err != nil {
		return err
	}
	c.recordProgress()
	buffers := append(net.Buffers{message}, parts...)
	for len(buffers) > 0 {
		piece := takePiece(&buffers)
		if _, err := piece.WriteTo(c.NetConn); err != nil {
			return err
		}
		c.recordProgress()
	}
	return nil
}

// takePiece removes up to maxWritePiece bytes from the front of buffers and returns them.
func takePiece(buffers *net.Buffers) net.Buffers {
	var piece net.Buffers
	for room := maxWritePiece; room > 0 && len(*buffers) > 0; {
		first := (*buffers)[0]
		if len(first) > room {
			(*buffers)[0] = first[room:]
			return append(piece, first[:room])
		}
		*buffers = (*buffers)[1:]
		piece = append(piece, first)
		room -= len(first)
	}
	return piece
}

// ShrinkWriteBuffer releases the write buffer if it has grown beyond 16 KiB. The writer calls it
// between messages.
func (c *Conn) ShrinkWriteBuffer() {
	if cap(c.writeBuffer) > maxIdleBuffer {
		c.writeBuffer = nil
	}
}
