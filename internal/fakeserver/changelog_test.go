package fakeserver

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// testTimeout is the time limit of each connection to a fake server.
const testTimeout = 10 * time.Second

func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// expectBytes reads the next bytes of a connection and fails the test unless they are the expected
// bytes.
func expectBytes(t *testing.T, conn net.Conn, expected string) {
	t.Helper()
	got := make([]byte, len(expected))
	if n, err := io.ReadFull(conn, got); err != nil {
		t.Fatalf("got %x, error %v, want %x", got[:n], err, expected)
	}
	if string(got) != expected {
		t.Fatalf("got %x, want %x", got, expected)
	}
}

// expectEnd reports an error unless the stream ends without further bytes.
func expectEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	sent, err := io.ReadAll(conn)
	if len(sent) != 0 || err != nil {
		t.Errorf("got %x, error %v, want the end of the stream", sent, err)
	}
}

// requestFrom returns a router's request for the events after a sequence number.
func requestFrom(sequence uint64) string {
	return string(binary.BigEndian.AppendUint64(nil, sequence))
}

func decodeHex(t *testing.T, text string) string {
	t.Helper()
	decoded, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return string(decoded)
}

const (
	endpointFrame = "0000003f" + "0000000000000005" + "02" +
		"00000007" + "7f000009" + "1f90" + "01" + "00" + "02" + "0000" + "000186a0" + "000000e8d4a51000" +
		"00000008" + "7f00000a" + "1f91" + "02" + "00" + "00" + "0000" + "000001f4" + "0000000000000000"
	purgeFrame = "00000019" + "0000000000000006" + "03" + "0000000000000009" + "000000e8d4a51001"
)

func TestChangeLogSendsEventsAfterTheRequestedOne(t *testing.T) {
	for _, test := range []struct {
		name      string
		requested uint64
		want      string
	}{
		{"none read", 0, endpointFrame + purgeFrame},
		{"all before the first read", 4, endpointFrame + purgeFrame},
		{"the first read", 5, purgeFrame},
		{"all read", 6, "00000009" + "0000000000000006" + "00"},
		{"a number not reached yet", 9, "00000009" + "0000000000000009" + "00"},
	} {
		t.Run(test.name, func(t *testing.T) {
			changeLog := startChangeLog(t)
			changeLog.UpdateEndpoints(
				Endpoint{ID: 7, Addr: netip.MustParseAddrPort("127.0.0.9:8080"), Phase: 1, Kind: 2, Weight: 100, Started: 1e12},
				Endpoint{ID: 8, Addr: netip.MustParseAddrPort("127.0.0.10:8081"), Phase: 2, Weight: 0.5},
			)
			changeLog.Purge(9, 1e12+1)
			conn := dial(t, changeLog)
			write(t, conn, requestFrom(test.requested))
			expectBytes(t, conn, decodeHex(t, test.want))
		})
	}
}

func TestChangeLogSendsHeartbeatsAndNewEvents(t *testing.T) {
	changeLog := startChangeLog(t)
	conn := dial(t, changeLog)
	write(t, conn, requestFrom(4))
	heartbeat := decodeHex(t, "00000009"+"0000000000000004"+"00")
	expectBytes(t, conn, heartbeat)
	expectBytes(t, conn, heartbeat)
	changeLog.Purge(9, 7)
	expectBytes(t, conn, decodeHex(t, "00000019"+"0000000000000005"+"03"+"0000000000000009"+"0000000000000007"))
}

func TestClosedChangeLogEndsItsConnections(t *testing.T) {
	changeLog := startChangeLog(t)
	conn := dial(t, changeLog)
	write(t, conn, requestFrom(4))
	expectBytes(t, conn, decodeHex(t, "00000009"+"0000000000000004"+"00")) // the change log has accepted the connection
	if err := changeLog.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil { // another heartbeat may have been sent
		t.Errorf("got error %v, want the end of the stream", err)
	}
}

func TestIdleChangeLogReportsRequestedNumbersAndSendsNothing(t *testing.T) {
	idle, err := NewIdleChangeLog()
	if err != nil {
		t.Fatal(err)
	}
	conn := dial(t, idle)
	write(t, conn, requestFrom(41))
	if got := <-idle.RequestedSeqs; got != 41 {
		t.Errorf("got sequence number %d, want 41", got)
	}
	if err := idle.Close(); err != nil {
		t.Fatal(err)
	}
	expectEnd(t, conn)
}

func startChangeLog(t *testing.T) *ChangeLog {
	t.Helper()
	changeLog, err := NewChangeLog(4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = changeLog.Close() })
	return changeLog
}
