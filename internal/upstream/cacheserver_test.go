package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// testTimeout fails a test whose peer does not answer; no order depends on it.
const testTimeout = 10 * time.Second

// cacheServer is a cache on a loopback listener whose every word the test says.
type cacheServer struct {
	t           *testing.T
	addr        netip.AddrPort
	ln          net.Listener
	pool        *Pool
	clock       *clock.Manual
	completions chan dispatch.Completion
}

// cacheConn is the cache's side of one connection.
type cacheConn struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

// newCacheServer starts a cache and a pool that lists it as server 1.
func newCacheServer(t *testing.T, change func(*Options)) *cacheServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &cacheServer{t: t, ln: ln, addr: netip.MustParseAddrPort(ln.Addr().String()), clock: clock.NewManual(1.7e12), completions: make(chan dispatch.Completion, 16)}
	guard := &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 8: true}}
	options := Options{Clock: s.clock, Settings: func() platformconfig.Upstream {
		return platformconfig.Upstream{IdleTimeout: 15_000, ConnectTimeout: 5000, MaxStreams: 4}
	},
		Guard: func() *routing.Guard { return guard }, Complete: func(e dispatch.Completion) { s.completions <- e }, Metrics: metrics.New(), MaxConnections: func() int64 { return 0 }}
	if change != nil {
		change(&options)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.pool = NewPool(ctx, options)
	s.pool.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{{Server: routing.Server{ID: 1, Phase: routing.Ready}, Addr: s.addr}}})
	actor := s.pool.upstreams[1]
	t.Cleanup(func() {
		stop()
		<-actor.stopped
	})
	return s
}

// send hands an attempt with an id to the pool; known is the tag of the client's copy.
func (s *cacheServer) send(txn, known string) *dispatch.Attempt {
	s.t.Helper()
	return s.sendBy(txn, known, 0)
}

// sendBy is send of an attempt that may be written until a time.
func (s *cacheServer) sendBy(txn, known string, by float64) *dispatch.Attempt {
	s.t.Helper()
	a := &dispatch.Attempt{Request: &dispatch.Request{TransactionID: txn, Object: 7, IfNoneMatch: known}, Class: &routing.Class{Name: "part"},
		Decision: routing.SendAttempt{Server: 1, FillSource: 8}, ExpiresAt: s.clock.Now() + 60_000, SendDeadline: by}
	if e := s.pool.Send(a); e != nil {
		s.t.Fatalf("%s was not taken: %v", txn, e.Result)
	}
	return a
}

// accept waits for the next connection.
func (s *cacheServer) accept() *cacheConn {
	s.t.Helper()
	s.ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	c, err := s.ln.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &cacheConn{TCPConn: c.(*net.TCPConn), t: s.t, in: bufio.NewReader(c)}
}

// completion waits for the end of an attempt.
func (s *cacheServer) completion(of *dispatch.Attempt) dispatch.Completion {
	s.t.Helper()
	select {
	case e := <-s.completions:
		if e.Attempt != of {
			s.t.Fatalf("the end of %s came, not of %s", e.Attempt.Request.TransactionID, of.Request.TransactionID)
		}
		s.pool.Release(of)
		return e
	case <-time.After(testTimeout):
		s.t.Fatalf("%s has no end", of.Request.TransactionID)
	}
	return dispatch.Completion{}
}

// command reads one command.
func (c *cacheConn) command() []string {
	c.t.Helper()
	var n int
	if _, err := fmt.Fscanf(c.in, "*%d\r\n", &n); err != nil {
		c.t.Fatal(err)
	}
	words := make([]string, n)
	for i := range words {
		var length int
		if _, err := fmt.Fscanf(c.in, "$%d\r\n", &length); err != nil {
			c.t.Fatal(err)
		}
		b := make([]byte, length+2)
		for at := 0; at < len(b); {
			got, err := c.in.Read(b[at:])
			if err != nil {
				c.t.Fatal(err)
			}
			at += got
		}
		words[i] = string(b[:length])
	}
	return words
}

// write writes bytes as they are.
func (c *cacheConn) write(text string) {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

// frame is an answer as a cache writes it.
func frame(id, word, fields, body string) string {
	b := appendBulk(appendBulk(appendBulk([]byte("*4\r\n"), id), word), fields)
	return string(appendBulk(b, body))
}

// tcpPair is both ends of a loopback connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// counter waits until a counter of the pool has a value.
func (s *cacheServer) counter(name string, want int64) {
	s.t.Helper()
	for until := time.Now().Add(testTimeout); s.pool.Metrics.Counter(name).Load() < want; {
		if time.Now().After(until) {
			s.t.Fatalf("%s did not come to %d", name, want)
		}
		time.Sleep(time.Millisecond)
	}
}

// connections waits until so many are open or being dialled.
func (s *cacheServer) connections(want int64) {
	s.t.Helper()
	for until := time.Now().Add(testTimeout); s.pool.openConnections.Load() != want; {
		if time.Now().After(until) {
			s.t.Fatalf("%d connections, not %d", s.pool.openConnections.Load(), want)
		}
		time.Sleep(time.Millisecond)
	}
}

// noCompletion checks that no attempt has ended.
func (s *cacheServer) noCompletion() {
	s.t.Helper()
	select {
	case e := <-s.completions:
		s.t.Fatalf("%s ended as %v", e.Attempt.Request.TransactionID, e.Result)
	default:
	}
}
