package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// testTimeout is the time after which a test fails if an expected event does not come. The result
// of a test that passes does not depend on it.
const testTimeout = 10 * time.Second

// cacheServer is a cache on a loopback listener, and a pool in which the cache is server 1. The
// test writes the bytes of the cache's replies.
type cacheServer struct {
	t           *testing.T
	addr        netip.AddrPort
	listener    *net.TCPListener
	pool        *Pool
	clock       *clock.Manual
	completions chan dispatch.Completion
}

// cacheConn is the cache's side of a connection.
type cacheConn struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

// newCacheServer starts a cache and a pool. If configure is not nil, it may change the options of
// the pool.
func newCacheServer(t *testing.T, configure func(*Options)) *cacheServer {
	t.Helper()
	listener := listenTCP(t)
	server := &cacheServer{
		t:           t,
		addr:        netip.MustParseAddrPort(listener.Addr().String()),
		listener:    listener,
		clock:       clock.NewManual(1.7e12),
		completions: make(chan dispatch.Completion, 16),
	}
	guard := &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 8: true}}
	options := Options{
		Clock: server.clock,
		Settings: func() platformconfig.Upstream {
			return platformconfig.Upstream{IdleTimeout: 15_000, ConnectTimeout: 5000, MaxStreams: 4}
		},
		Guard:          func() *routing.Guard { return guard },
		Complete:       func(completion dispatch.Completion) { server.completions <- completion },
		Metrics:        metrics.New(),
		MaxConnections: func() int64 { return 0 },
	}
	if configure != nil {
		configure(&options)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server.pool = NewPool(ctx, options)
	endpoint := platformconfig.Endpoint{Server: routing.Server{ID: 1, Phase: routing.Ready}, Addr: server.addr}
	server.pool.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{endpoint}})
	actor := server.pool.upstreams[1]
	t.Cleanup(func() {
		cancel()
		<-actor.stopped
	})
	return server
}

// listenTCP listens on a loopback port until the test ends.
func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	return listener
}

// closeAtEnd closes closer when the test ends. It ignores the error of Close, because the test may
// have closed closer already.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = closer.Close() })
}

// send passes an attempt with the given id to the pool. ifNoneMatch is the entity tag of the
// client's copy.
func (s *cacheServer) send(id, ifNoneMatch string) *dispatch.Attempt {
	s.t.Helper()
	return s.sendWithDeadline(id, ifNoneMatch, 0)
}

// sendWithDeadline is like send, but the attempt must not be written at or after the given
// deadline.
func (s *cacheServer) sendWithDeadline(id, ifNoneMatch string, deadline float64) *dispatch.Attempt {
	s.t.Helper()
	attempt := &dispatch.Attempt{
		Request:      &dispatch.Request{TransactionID: id, Object: 7, IfNoneMatch: ifNoneMatch},
		Class:        &routing.Class{Name: "part"},
		Decision:     routing.SendAttempt{Server: 1, FillSource: 8},
		ExpiresAt:    s.clock.Now() + 60_000,
		SendDeadline: deadline,
	}
	if completion := s.pool.Send(attempt); completion != nil {
		s.t.Fatalf("attempt %s was not accepted: %v", id, completion.Result)
	}
	return attempt
}

// accept waits for the next connection.
func (s *cacheServer) accept() *cacheConn {
	s.t.Helper()
	conn, err := s.listener.AcceptTCP()
	if err != nil {
		s.t.Fatal(err)
	}
	closeAtEnd(s.t, conn)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		s.t.Fatal(err)
	}
	return &cacheConn{TCPConn: conn, t: s.t, in: bufio.NewReader(conn)}
}

// waitForCompletion waits for the next completion and returns it. The completion must belong to the
// given attempt.
func (s *cacheServer) waitForCompletion(attempt *dispatch.Attempt) dispatch.Completion {
	s.t.Helper()
	want := attempt.Request.TransactionID
	select {
	case completion := <-s.completions:
		if completion.Attempt != attempt {
			s.t.Fatalf("got the completion of attempt %s, want that of %s", completion.Attempt.Request.TransactionID, want)
		}
		attempt.TransportState.Release(attempt)
		return completion
	case <-time.After(testTimeout):
		s.t.Fatalf("attempt %s did not complete before the test timeout", want)
	}
	return dispatch.Completion{}
}

// checkNoCompletion checks that no completion is waiting to be received.
func (s *cacheServer) checkNoCompletion() {
	s.t.Helper()
	select {
	case completion := <-s.completions:
		s.t.Fatalf("attempt %s completed unexpectedly as %v", completion.Attempt.Request.TransactionID, completion.Result)
	default:
	}
}

// waitForCounter waits until the named counter of the pool is at least minimum.
func (s *cacheServer) waitForCounter(name string, minimum int64) {
	s.t.Helper()
	s.waitFor(name, func() bool { return s.pool.Metrics.Counter(name).Load() >= minimum })
}

// waitForNoConnections waits until no connection is open or being dialed.
func (s *cacheServer) waitForNoConnections() {
	s.t.Helper()
	s.waitFor("no connections", func() bool { return s.pool.openConnections.Load() == 0 })
}

// waitFor waits until the predicate reached returns true. The description names the awaited state
// in the failure message.
func (s *cacheServer) waitFor(description string, reached func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timeout while waiting for %s", description)
		}
	}
}

// readCommand reads one command.
func (c *cacheConn) readCommand() []string {
	c.t.Helper()
	var n int
	if _, err := fmt.Fscanf(c.in, "*%d\r\n", &n); err != nil {
		c.t.Fatal(err)
	}
	command := make([]string, n)
	for i := range command {
		var length int
		if _, err := fmt.Fscanf(c.in, "$%d\r\n", &length); err != nil {
			c.t.Fatal(err)
		}
		content := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(c.in, content); err != nil {
			c.t.Fatal(err)
		}
		command[i] = string(content[:length])
	}
	return command
}

// write sends text to the router unchanged.
func (c *cacheConn) write(text string) {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

// closeOrReset closes the connection, with a TCP reset if reset is true.
func (c *cacheConn) closeOrReset(reset bool) {
	c.t.Helper()
	if reset {
		if err := c.SetLinger(0); err != nil {
			c.t.Fatal(err)
		}
	}
	if err := c.Close(); err != nil {
		c.t.Fatal(err)
	}
}

// encodeReply returns a reply as a cache writes it.
func encodeReply(id, status, fields, body string) string {
	text := appendArray(nil, replyElements)
	for _, content := range []string{id, status, fields, body} {
		text = appendBulk(text, content)
	}
	return string(text)
}

// tcpPair returns the two ends of a loopback connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener := listenTCP(t)
	client, err := dialTCP(t.Context(), netip.MustParseAddrPort(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, client)
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, server)
	return client, server
}
