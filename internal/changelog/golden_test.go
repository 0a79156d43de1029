package changelog

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"garnetline/internal/config"
	"garnetline/internal/sock"
)

// compareGolden compares text with a file in testdata. UPDATE_GOLDEN=1 writes the file anew.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// describeEvent writes what a frame says, by values and not by the names of fields.
func describeEvent(w io.Writer, ev config.Event, kind byte) {
	fmt.Fprintf(w, "  kind %d, event %d, list %v, whole %v\n", kind, ev.Seq, ev.Fleet, ev.Whole)
	for _, h := range ev.Hosts {
		fmt.Fprintf(w, "  server %v at %v, zone %d, kind %d, cell %d, phase %d, weight %v, started %v\n",
			h.ID, h.Dial, h.Zone, h.Kind, h.Cell, h.Phase, h.Weight, h.Started)
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
	log := newLog(netip.AddrPort{}, func(config.Event) {})
	log.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return here, nil }
	log.seq = 0x1122334455667788
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { log.follow(ctx, log.conf, log.seq, make(chan message)); close(done) }()
	var asked [8]byte
	if _, err := io.ReadFull(there, asked[:]); err != nil {
		t.Fatal(err)
	}
	stop()
	<-done
	fmt.Fprintf(&out, "asked %x\n", asked)
	for _, b := range [][]byte{
		frame(0x29, 0),
		frame(0x2a, 1, bytes.Join([][]byte{record(0xc41f7a, 0), record(8, 1)}, nil)...),
		frame(0x2b, 2, record(8, 2)...),
		frame(0x2c, 3, purge(0x7f3a9c21e0b4d655, 1_764_576_000_123)...),
		frame(0x2d, 4, append([]byte{0, 17}, purge(1_764_576_000_480, 0)[:8]...)...),
		frame(0x2e, 3, purge(0, 1_764_576_000_123)...),
	} {
		ev, kind, err := read(sock.New(connOf(b)), 2, 1)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "told %s\n", hex.EncodeToString(b))
		describeEvent(&out, ev, kind)
	}
	compareGolden(t, "frames.golden", out.String())
}

func connOf(b []byte) net.Conn { return source{r: bytes.NewReader(b)} }
