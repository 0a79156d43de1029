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

// Guards against a 304 for a copy that no cache has named: the reply to an offered tag keeps
// another one, none, or two.
func TestKeepMustNameOfferedTag(t *testing.T) {
	server := newCacheServer(t, nil)
	var conn *cacheConn
	for i, test := range []struct {
		offered, fields string
		result          routing.Result
		kind            dispatch.ResponseKind
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
		id := fmt.Sprint("r", i)
		attempt := server.send(id, test.offered)
		if conn == nil {
			conn = server.accept()
		}
		command := conn.command()
		if offered := strings.HasSuffix(command[2], ",known="+test.offered); offered != (test.offered != "") {
			t.Fatalf("%q was offered as %q", test.offered, command[2])
		}
		conn.write(frame(id, "KEEP", test.fields, ""))
		got := server.completion(attempt)
		if got.Result != test.result || got.Response.Kind != test.kind {
			t.Errorf("offered %q, KEEP with %q: completed as %v, answered as %v", test.offered, test.fields, got.Result, got.Response.Kind)
		}
	}
}

// A command is small and is written at once: held back by the system it would be lost with a
// connection that is reset.
func TestNoDelayIsSet(t *testing.T) {
	dialed := make(chan net.Conn, 1)
	server := newCacheServer(t, func(options *Options) {
		dial := NewPool(context.Background(), Options{}).Dial
		options.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			netConn, err := dial(ctx, to)
			dialed <- netConn
			return netConn, err
		}
	})
	server.send("a", "")
	server.accept().command()
	raw, err := (<-dialed).(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	noDelay := 0
	controlErr := raw.Control(func(fd uintptr) {
		noDelay, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	if controlErr != nil || err != nil || noDelay == 0 {
		t.Errorf("TCP_NODELAY is %d, %v, %v", noDelay, controlErr, err)
	}
}

// Half a line of a reply, and then the connection's end: what is in flight on it completes
// once, as lost, and what follows takes a new connection.
func TestConnectionEndsInsideReply(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			server := newCacheServer(t, nil)
			first := server.send("a", "")
			conn := server.accept()
			conn.command()
			conn.write("*4\r\n$1\r\na\r\n$4\r\nDO")
			conn.closeWith(reset)
			if got := server.completion(first); got.Result != routing.ConnectionLost {
				t.Errorf("completed as %v", got.Result)
			}
			second := server.send("b", "")
			conn = server.accept()
			conn.command()
			conn.write(frame("b", "DONE", "tag=t", "body"))
			if got := server.completion(second); got.Result != routing.Served || string(got.Response.Body) != "body" {
				t.Errorf("what followed completed as %v", got.Result)
			}
			server.noCompletion()
		})
	}
}

// A cache that closes over a command it has not read resets the connection under the request:
// that may have been executed.
func TestResetOverUnreadCommand(t *testing.T) {
	server := newCacheServer(t, nil)
	attempt := server.send("a", "")
	conn := server.accept()
	if _, err := conn.in.Peek(1); err != nil { // the command has come
		t.Fatal(err)
	}
	conn.closeWith(true)
	if got := server.completion(attempt); got.Result != routing.ConnectionLost {
		t.Errorf("completed as %v", got.Result)
	}
	server.waitForNoConnections()
}

// This side closes a connection on which half a reply has come, as it does where an attempt
// is canceled for a retry: that completes once, whatever the reader reports after.
func TestCloseOverUnreadBytes(t *testing.T) {
	server := newCacheServer(t, nil)
	attempt := server.send("a", "")
	conn := server.accept()
	conn.command()
	conn.write("*4\r\n$1\r\na\r\n$4\r\nDO")
	attempt.MayRetry = true
	attempt.TransportState.Cancel(attempt)
	if got := server.completion(attempt); got.Result != routing.Canceled {
		t.Errorf("completed as %v", got.Result)
	}
	if _, err := conn.in.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
	server.waitForNoConnections()
	server.noCompletion()
}

// A second reply some ms after the first belongs to no request, whatever is in flight, and
// the connection stays in use.
func TestDuplicateReplyAfterCompletion(t *testing.T) {
	server := newCacheServer(t, nil)
	first := server.send("a", "")
	conn := server.accept()
	conn.command()
	conn.write(frame("a", "DONE", "tag=t", "first"))
	if got := server.completion(first); string(got.Response.Body) != "first" {
		t.Errorf("answered with %q", got.Response.Body)
	}
	second := server.send("b", "")
	conn.command()
	conn.write(frame("a", "DONE", "tag=t", "second"))
	server.waitForCounter("peer_answers_late", 1)
	server.noCompletion()
	conn.write(frame("b", "DONE", "tag=t", "own"))
	if got := server.completion(second); string(got.Response.Body) != "own" {
		t.Errorf("the next was answered with %q", got.Response.Body)
	}
}

// A connection that comes up late is used for what still may be written.
func TestLateConnection(t *testing.T) {
	up := make(chan struct{})
	server := newCacheServer(t, func(options *Options) {
		options.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			<-up
			return dialTCP(ctx, to)
		}
	})
	waiting := server.send("a", "")
	expired := server.sendBy("b", "", server.clock.Now()+1500)
	server.clock.Advance(1500)
	close(up)
	if got := server.completion(expired); got.Result != routing.NotSent {
		t.Errorf("what must not be written any more completed as %v", got.Result)
	}
	conn := server.accept()
	if command := conn.command(); command[1] != "a" {
		t.Errorf("%s was written", command[1])
	}
	conn.write(frame("a", "DONE", "-", ""))
	if got := server.completion(waiting); got.Result != routing.Served {
		t.Errorf("what waited completed as %v", got.Result)
	}
}

// A connection that never comes up proves, when the settings' time for it is over, that
// nothing was executed.
func TestConnectionNeverComesUp(t *testing.T) {
	server := newCacheServer(t, func(options *Options) {
		options.Settings = func() platformconfig.Upstream {
			return platformconfig.Upstream{IdleTimeout: 15_000, ConnectTimeout: 20, MaxStreams: 4}
		}
		options.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	if got := server.completion(server.send("a", "")); got.Result != routing.ConnectFailed {
		t.Errorf("completed as %v", got.Result)
	}
	server.waitForNoConnections()
}

// An idle connection that the cache closes early completes nothing, and is not written to any
// more.
func TestServerClosesIdleConnection(t *testing.T) {
	server := newCacheServer(t, nil)
	first := server.send("a", "")
	conn := server.accept()
	conn.command()
	conn.write(frame("a", "LACK", "-", ""))
	server.completion(first)
	conn.closeWith(false)
	server.waitForNoConnections()
	server.noCompletion()
	second := server.send("b", "")
	conn = server.accept()
	conn.command()
	conn.write(frame("b", "DONE", "-", ""))
	if got := server.completion(second); got.Result != routing.Served {
		t.Errorf("what followed completed as %v", got.Result)
	}
}
