package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"syscall"
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
	for until := time.Now().Add(testTimeout); s.pool.Stats.Counter(name).Load() < want; {
		if time.Now().After(until) {
			s.t.Fatalf("%s did not come to %d", name, want)
		}
		time.Sleep(time.Millisecond)
	}
}

// connections waits until so many are open or being dialled.
func (s *cacheServer) connections(want int64) {
	s.t.Helper()
	for until := time.Now().Add(testTimeout); s.pool.live.Load() != want; {
		if time.Now().After(until) {
			s.t.Fatalf("%d connections, not %d", s.pool.live.Load(), want)
		}
		time.Sleep(time.Millisecond)
	}
}

// noEnd checks that no attempt has ended.
func (s *cacheServer) noEnd() {
	s.t.Helper()
	select {
	case e := <-s.ends:
		s.t.Fatalf("%s ended as %v", e.Attempt.Req.Txn, e.Result)
	default:
	}
}

// A command is small and is written at once: held back by the system it would go with a
// connection that is reset.
func TestNoDelayIsSet(t *testing.T) {
	dialled := make(chan net.Conn, 1)
	s := newCacheServer(t, func(o *Options) {
		tcp := NewPool(context.Background(), Options{}).Dial
		o.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			c, err := tcp(ctx, to)
			dialled <- c
			return c, err
		}
	})
	s.send("a", "")
	s.accept().command()
	raw, err := (<-dialled).(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	on := 0
	if err := raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) }); err != nil || on == 0 {
		t.Errorf("TCP_NODELAY is %d, %v", on, err)
	}
}

// Half a line of an answer, and then the connection's end: what is open on it ends once as
// broken, and what follows takes a new connection.
func TestConnectionEndsInsideReply(t *testing.T) {
	for name, end := range map[string]func(c *cacheConn){
		"closed": func(c *cacheConn) { c.Close() },
		"reset":  func(c *cacheConn) { c.SetLinger(0); c.Close() },
	} {
		s := newCacheServer(t, nil)
		a := s.send("a", "")
		c := s.accept()
		c.command()
		c.say("*4\r\n$1\r\na\r\n$4\r\nDO")
		end(c)
		if e := s.end(a); e.Result != decide.Broken {
			t.Errorf("%s: ended as %v", name, e.Result)
		}
		b := s.send("b", "")
		c = s.accept()
		c.command()
		c.say(frame("b", "DONE", "tag=t", "body"))
		if e := s.end(b); e.Result != decide.Served || string(e.Answer.Body) != "body" {
			t.Errorf("%s: what followed ended as %v", name, e.Result)
		}
		s.noEnd()
	}
}

// A cache that closes over a command it has not read resets the connection under the
// request: it may have run.
func TestResetOverUnreadCommand(t *testing.T) {
	s := newCacheServer(t, nil)
	a := s.send("a", "")
	c := s.accept()
	if _, err := c.in.Peek(1); err != nil { // it has come, and the system still holds what follows
		t.Fatal(err)
	}
	c.SetLinger(0)
	c.Close()
	if e := s.end(a); e.Result != decide.Broken {
		t.Errorf("ended as %v", e.Result)
	}
	s.connections(0)
}

// This side closes a connection on which half an answer waits unread, as it does where the
// request is given up to be sent again: the end comes once, whatever the reader says after.
func TestCloseOverUnreadBytes(t *testing.T) {
	s := newCacheServer(t, nil)
	a := s.send("a", "")
	c := s.accept()
	c.command()
	c.say("*4\r\n$1\r\na\r\n$4\r\nDO")
	a.Again = true
	s.pool.Cancel(a)
	if e := s.end(a); e.Result != decide.Cancelled {
		t.Errorf("ended as %v", e.Result)
	}
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
	s.connections(0)
	s.noEnd()
}

// A second answer some ms after the first is nobody's, whatever it says, and the connection
// goes on.
func TestDuplicateReplyAfterCompletion(t *testing.T) {
	s := newCacheServer(t, nil)
	a := s.send("a", "")
	c := s.accept()
	c.command()
	c.say(frame("a", "DONE", "tag=t", "first"))
	if e := s.end(a); string(e.Answer.Body) != "first" {
		t.Errorf("answered with %q", e.Answer.Body)
	}
	b := s.send("b", "")
	c.command()
	c.say(frame("a", "DONE", "tag=t", "second"))
	s.counter("peer_answers_late", 1)
	s.noEnd()
	c.say(frame("b", "DONE", "tag=t", "own"))
	if e := s.end(b); string(e.Answer.Body) != "own" {
		t.Errorf("the next was answered with %q", e.Answer.Body)
	}
}

// A connection that comes up late takes what still waits for it; one that never comes up
// proves, when the settings' time for it is over, that nothing ran.
func TestLateConnection(t *testing.T) {
	up := make(chan struct{})
	s := newCacheServer(t, func(o *Options) {
		o.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			<-up
			return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
		}
	})
	a, b := s.send("a", ""), s.sendBy("b", "", s.clk.Now()+1500)
	s.clk.Advance(1500) // b's window has ended
	close(up)
	if e := s.end(b); e.Result != decide.NotSent {
		t.Errorf("what may not be written any more ended as %v", e.Result)
	}
	c := s.accept()
	if cmd := c.command(); cmd[1] != "a" {
		t.Errorf("%s was written", cmd[1])
	}
	c.say(frame("a", "DONE", "-", ""))
	if e := s.end(a); e.Result != decide.Served {
		t.Errorf("what waited ended as %v", e.Result)
	}

	s = newCacheServer(t, func(o *Options) {
		o.Conn = func() config.Conn { return config.Conn{Idle: 15_000, Connect: 20, MaxStreams: 4} }
		o.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	if e := s.end(s.send("a", "")); e.Result != decide.Unreached {
		t.Errorf("on a connection that never came up it ended as %v", e.Result)
	}
	s.connections(0)
}

// An idle connection that the cache closes early ends nothing, and is not written to any more.
func TestServerClosesIdleConnection(t *testing.T) {
	s := newCacheServer(t, nil)
	a := s.send("a", "")
	c := s.accept()
	c.command()
	c.say(frame("a", "LACK", "-", ""))
	s.end(a)
	c.Close()
	s.connections(0)
	s.noEnd()
	b := s.send("b", "")
	c = s.accept()
	c.command()
	c.say(frame("b", "DONE", "-", ""))
	if e := s.end(b); e.Result != decide.Served {
		t.Errorf("what followed ended as %v", e.Result)
	}
}
