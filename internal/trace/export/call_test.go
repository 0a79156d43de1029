package export

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"

	"garnetline/internal/trace"
	"garnetline/internal/trace/render"
)

// The bytes of a request must not change between versions, because collectors could interpret
// other bytes differently.
func TestSendWritesRequest(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	exported := failedTrace(1)
	body, err := render.Batch([]*trace.Trace{exported})
	if err != nil {
		t.Fatal(err)
	}
	want := fmt.Appendf(nil, "POST /otlp?tenant=a HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", listener.Addr(), len(body), body)

	exporter, registry := newExporter(t, "http://"+listener.Addr().String()+"/otlp?tenant=a", 1, 2000)
	addTraces(t, exporter, exported)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil {
		t.Fatalf("reading the request: %v; the buffer holds %q", err, got)
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	closeExporter(t, exporter)
	if !bytes.Equal(got, want) {
		t.Errorf("got request\n%q, want\n%q", got, want)
	}
	checkCounter(t, registry, metricExported, 1)
	checkCounter(t, registry, metricFailures, 0)
}
