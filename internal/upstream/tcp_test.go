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
	"garnetline/internal/fakeserver"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// TestKeepMustNameClientTag checks that a client gets a 304 response only if the cache names
// exactly the client's copy. A KEEP reply is a server error if it names another tag, no tag or two
// tags.
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

// TestNoDelayIsSet checks that connections have TCP_NODELAY set. Without it, the kernel may delay a
// small command, and a reset of the connection would lose the delayed command.
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

// TestConnectionEndsInsideReply checks a connection that ends in the middle of a line of a reply.
// The attempt in flight on the connection completes once, as ConnectionLost. The next attempt uses
// a new connection.
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
				t.Errorf("attempt completed as %v, want ConnectionLost", got.Result)
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

// TestResetWithUnreadCommand checks the result of an attempt whose connection is reset before the
// cache reads the command. The router cannot know whether the cache executed the request, so the
// attempt completes as ConnectionLost.
func TestResetWithUnreadCommand(t *testing.T) {
	server := newCacheServer(t, nil)
	attempt := server.send("a", "")
	conn := server.accept()
	if _, err := conn.in.Peek(1); err != nil { // wait until the command has arrived
		t.Fatal(err)
	}
	conn.closeOrReset(true)
	if got := server.waitForCompletion(attempt); got.Result != routing.ConnectionLost {
		t.Errorf("attempt completed as %v, want ConnectionLost", got.Result)
	}
	server.waitForNoConnections()
}

// TestCloseWithPartialReply checks an attempt that is canceled, in favor of a retry, after part of
// its reply has arrived. The router closes the connection. The attempt completes once, even if the
// reader goroutine reports the end of the connection later.
func TestCloseWithPartialReply(t *testing.T) {
	server := newCacheServer(t, nil)
	attempt := server.send("a", "")
	conn := server.accept()
	conn.readCommand()
	conn.write("*4\r\n$1\r\na\r\n$4\r\nDO")
	attempt.MayRetry = true
	attempt.TransportState.Cancel(attempt)
	if got := server.waitForCompletion(attempt); got.Result != routing.Canceled {
		t.Errorf("attempt completed as %v, want Canceled", got.Result)
	}
	if _, err := conn.in.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
	server.waitForNoConnections()
	server.checkNoCompletion()
}

// TestDuplicateReplyAfterCompletion checks that a second reply to a completed attempt does not
// complete another attempt in flight. The connection stays in use.
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

// TestSlowDial checks the queued attempts at the end of a slow dial. Attempts that may still be
// written use the new connection. An attempt past its send deadline is not written.
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

// TestConnectTimeout checks that an attempt completes as ConnectFailed if the dial does not succeed
// within the connect timeout. Without a connection, the server has executed nothing.
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
		t.Errorf("attempt completed as %v, want ConnectFailed", got.Result)
	}
	server.waitForNoConnections()
}

// TestServerClosesIdleConnection checks that no attempt completes when the cache closes an idle
// connection early. The next attempt uses a new connection.
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

// TestMalformedRepliesEndTheConnection sends malformed replies on real connections, each followed by a sound
// reply to the same attempt. None of them may complete the attempt otherwise than by the end of its
// connection, and each is counted. Replies in each form of RESP stay accepted.
func TestMalformedRepliesEndTheConnection(t *testing.T) {
	const sound = "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$5\r\ntag=t\r\n$3\r\nabc\r\n"
	replace := func(old, replacement string) string { return strings.Replace(sound, old, replacement, 1) }
	for _, test := range []struct {
		name, text string
		accepted   bool
	}{
		{"as usual", sound, true},
		{"zeros before lengths", replace("*4", "*04"), true},
		{"no fields", replace("$5\r\ntag=t", "$1\r\n-"), true},
		{"field without a value", replace("$5\r\ntag=t", "$8\r\nx=,tag=t"), true},
		{"line ends with LF", replace("*4\r\n", "*4\n"), false},
		{"line ends with two CR", replace("*4\r\n", "*4\r\r\n"), false},
		{"space before the type", replace("*4", " *4"), false},
		{"space after the length", replace("*4", "*4 "), false},
		{"space before the length", replace("$1", "$ 1"), false},
		{"tab after the length", replace("$1", "$1\t"), false},
		{"plus", replace("$1", "$+1"), false},
		{"below zero", replace("$1", "$-1"), false},
		{"hexadecimal", replace("$1", "$0x1"), false},
		{"no length", replace("$1", "$"), false},
		{"line that never ends", strings.Repeat("*", 5000), false},
		{"length beyond 64 bits", replace("$1", "$18446744073709551617"), false},
		{"another type", replace("$1", "+1"), false},
		{"five elements", replace("*4", "*5"), false},
		{"longer than its length", replace("$3\r\nabc", "$3\r\nabcd"), false},
		{"shorter than its length", replace("$3\r\nabc", "$3\r\nab"), false},
		{"string ends with LF", replace("abc\r\n", "abc\n\n"), false},
		{"body too long", replace("$3", "$240001"), false},
		{"unknown status", replace("DONE", "GONE"), false},
		{"status in small letters", replace("DONE", "done"), false},
		{"field without a sign", replace("$5\r\ntag=t", "$3\r\ntag"), false},
		{"field without a name", replace("$5\r\ntag=t", "$2\r\n=t"), false},
		{"empty field", replace("$5\r\ntag=t", "$6\r\ntag=t,"), false},
		{"two tags", replace("$5\r\ntag=t", "$11\r\ntag=t,tag=u"), false},
		{"the client's copy, with a body", replace("DONE", "KEEP"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var log fakeserver.Output
			counters := metrics.New()
			server := newCacheServer(t, func(options *Options) { options.Metrics, options.Log = counters, *logs.New(&log) })
			attempt := server.send("a", "t")
			conn := server.accept()
			conn.readCommand()
			conn.write(test.text + sound)
			want, malformed := routing.Served, int64(0)
			if !test.accepted {
				want, malformed = routing.ConnectionLost, 1
			}
			if got := server.waitForCompletion(attempt).Result; got != want {
				t.Errorf("attempt completed as %v, want %v", got, want)
			}
			if got := counters.Counter("peer_answers_unreadable").Load(); got != malformed {
				t.Errorf("got %d malformed replies counted, want %d", got, malformed)
			}
			if logged := strings.Contains(log.String(), `"error":"upstream: malformed reply`); logged == test.accepted {
				t.Errorf("got the log %q, want the reason of a malformed reply and of no other", log.String())
			}
		})
	}
}
