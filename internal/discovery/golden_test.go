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
	"garnetline/internal/textconn"
)

// formatFrame writes the content of a frame as text. The text does not depend on the names of
// struct fields.
func formatFrame(text *strings.Builder, decoded frame) {
	event := decoded.event
	fmt.Fprintf(text, "  kind %d, event %d, list %v, whole %v\n", decoded.kind, event.Seq, event.ListUpdate, event.Snapshot)
	for _, endpoint := range event.Endpoints {
		fmt.Fprintf(text, "  server %v at %v, zone %d, kind %d, cell %d, phase %d, weight %v, started %v\n",
			endpoint.ID, endpoint.Addr, endpoint.Zone, endpoint.Kind, endpoint.Cell, endpoint.Phase, endpoint.Weight, endpoint.StartedAt)
	}
	if purge := event.Purge; purge != nil {
		fmt.Fprintf(text, "  purge of object %016x, group %d at %.0f\n", uint64(purge.Object), purge.Group, purge.At)
	}
}

// TestGoldenFrames checks the bytes that a router and its change log exchange: the request of the
// router, and the frames of each kind that the change log sends.
func TestGoldenFrames(t *testing.T) {
	var text strings.Builder
	clientConn, serverConn := net.Pipe()
	t.Cleanup(func() { _ = serverConn.Close() })
	watcher, _ := newTestWatcher(netip.AddrPort{})
	watcher.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return clientConn, nil }
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		readConnection(ctx, watcher.dial, 1, connectionRequest{config: watcher.config, afterSeq: 0x1122334455667788}, make(chan connectionReport))
		close(done)
	}()
	var request [8]byte
	if _, err := io.ReadFull(serverConn, request[:]); err != nil {
		t.Fatal(err)
	}
	stop()
	<-done
	fmt.Fprintf(&text, "asked %x\n", request)
	for _, encoded := range [][]byte{
		encodeFrame(0x29, 0),
		encodeFrame(0x2a, 1, append(encodeRecord(0xc41f7a, stateReady), encodeRecord(8, stateDraining)...)...),
		encodeChange(0x2b, 8, stateRemoved),
		encodeFrame(0x2c, 3, encodePurge(0x7f3a9c21e0b4d655, 1_764_576_000_123)...),
		encodeGroupPurge(0x2d, 1_764_576_000_480),
		encodeFrame(0x2e, 3, encodePurge(0, 1_764_576_000_123)...),
	} {
		decoded, err := readFrame(textconn.New(stubConn{reader: bytes.NewReader(encoded)}), 2, 1)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "told %s\n", hex.EncodeToString(encoded))
		formatFrame(&text, decoded)
	}
	golden.Compare(t, "frames.golden", []byte(text.String()))
}
