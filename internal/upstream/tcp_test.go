package upstream

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"

	"garnetline/internal/dispatch"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// Guards against a 304 for a copy that no cache has named: the answer to an offered tag
// keeps another one, none, or two.
func TestKeepMustNameOfferedTag(t *testing.T) {
	s := newCacheServer(t, nil)
	var c *cacheConn
	for i, test := range []struct {
		known, fields string
		result        routing.Result
		kind          dispatch.ResponseKind
	}{
		{"t1", "tag=t1,minted=5", routing.Served, dispatch.NotModified},
		{"t1", "tag=t2,minted=5", routing.ServerError, dispatch.Failed},
		{"t1", "tag=t1x", routing.ServerError, dispatch.Failed},
		{"t1", "minted=5", routing.ServerError, dispatch.Failed},
		{"t1", "-", routing.ServerError, dispatch.Failed},
		{"t1", "tag=t2,tag=t1", routing.ServerError, dispatch.Failed},
		{"t1", "tag=t1,tag=t2", routing.ServerError, dispatch.Failed},
		{"", "tag=t1", routing.ServerError, dispatch.Failed},
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
		c.write(frame(txn, "KEEP", test.fields, ""))
		if e := s.completion(a); e.Result != test.result || e.Response.Kind != test.kind {
			t.Errorf("offered %q, KEEP with %q: ended as %v, answered as %v", test.known, test.fields, e.Result, e.Response.Kind)
		}
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
		c.write("*4\r\n$1\r\na\r\n$4\r\nDO")
		end(c)
		if e := s.completion(a); e.Result != routing.ConnectionLost {
			t.Errorf("%s: ended as %v", name, e.Result)
		}
		b := s.send("b", "")
		c = s.accept()
		c.command()
		c.write(frame("b", "DONE", "tag=t", "body"))
		if e := s.completion(b); e.Result != routing.Served || string(e.Response.Body) != "body" {
			t.Errorf("%s: what followed ended as %v", name, e.Result)
		}
		s.noCompletion()
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
	if e := s.completion(a); e.Result != routing.ConnectionLost {
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
	c.write("*4\r\n$1\r\na\r\n$4\r\nDO")
	a.MayRetry = true
	s.pool.Cancel(a)
	if e := s.completion(a); e.Result != routing.Canceled {
		t.Errorf("ended as %v", e.Result)
	}
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
	s.connections(0)
	s.noCompletion()
}

// A second answer some ms after the first is nobody's, whatever it says, and the connection
// goes on.
func TestDuplicateReplyAfterCompletion(t *testing.T) {
	s := newCacheServer(t, nil)
	a := s.send("a", "")
	c := s.accept()
	c.command()
	c.write(frame("a", "DONE", "tag=t", "first"))
	if e := s.completion(a); string(e.Response.Body) != "first" {
		t.Errorf("answered with %q", e.Response.Body)
	}
	b := s.send("b", "")
	c.command()
	c.write(frame("a", "DONE", "tag=t", "second"))
	s.counter("peer_answers_late", 1)
	s.noCompletion()
	c.write(frame("b", "DONE", "tag=t", "own"))
	if e := s.completion(b); string(e.Response.Body) != "own" {
		t.Errorf("the next was answered with %q", e.Response.Body)
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
	a, b := s.send("a", ""), s.sendBy("b", "", s.clock.Now()+1500)
	s.clock.Advance(1500) // b's window has ended
	close(up)
	if e := s.completion(b); e.Result != routing.NotSent {
		t.Errorf("what may not be written any more ended as %v", e.Result)
	}
	c := s.accept()
	if cmd := c.command(); cmd[1] != "a" {
		t.Errorf("%s was written", cmd[1])
	}
	c.write(frame("a", "DONE", "-", ""))
	if e := s.completion(a); e.Result != routing.Served {
		t.Errorf("what waited ended as %v", e.Result)
	}

	s = newCacheServer(t, func(o *Options) {
		o.Settings = func() platformconfig.Upstream {
			return platformconfig.Upstream{IdleTimeout: 15_000, ConnectTimeout: 20, MaxStreams: 4}
		}
		o.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	if e := s.completion(s.send("a", "")); e.Result != routing.ConnectFailed {
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
	c.write(frame("a", "LACK", "-", ""))
	s.completion(a)
	c.Close()
	s.connections(0)
	s.noCompletion()
	b := s.send("b", "")
	c = s.accept()
	c.command()
	c.write(frame("b", "DONE", "-", ""))
	if e := s.completion(b); e.Result != routing.Served {
		t.Errorf("what followed ended as %v", e.Result)
	}
}
