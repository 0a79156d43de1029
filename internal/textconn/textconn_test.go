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

// byteSource is a connection that brings fixed bytes, a few at a time.
type byteSource struct {
	net.Conn
	reader io.Reader
	step   int
}

func (s *byteSource) Read(p []byte) (int, error) { return s.reader.Read(p[:min(len(p), s.step)]) }

// FuzzConn reads lines and bodies in a random order and checks them against the bytes
// themselves: nothing is lost between the two kinds of reading, no message takes more from
// the socket than it may, and no body more memory than has come.
func FuzzConn(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 24, 400)
	f.Fuzz(func(t *testing.T, steps []byte) {
		model := newReadModel(steps)
		for i := 0; i+1 < len(steps); i += 2 {
			taken := model.taken()
			limit := int(steps[i+1]) * 40
			model.conn.LimitRead(limit)
			var err error
			if steps[i]%3 == 0 {
				err = model.readLine(t)
			} else {
				err = model.readBody(t, int(steps[i+1])*30, limit)
			}
			if got := model.taken() - taken; got > limit {
				t.Fatalf("%d bytes were taken, %d allowed", got, limit)
			}
			if err != nil {
				if exceeded := model.conn.LimitExceeded(); exceeded != errors.Is(err, ErrMessageTooLong) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("limit exceeded %v, but %v", exceeded, err)
				}
				return
			}
		}
	})
}

// readModel knows the bytes that a connection brings.
type readModel struct {
	data   []byte
	source *bytes.Reader
	conn   *Conn
	offset int // of the next byte to be read
}

func newReadModel(steps []byte) *readModel {
	data := bytes.Repeat(append([]byte("line\r\n"), steps...), 20)
	step := 7
	if len(steps) > 0 {
		step = 1 + int(steps[0])*17
	}
	source := bytes.NewReader(data)
	return &readModel{data: data, source: source, conn: New(&byteSource{reader: source, step: step})}
}

// taken is how many bytes have left the socket.
func (m *readModel) taken() int { return len(m.data) - m.source.Len() }

func (m *readModel) readLine(t *testing.T) error {
	t.Helper()
	line, err := m.conn.ReadLineSlice()
	if err != nil {
		return err
	}
	end := m.offset + bytes.IndexByte(m.data[m.offset:], '\n') + 1
	if want := bytes.Trim(m.data[m.offset:end], " \t\r\n"); !bytes.Equal(line, want) {
		t.Fatalf("line %q at %d, want %q", line, m.offset, want)
	}
	m.offset = end
	return nil
}

func (m *readModel) readBody(t *testing.T, size, limit int) error {
	t.Helper()
	body, err := m.conn.ReadBody(size)
	if err == nil {
		if !bytes.Equal(body, m.data[m.offset:m.offset+size]) {
			t.Fatalf("another body of %d at %d", size, m.offset)
		}
		m.offset += size
	} else if held := cap(m.conn.readBuffer); held > 2*max(limit+4096, 4096) {
		t.Fatalf("%d bytes are held for a body cut at %d", held, limit)
	}
	m.conn.ShrinkReadBuffer()
	if held := cap(m.conn.readBuffer); held > maxIdleBuffer {
		t.Fatalf("an idle buffer of %d bytes", held)
	}
	return err
}

// deadlineConn keeps the read deadline that was set last, and brings nothing.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *deadlineConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against a fixed time for a whole message: one whose bytes came at the pace of the
// settings was cut, though it never stalled.
func TestReadPace(t *testing.T) {
	netConn := &deadlineConn{}
	conn := New(netConn)
	deadlineOfRead := func() float64 {
		conn.LimitRead(10)
		if _, err := conn.R.Peek(1); !errors.Is(err, io.EOF) {
			t.Fatalf("read ended with %v", err)
		}
		return clock.Millis(time.Until(netConn.deadline))
	}
	conn.SetReadPace(800, 800)
	conn.messageStart = conn.messageStart.Add(-700 * time.Millisecond) // so long under way
	conn.SetReadPace(800, 800)
	if left := deadlineOfRead(); left > 100 {
		t.Errorf("%v ms are left of 100", left)
	}
	conn.SetReadPace(800, 10_400) // its length is known now
	if left := deadlineOfRead(); left < 400 || left > 800 {
		t.Errorf("%v ms are left until it counts as stalled, want 800", left)
	}
	conn.SetReadPace(0, 0)
	netConn.deadline = time.Time{}
	if deadlineOfRead(); !netConn.deadline.IsZero() {
		t.Error("a read between messages has a deadline")
	}
}
