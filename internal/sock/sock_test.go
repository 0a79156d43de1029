package sock

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"

	"garnetline/internal/seeds"
)

// source is a connection that brings fixed bytes, a few at a time.
type source struct {
	net.Conn
	r    io.Reader
	step int
}

func (s *source) Read(p []byte) (int, error) { return s.r.Read(p[:min(len(p), s.step)]) }

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
		k, at := New(&source{r: raw, step: step}), 0
		for i := 0; i+1 < len(steps); i += 2 {
			taken, limit := len(data)-raw.Len(), int(steps[i+1])*40
			k.Allow(limit)
			var err error
			switch steps[i] % 3 {
			case 0:
				var line []byte
				if line, err = k.Line(); err == nil {
					end := at + bytes.IndexByte(data[at:], '\n') + 1
					if want := bytes.Trim(data[at:end], " \t\r\n"); !bytes.Equal(line, want) {
						t.Fatalf("line %q at %d, want %q", line, at, want)
					}
					at = end
				}
			default:
				n, body := int(steps[i+1])*30, []byte(nil)
				if body, err = k.Body(n); err == nil {
					if !bytes.Equal(body, data[at:at+n]) {
						t.Fatalf("another body of %d at %d", n, at)
					}
					at += n
				} else if cap(k.in) > 2*max(limit+4096, 4096) {
					t.Fatalf("%d bytes are held for a body cut at %d", cap(k.in), limit)
				}
				k.RestIn()
				if cap(k.in) > keep {
					t.Fatalf("an idle buffer of %d bytes", cap(k.in))
				}
			}
			if got := len(data) - raw.Len() - taken; got > limit {
				t.Fatalf("%d bytes were taken, %d allowed", got, limit)
			}
			if err != nil {
				if k.Over() != errors.Is(err, ErrLimit) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("over %v, but %v", k.Over(), err)
				}
				return
			}
		}
	})
}
