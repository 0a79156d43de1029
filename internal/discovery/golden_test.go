package discovery

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"

	"garnetline/internal/golden"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
)

// formatEvent writes what a frame says, by values and not by the names of fields.
func formatEvent(w io.Writer, decoded frame) {
	ev := decoded.event
	fmt.Fprintf(w, "  kind %d, event %d, list %v, whole %v\n", decoded.kind, ev.Seq, ev.ListUpdate, ev.Snapshot)
	for _, h := range ev.Endpoints {
		fmt.Fprintf(w, "  server %v at %v, zone %d, kind %d, cell %d, phase %d, weight %v, started %v\n",
			h.ID, h.Addr, h.Zone, h.Kind, h.Cell, h.Phase, h.Weight, h.StartedAt)
	}
	if p := ev.Purge; p != nil {
		fmt.Fprintf(w, "  purge of object %016x, group %d at %.0f\n", uint64(p.Object), p.Group, p.At)
	}
}

// Pins the bytes between a router and its change log: what it asks, and what it reads from
// one frame of each kind. UPDATE_GOLDEN=1 writes testdata/frames.golden anew.
func TestGoldenFrames(t *testing.T) {
	var out strings.Builder
	here, there := net.Pipe()
	defer there.Close()
	log := newTestWatcher(netip.AddrPort{}, func(platformconfig.WatchEvent) {})
	log.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return here, nil }
	log.lastSeq = 0x1122334455667788
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { log.readFrames(ctx, log.config, log.lastSeq, make(chan frameResult)); close(done) }()
	var asked [8]byte
	if _, err := io.ReadFull(there, asked[:]); err != nil {
		t.Fatal(err)
	}
	stop()
	<-done
	fmt.Fprintf(&out, "asked %x\n", asked)
	for _, b := range [][]byte{
		encodeFrame(0x29, 0),
		encodeFrame(0x2a, 1, bytes.Join([][]byte{encodeRecord(0xc41f7a, 0), encodeRecord(8, 1)}, nil)...),
		encodeFrame(0x2b, 2, encodeRecord(8, 2)...),
		encodeFrame(0x2c, 3, encodePurge(0x7f3a9c21e0b4d655, 1_764_576_000_123)...),
		encodeFrame(0x2d, 4, append([]byte{0, 17}, encodePurge(1_764_576_000_480, 0)[:8]...)...),
		encodeFrame(0x2e, 3, encodePurge(0, 1_764_576_000_123)...),
	} {
		decoded, err := readFrame(textconn.New(connOf(b)), 2, 1)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "told %s\n", hex.EncodeToString(b))
		formatEvent(&out, decoded)
	}
	golden.Compare(t, "frames.golden", []byte(out.String()))
}

func connOf(b []byte) net.Conn { return stubConn{reader: bytes.NewReader(b)} }
