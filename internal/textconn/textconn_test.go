package textconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fuzzutil"
)

// byteSource is a connection that returns the bytes of reader. Each read returns at most maxRead
// bytes.
type byteSource struct {
	net.Conn
	reader  io.Reader
	maxRead int
}

func (s *byteSource) Read(p []byte) (int, error) { return s.reader.Read(p[:min(len(p), s.maxRead)]) }

// FuzzConn reads lines and bodies in a random order and compares them with the source bytes. No
// byte may be lost between lines and bodies. No message may read more bytes from the socket than
// its limit. The buffer of a body may grow only as bytes arrive.
func FuzzConn(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 24, 400)
	f.Fuzz(func(t *testing.T, steps []byte) {
		model := newReadModel(steps)
		for i := 0; i+1 < len(steps); i += 2 {
			consumed := model.consumed()
			limit := int(steps[i+1]) * 40
			model.conn.LimitRead(limit)
			var err error
			if steps[i]%3 == 0 {
				err = model.readLine(t)
			} else {
				err = model.readBody(t, int(steps[i+1])*30, limit)
			}
			if got := model.consumed() - consumed; got > limit {
				t.Fatalf("got %d bytes read from the socket, want at most the limit of %d", got, limit)
			}
			if err != nil {
				if exceeded := model.conn.LimitExceeded(); exceeded != errors.Is(err, ErrMessageTooLong) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("got LimitExceeded() = %v after error %v, want true if the error is ErrMessageTooLong and false otherwise", exceeded, err)
				}
				return
			}
		}
	})
}

// readModel reads from a Conn and compares the results with the known source bytes.
type readModel struct {
	data   []byte
	source *bytes.Reader
	conn   *Conn
	offset int // offset in data of the next byte that the model reads
}

func newReadModel(steps []byte) *readModel {
	data := bytes.Repeat(append([]byte("line\r\n"), steps...), 20)
	maxRead := 7
	if len(steps) > 0 {
		maxRead = 1 + int(steps[0])*17
	}
	source := bytes.NewReader(data)
	return &readModel{data: data, source: source, conn: New(&byteSource{reader: source, maxRead: maxRead})}
}

// consumed returns how many bytes the Conn has read from the socket.
func (m *readModel) consumed() int { return len(m.data) - m.source.Len() }

func (m *readModel) readLine(t *testing.T) error {
	t.Helper()
	line, err := m.conn.ReadCRLFLine()
	malformed := errors.Is(err, ErrMalformedLine)
	if err != nil && !malformed {
		return err
	}
	end := m.offset + bytes.IndexByte(m.data[m.offset:], '\n') + 1
	if end == 0 || end-m.offset > m.conn.R.Size() {
		return err // the line does not fit into the buffer
	}
	want, sound := bytes.CutSuffix(m.data[m.offset:end], []byte("\r\n"))
	if malformed == sound || sound && !bytes.Equal(line, want) {
		t.Fatalf("got line %q, error %v at offset %d, want %q", line, err, m.offset, want)
	}
	m.offset = end
	return nil
}

func (m *readModel) readBody(t *testing.T, size, limit int) error {
	t.Helper()
	body, err := m.conn.ReadBody(size)
	if err == nil {
		if !bytes.Equal(body, m.data[m.offset:m.offset+size]) {
			t.Fatalf("body of %d bytes at offset %d differs from the source bytes", size, m.offset)
		}
		m.offset += size
	} else if capacity := cap(m.conn.readBuffer); capacity > 2*max(limit+4096, 4096) {
		t.Fatalf("read buffer has %d bytes after a body that was limited to %d", capacity, limit)
	}
	m.conn.ShrinkReadBuffer()
	if capacity := cap(m.conn.readBuffer); capacity > maxIdleBuffer {
		t.Fatalf("read buffer has %d bytes after ShrinkReadBuffer", capacity)
	}
	return err
}

// deadlineConn records the last read deadline that was set. Its reads return io.EOF.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *deadlineConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestReadPace checks that the time limit of a message can be changed while the message is read.
// With a fixed limit, a long message that arrives at the configured rate would be aborted although
// it never stalls.
func TestReadPace(t *testing.T) {
	netConn := &deadlineConn{}
	conn := New(netConn)
	deadlineOfRead := func() float64 {
		conn.LimitRead(10)
		if _, err := conn.R.Peek(1); !errors.Is(err, io.EOF) {
			t.Fatalf("got read error %v, want EOF", err)
		}
		return clock.Millis(time.Until(netConn.deadline))
	}
	conn.SetReadPace(800, 800)
	conn.messageStart = conn.messageStart.Add(-700 * time.Millisecond) // as if the message had started 700 ms ago
	conn.SetReadPace(800, 800)
	if left := deadlineOfRead(); left > 100 {
		t.Errorf("got %v ms until the deadline of the message, want at most 100", left)
	}
	conn.SetReadPace(800, 10_400) // the length of the message is now known
	if left := deadlineOfRead(); left < 400 || left > 800 {
		t.Errorf("got %v ms until the read deadline, want between 400 and 800", left)
	}
	conn.SetReadPace(0, 0)
	netConn.deadline = time.Time{}
	if deadlineOfRead(); !netConn.deadline.IsZero() {
		t.Error("a read between messages set a deadline")
	}
}
