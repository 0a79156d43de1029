package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/core"
	"garnetline/internal/stats"
)

// testTimeout fails a test whose peer does not answer; no order depends on it.
const testTimeout = 10 * time.Second

// cacheServer is a cache on a loopback listener whose every word the test says.
type cacheServer struct {
	t    *testing.T
	addr netip.AddrPort
	ln   net.Listener
	pool *Pool
	clk  *clock.Manual
	ends chan core.End
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
	s := &cacheServer{t: t, ln: ln, addr: netip.MustParseAddrPort(ln.Addr().String()), clk: clock.NewManual(1.7e12), ends: make(chan core.End, 16)}
	guard := &decide.Guard{Ready: map[decide.ServerID]bool{1: true, 8: true}}
	options := Options{Clock: s.clk, Conn: func() config.Conn { return config.Conn{Idle: 15_000, Connect: 5000, MaxStreams: 4} },
		Guard: func() *decide.Guard { return guard }, End: func(e core.End) { s.ends <- e }, Stats: stats.New(), Links: func() int64 { return 0 }}
	if change != nil {
		change(&options)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.pool = NewPool(ctx, options)
	s.pool.List(config.Event{Fleet: true, Whole: true, Hosts: []config.Host{{Server: decide.Server{ID: 1, Phase: decide.Ready}, Dial: s.addr}}})
	actor := s.pool.peers[1]
	t.Cleanup(func() {
		stop()
		<-actor.done
	})
	return s
}

// send hands an attempt with an id to the pool; known is the tag of the client's copy.
func (s *cacheServer) send(txn, known string) *core.Attempt {
	s.t.Helper()
	return s.sendBy(txn, known, 0)
}

// sendBy is send of an attempt that may be written until a time.
func (s *cacheServer) sendBy(txn, known string, by float64) *core.Attempt {
	s.t.Helper()
	a := &core.Attempt{Req: &core.Request{Txn: txn, Object: 7, Known: known}, Class: &decide.Class{Name: "part"},
		Get: decide.Get{Server: 1, Source: 8}, Until: s.clk.Now() + 60_000, SendBy: by}
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

// end waits for the end of an attempt.
func (s *cacheServer) end(of *core.Attempt) core.End {
	s.t.Helper()
	select {
	case e := <-s.ends:
		if e.Attempt != of {
			s.t.Fatalf("the end of %s came, not of %s", e.Attempt.Req.Txn, of.Req.Txn)
		}
		s.pool.Over(of)
		return e
	case <-time.After(testTimeout):
		s.t.Fatalf("%s has no end", of.Req.Txn)
	}
	return core.End{}
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

// say writes bytes as they are.
func (c *cacheConn) say(text string) {
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

// Guards against a 304 for a copy that no cache has named: the answer to an offered tag
// keeps another one, none, or two.
func TestKeepMustNameOfferedTag(t *testing.T) {
	s := newCacheServer(t, nil)
	var c *cacheConn
	for i, test := range []struct {
		known, fields string
		result        decide.Result
		kind          core.Kind
	}{
		{"t1", "tag=t1,minted=5", decide.Served, core.Same},
		{"t1", "tag=t2,minted=5", decide.Errored, core.Failed},
		{"t1", "tag=t1x", decide.Errored, core.Failed},
		{"t1", "minted=5", decide.Errored, core.Failed},
		{"t1", "-", decide.Errored, core.Failed},
		{"t1", "tag=t2,tag=t1", decide.Errored, core.Failed},
		{"t1", "tag=t1,tag=t2", decide.Errored, core.Failed},
		{"", "tag=t1", decide.Errored, core.Failed},
	} {
		txn := fmt.Sprint("r", i)
		a := s.send(txn, test.known)
		if c == nil {
			c = s.accept()
		}
		cmd := c.command()
		if offered := strings.HasSuffix(cmd[2], ",known="+test.known); offered != (test.known != "") {
			t.Fatalf("%q was offered as %q", test.known, cmd[2])
		}
		c.say(frame(txn, "KEEP", test.fields, ""))
		if e := s.end(a); e.Result != test.result || e.Answer.Kind != test.kind {
			t.Errorf("offered %q, KEEP with %q: ended as %v, answered as %v", test.known, test.fields, e.Result, e.Answer.Kind)
		}
	}
}
