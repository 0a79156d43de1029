package textconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/seeds"
)

// byteSource is a connection that brings fixed bytes, a few at a time.
type byteSource struct {
	net.Conn
	reader io.Reader
	step   int
}

func (s *byteSource) Read(p []byte) (int, error) { return s.reader.Read(p[:min(len(p), s.step)]) }

// FuzzConn reads lines and bodies in a random order and checks them against
// the bytes themselves: nothing is lost between the two kinds of reading, no
// message takes more from the socket than it may, and no body more memory
// than has come.
func FuzzConn(f *testing.F) {
	seeds.Add(f, 24, 400)
	f.Fuzz(func(t *testing.T, steps []byte) {
		data := bytes.Repeat(append([]byte("line\r\n"), steps...), 20)
		raw := bytes.NewReader(data)
		step := 7
		if len(steps) > 0 {
			step = 1 + int(steps[0])*17
		}
		k, at := New(&byteSource{reader: raw, step: step}), 0
		for i := 0; i+1 < len(steps); i += 2 {
			taken, limit := len(data)-raw.Len(), int(steps[i+1])*40
			k.LimitRead(limit)
			var err error
			switch steps[i] % 3 {
			case 0:
				var line []byte
				if line, err = k.ReadLineSlice(); err == nil {
					end := at + bytes.IndexByte(data[at:], '\n') + 1
					if want := bytes.Trim(data[at:end], " \t\r\n"); !bytes.Equal(line, want) {
						t.Fatalf("line %q at %d, want %q", line, at, want)
					}
					at = end
				}
			default:
				n, body := int(steps[i+1])*30, []byte(nil)
				if body, err = k.ReadBody(n); err == nil {
					if !bytes.Equal(body, data[at:at+n]) {
						t.Fatalf("another body of %d at %d", n, at)
					}
					at += n
				} else if cap(k.readBuffer) > 2*max(limit+4096, 4096) {
					t.Fatalf("%d bytes are held for a body cut at %d", cap(k.readBuffer), limit)
				}
				k.ShrinkReadBuffer()
				if cap(k.readBuffer) > maxIdleBuffer {
					t.Fatalf("an idle buffer of %d bytes", cap(k.readBuffer))
				}
			}
			if got := len(data) - raw.Len() - taken; got > limit {
				t.Fatalf("%d bytes were taken, %d allowed", got, limit)
			}
			if err != nil {
				if k.LimitExceeded() != errors.Is(err, ErrMessageTooLong) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("over %v, but %v", k.LimitExceeded(), err)
				}
				return
			}
		}
	})
}

// deadlineConn keeps the read deadlines that are set, and brings nothing.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (p *deadlineConn) SetReadDeadline(t time.Time) error { p.deadline = t; return nil }
func (p *deadlineConn) Read([]byte) (int, error)          { return 0, io.EOF }

// Guards against a fixed time for a whole message: one whose bytes come at the pace that
// was told was cut, though it never stood still.
func TestReadPace(t *testing.T) {
	p := &deadlineConn{}
	k := New(p)
	read := func() float64 {
		k.LimitRead(10)
		k.R.Peek(1)
		return clock.Millis(time.Until(p.deadline))
	}
	k.SetReadPace(800, 800)
	k.messageStart = k.messageStart.Add(-700 * time.Millisecond) // so long under way
	k.SetReadPace(800, 800)
	if left := read(); left > 100 {
		t.Errorf("%v ms are left of 100", left)
	}
	k.SetReadPace(800, 10_400) // its length is known now
	if left := read(); left < 400 || left > 800 {
		t.Errorf("%v ms are left until it counts as stopped, want 800", left)
	}
	k.SetReadPace(0, 0)
	p.deadline = time.Time{}
	if read(); !p.deadline.IsZero() {
		t.Error("a read between messages has a deadline")
	}
}
