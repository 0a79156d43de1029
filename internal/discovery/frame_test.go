package discovery

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"

	"garnetline/internal/textconn"
	"garnetline/routing"
)

// stubConn is a connection that reads from a reader. Its other methods must not be called.
type stubConn struct {
	net.Conn
	reader io.Reader
}

func (c stubConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// FuzzFrame checks that arbitrary bytes decode to frames or to an error. The decoder must not
// panic, and must not allocate a buffer larger than the longest frame. Each decoded server must
// have a configured zone and kind.
func FuzzFrame(f *testing.F) {
	f.Add(encodeFrame(2, 1, append(encodeRecord(1, stateReady), encodeRecord(2, stateDraining)...)...))
	f.Add(encodeFrame(3, 3, encodePurge(0, 5)...))
	f.Add(encodeFrame(4, 4, 0, 1, 2))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		conn := textconn.New(stubConn{reader: bytes.NewReader(input)})
		for {
			decoded, err := readFrame(conn, 2, 1)
			if err != nil {
				if !errors.Is(err, ErrMalformedFrame) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal(err)
				}
				return
			}
			for _, endpoint := range decoded.event.Endpoints {
				if endpoint.Zone >= 2 || endpoint.Kind >= 1 || endpoint.Phase > routing.Draining || endpoint.StartedAt < 0 {
					t.Fatalf("got invalid endpoint %+v", endpoint)
				}
			}
		}
	})
}
