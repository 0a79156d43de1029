package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/textproto"
	"slices"
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
)

// textConn is a connection that returns a text and then io.EOF.
type textConn struct {
	net.Conn
	reader io.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// mustBeRejected reports whether a header has a line that textproto accepts and the server must not: one
// with a space in the name of its field, or one that continues the line before.
func mustBeRejected(text []byte) bool {
	for line := range bytes.Lines(text) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return false
		}
		if bytes.ContainsAny(name, " \t") {
			return true
		}
	}
	return false
}

// FuzzHeader compares the fields that the server uses with those that textproto reads from the same
// bytes.
func FuzzHeader(f *testing.F) {
	for _, text := range []string{
		"Host: x\r\nX-Txn: a\r\n\r\n", "host:x\n\n", "X-Txn: a\r\n  b\r\n\tc \r\nX-Txn: d\r\n\r\n", " X-Txn: a\r\n\r\n", "X-Txn a\r\n\r\n",
		"X-Txn : a\r\n\r\n", ":a\r\n\r\n", "Connection: keep-alive, Close\r\nExpect: 100-Continue\r\n\r\n", "X-Txn:\x00\r\n\r\n", "Host: \x7f\r\n\r\n",
		"Host: x\r\n \r\n\r\n", "Transfer-Encoding: gzip, chunked\r\nTrailer: Host\r\n\r\n", "X-Ttl-Ms: 1\r\nOther: " + strings.Repeat("y", 5000) + "\r\n z\r\n\r\n", "H\xc3: a\r\n\r\n", "Host: x",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > maxHeaderBytes/2 {
			return
		}
		want, wantErr := textproto.NewReader(bufio.NewReader(bytes.NewReader(text))).ReadMIMEHeader()
		server := New(Options{Clock: clock.NewManual(startTime), Metrics: metrics.New()})
		connection := server.newConn(textConn{reader: bytes.NewReader(text)})
		connection.text.LimitRead(maxHeaderBytes)
		var got header
		gotErr := connection.readHeader(&got)
		if mustBeRejected(text) {
			if gotErr == nil {
				t.Fatal("got no error for a name with a space or a folded line")
			}
			return
		}
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("got error %v, textproto's is %v", gotErr, wantErr)
		}
		if wantErr != nil && errors.Is(wantErr, io.EOF) != errors.Is(gotErr, errClientDisconnected) {
			t.Fatalf("got error %v, textproto's is %v", gotErr, wantErr)
		}
		if wantErr == nil {
			compareHeader(t, &got, want)
		}
	})
}

func compareHeader(t *testing.T, got *header, want textproto.MIMEHeader) {
	t.Helper()
	for field, name := range headerFieldNames {
		values := want[textproto.CanonicalMIMEHeaderKey(name)]
		if got.fields[field].count != len(values) {
			t.Errorf("got %d values of %s, want %q", got.fields[field].count, name, values)
		}
		isList := slices.Contains([]headerField{fieldConnection, fieldExpect, fieldTransferEncoding, fieldTrailer}, headerField(field))
		if len(values) == 0 || isList {
			continue
		}
		first := values[0]
		if len(first) > maxValueBytes {
			first = overlongValue
		}
		if got.fields[field].first != first {
			t.Errorf("got %q as the first value of %s, want %q", got.fields[field].first, name, first)
		}
	}
	var codings transferCodings
	for _, value := range want["Transfer-Encoding"] {
		codings.add(value)
	}
	if got.codings != codings {
		t.Errorf("got codings %+v for %q, want %+v", got.codings, want["Transfer-Encoding"], codings)
	}
	joined := strings.Join(want["Connection"], ",")
	if wantClose := hasToken([]byte(joined), "close"); got.closeRequested != wantClose {
		t.Errorf("got closeRequested %v for %q, want %v", got.closeRequested, joined, wantClose)
	}
}
