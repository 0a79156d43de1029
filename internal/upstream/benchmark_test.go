package upstream

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

func BenchmarkAppendServe(b *testing.B) {
	attempts := goldenAttempts()
	var out []byte
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		out = appendServeHead(out[:0], attempts[i%len(attempts)], 20, 1.7e12, "")
	}
}

// repeatingReader is an endless reader that repeats text.
type repeatingReader struct {
	text   []byte
	offset int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	return n, nil
}

func BenchmarkReply(b *testing.B) {
	for name, size := range map[string]int{"small": 100, "large": 100_000} {
		b.Run(name, func(b *testing.B) {
			text := encodeReply("9b1f03aa5c7e2d41", "DONE", "tag=4be0c1927d55a6f3,minted=1764576000123,n=cached,lag=1.5,l=inflight:7;util:0.61", strings.Repeat("x", size))
			conn := textconn.New(byteSource{reader: &repeatingReader{text: []byte(text)}})
			attempt := &dispatch.Attempt{Request: &dispatch.Request{}, Decision: routing.SendAttempt{Server: 7}}
			b.ReportAllocs()
			for b.Loop() {
				r, err := readReply(conn, nil)
				if err == nil {
					_, err = r.completion(attempt)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// discardConn is a connection that discards written bytes. Its reads block for ever.
type discardConn struct{ net.Conn }

func (discardConn) Read([]byte) (int, error)         { select {} }
func (discardConn) Write(p []byte) (int, error)      { return len(p), nil }
func (discardConn) Close() error                     { return nil }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }
func (discardConn) SetReadDeadline(time.Time) error  { return nil }

// BenchmarkAttempt measures the work of the actor to send an attempt and to handle its reply. It
// uses no socket and no other goroutine.
func BenchmarkAttempt(b *testing.B) {
	const now = 1.7e12
	guard := &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 8: true}}
	settings := platformconfig.Upstream{IdleTimeout: 15000, ConnectTimeout: 400, MaxStreams: 3}
	actor := newUpstream(Options{
		Clock:           clock.NewManual(now),
		Settings:        func() platformconfig.Upstream { return settings },
		Guard:           func() *routing.Guard { return guard },
		Metrics:         metrics.New(),
		MaxConnections:  func() int64 { return 5 },
		Complete:        func(dispatch.Completion) {},
		Dial:            func(context.Context, netip.AddrPort) (net.Conn, error) { return discardConn{}, nil },
		openConnections: new(atomic.Int64),
	}, platformconfig.Endpoint{Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	attempt := &dispatch.Attempt{
		Request:   &dispatch.Request{TransactionID: "a", Object: 7},
		Class:     &routing.Class{Name: "part"},
		Decision:  routing.SendAttempt{Server: 1, FillSource: 8},
		ExpiresAt: now + 2000,
	}
	done := reply{id: "a", status: statusDone, fields: "tag=4be0c1927d55a6f3,minted=1764576000123,n=cached,lag=1.5", body: []byte("x")}
	send := func() { actor.handleMessage(b.Context(), message{send: attempt}) }
	send()
	actor.handleConnectionEvent(b.Context(), <-actor.connectionEvents) // the dial
	conn := actor.connections[0]
	complete := func() { actor.handleConnectionEvent(b.Context(), connectionEvent{connection: conn, reply: done}) }
	complete()
	b.ReportAllocs()
	for b.Loop() {
		send()
		complete()
	}
}
