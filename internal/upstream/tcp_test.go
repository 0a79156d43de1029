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

// A client must get a 304 only if the cache names exactly the client's copy. A KEEP reply that
// names another tag, no tag or two tags is a server error.
func TestKeepMustNameClientTag(t *testing.T) {
	server := newCacheServer(t, nil)
	var conn *cacheConn
	for i, test := range []struct {
		clientTag, fields string
		result            routing.Result
		kind              dispatch.ResponseKind
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
		attempt := server.send(id, test.clientTag)
		if conn == nil {
			conn = server.accept()
		}
		command := conn.readCommand()
		if offered := strings.HasSuffix(command[2], ",known="+test.clientTag); offered != (test.clientTag != "") {
			t.Fatalf("client tag %q: got command fields %q", test.clientTag, command[2])
		}
		conn.write(encodeReply(id, "KEEP", test.fields, ""))
		got := server.waitForCompletion(attempt)
		if got.Result != test.result || got.Response.Kind != test.kind {
			t.Errorf("client tag %q, KEEP with fields %q: got result %v and response kind %v", test.clientTag, test.fields, got.Result, got.Response.Kind)
		}
	}
}

// A command is small and must be sent at once. If the kernel delayed it, it would be lost when the
// connection is reset.
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
	server.accept().readCommand()
	raw, err := (<-dialed).(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	noDelay := 0
	controlErr := raw.Control(func(fd uintptr) {
		noDelay, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	if controlErr != nil || err != nil || noDelay == 0 {
		t.Errorf("got TCP_NODELAY %d, errors %v and %v; want it set", noDelay, controlErr, err)
	}
}

// A connection ends in the middle of a line of a reply. The attempt in flight on it completes
// once, as ConnectionLost, and the next attempt uses a new connection.
func TestConnectionEndsInsideReply(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			server := newCacheServer(t, nil)
			first := server.send("a", "")
			conn := server.accept()
			conn.readCommand()
			conn.write("*4\r\n$1\r\na\r\n$4\r\nDO")
			conn.closeOrReset(reset)
			if got := server.waitForCompletion(first); got.Result != routing.ConnectionLost {
				t.Errorf("completed as %v", got.Result)
			}
			second := server.send("b", "")
			conn = server.accept()
			conn.readCommand()
			conn.write(encodeReply("b", "DONE", "tag=t", "body"))
			if got := server.waitForCompletion(second); got.Result != routing.Served || string(got.Response.Body) != "body" {
				t.Errorf("next attempt completed as %v, want Served with its body", got.Result)
			}
			server.checkNoCompletion()
		})
	}
}

// A cache that closes a connection without reading the command resets it. The request may have
// been executed, so the attempt completes as ConnectionLost.
func TestResetWithUnreadCommand(t *testing.T) {
	server := newCacheServer(t, nil)
	attempt := server.send("a", "")
	conn := server.accept()
	if _, err := conn.in.Peek(1); err != nil { // wait until the command has arrived
		t.Fatal(err)
	}
	conn.closeOrReset(true)
	if got := server.waitForCompletion(attempt); got.Result != routing.ConnectionLost {
		t.Errorf("completed as %v", got.Result)
	}
	server.waitForNoConnections()
}

// This side closes a connection after part of a reply has come, because the attempt is canceled
// for a retry. The attempt completes once, whatever the reader goroutine reports afterwards.
func TestCloseWithPartialReply(t *testing.T) {
	server := newCacheServer(t, nil)
	attempt := server.send("a", "")
	conn := server.accept()
	conn.readCommand()
	conn.write("*4\r\n$1\r\na\r\n$4\r\nDO")
	attempt.MayRetry = true
	attempt.TransportState.Cancel(attempt)
	if got := server.waitForCompletion(attempt); got.Result != routing.Canceled {
		t.Errorf("completed as %v", got.Result)
	}
	if _, err := conn.in.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
	server.waitForNoConnections()
	server.checkNoCompletion()
}

// A second reply to an id that is already completed must not complete another attempt in flight,
// and the connection stays in use.
func TestDuplicateReplyAfterCompletion(t *testing.T) {
	server := newCacheServer(t, nil)
	first := server.send("a", "")
	conn := server.accept()
	conn.readCommand()
	conn.write(encodeReply("a", "DONE", "tag=t", "first"))
	if got := server.waitForCompletion(first); string(got.Response.Body) != "first" {
		t.Errorf("first attempt: got body %q, want \"first\"", got.Response.Body)
	}
	second := server.send("b", "")
	conn.readCommand()
	conn.write(encodeReply("a", "DONE", "tag=t", "second"))
	server.waitForCounter("peer_answers_late", 1)
	server.checkNoCompletion()
	conn.write(encodeReply("b", "DONE", "tag=t", "own"))
	if got := server.waitForCompletion(second); string(got.Response.Body) != "own" {
		t.Errorf("next attempt: got body %q, want \"own\"", got.Response.Body)
	}
}

// After a slow dial, the queued attempts that may still be written use the new connection.
func TestSlowDial(t *testing.T) {
	allowDial := make(chan struct{})
	server := newCacheServer(t, func(options *Options) {
		options.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			<-allowDial
			return dialTCP(ctx, to)
		}
	})
	waiting := server.send("a", "")
	expired := server.sendWithDeadline("b", "", server.clock.Now()+1500)
	server.clock.Advance(1500)
	close(allowDial)
	if got := server.waitForCompletion(expired); got.Result != routing.NotSent {
		t.Errorf("attempt past its send deadline completed as %v, want NotSent", got.Result)
	}
	conn := server.accept()
	if command := conn.readCommand(); command[1] != "a" {
		t.Errorf("got a command for attempt %s, want a", command[1])
	}
	conn.write(encodeReply("a", "DONE", "-", ""))
	if got := server.waitForCompletion(waiting); got.Result != routing.Served {
		t.Errorf("waiting attempt completed as %v, want Served", got.Result)
	}
}

// A dial that does not succeed within the connect timeout proves that the server executed
// nothing, so the attempt completes as ConnectFailed.
func TestConnectTimeout(t *testing.T) {
	server := newCacheServer(t, func(options *Options) {
		options.Settings = func() platformconfig.Upstream {
			return platformconfig.Upstream{IdleTimeout: 15_000, ConnectTimeout: 20, MaxStreams: 4}
		}
		options.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	if got := server.waitForCompletion(server.send("a", "")); got.Result != routing.ConnectFailed {
		t.Errorf("completed as %v", got.Result)
	}
	server.waitForNoConnections()
}

// When the cache closes an idle connection early, no attempt completes, and the next attempt uses
// a new connection.
func TestServerClosesIdleConnection(t *testing.T) {
	server := newCacheServer(t, nil)
	first := server.send("a", "")
	conn := server.accept()
	conn.readCommand()
	conn.write(encodeReply("a", "LACK", "-", ""))
	server.waitForCompletion(first)
	conn.closeOrReset(false)
	server.waitForNoConnections()
	server.checkNoCompletion()
	second := server.send("b", "")
	conn = server.accept()
	conn.readCommand()
	conn.write(encodeReply("b", "DONE", "-", ""))
	if got := server.waitForCompletion(second); got.Result != routing.Served {
		t.Errorf("next attempt completed as %v, want Served", got.Result)
	}
}
