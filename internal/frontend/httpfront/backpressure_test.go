package httpfront

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"garnetline/internal/dispatch"
)

// unreadBody is a response body that does not fit into the buffers of a client that does not read.
var unreadBody = bytes.Repeat([]byte("u"), 400<<10)

// startUnreadPipeline sends three requests at once, and returns once the server has paused the pipeline because the
// client does not read the first response.
func startUnreadPipeline(t *testing.T) (*Server, *fakeDispatcher, net.Conn) {
	t.Helper()
	dispatcher := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: unreadBody}}
	server := newServer(dispatcher)
	conn := dial(t, server)
	if err := conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	send(t, conn, strings.Repeat(getRequest(objectTarget), 3))
	waitFor(t, "the pipeline is paused", func() bool { return server.Metrics.Counter(pipelinePausesCounter).Load() > 0 })
	if count := dispatcher.count(); count != 1 {
		t.Fatalf("got %d submitted requests of a client that reads nothing, want 1", count)
	}
	return server, dispatcher, conn
}

// TestUnreadResponsePausesPipeline guards against a client that has one request open all the time because it sends
// many at once and reads no response. Once it reads, all its requests are answered.
func TestUnreadResponsePausesPipeline(t *testing.T) {
	_, dispatcher, conn := startUnreadPipeline(t)
	setReadDeadline(t, conn)
	reader := bufio.NewReader(conn)
	for i := range 3 {
		if response := readResponse(t, reader, string(unreadBody)); response.closes {
			t.Errorf("response %d closes the connection", i)
		}
	}
	if count := dispatcher.count(); count != 3 {
		t.Errorf("got %d submitted requests, want 3", count)
	}
}

// TestEndOfPausedPipeline checks that a paused connection ends with its client, and that its requests are then not
// submitted.
func TestEndOfPausedPipeline(t *testing.T) {
	for name, end := range map[string]func(*testing.T, net.Conn){"close": closeConn, "reset": resetConn} {
		t.Run(name, func(t *testing.T) {
			server, dispatcher, conn := startUnreadPipeline(t)
			end(t, conn)
			waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
			if count := dispatcher.count(); count != 1 {
				t.Errorf("got %d submitted requests, want 1", count)
			}
		})
	}
}

// TestEvictionOfPausedPipeline checks that a paused connection makes room for others: it answers one more request and
// announces its end.
func TestEvictionOfPausedPipeline(t *testing.T) {
	server, _, conn := startUnreadPipeline(t)
	evictAll(t, server)
	setReadDeadline(t, conn)
	reader := bufio.NewReader(conn)
	readResponse(t, reader, string(unreadBody))
	if response := readResponse(t, reader, string(unreadBody)); !response.closes {
		t.Error("connection is kept alive after the eviction, want it closed")
	}
}

// TestRejectedPipelineIsPaced guards against a crowd that uses the processors with rejections: all requests of a
// pipeline are rejected, at the rate of sharedPacer after the first ones.
func TestRejectedPipelineIsPaced(t *testing.T) {
	const paced = 10
	rejection := dispatch.Response{Kind: dispatch.Rejected}
	dispatcher := &fakeDispatcher{hold: true}
	server := newServer(dispatcher)
	conn := dial(t, server)
	setReadDeadline(t, conn)
	send(t, conn, getRequest(objectTarget))
	waitFor(t, "the first request is submitted", func() bool { return dispatcher.count() == 1 })
	send(t, conn, strings.Repeat(getRequest(objectTarget), rejectionBurst+paced))
	dispatcher.setResponse(rejection, false)
	dispatcher.request(0).Respond(rejection)
	reader := bufio.NewReader(conn)
	for range rejectionBurst + paced + 1 {
		if response := readResponse(t, reader, rejectedBody); response.status != http.StatusServiceUnavailable {
			t.Fatalf("got status %d, want 503", response.status)
		}
	}
	if pauses := server.Metrics.Counter(pipelinePausesCounter).Load(); pauses != paced {
		t.Errorf("got %d pauses, want %d", pauses, paced)
	}
}

// TestSharedPacer checks the burst and the rate.
func TestSharedPacer(t *testing.T) {
	pacer := &sharedPacer{}
	for i := range rejectionBurst {
		if delay := pacer.take(startTime); delay > 0 {
			t.Fatalf("call %d of the burst: got a delay of %v ms, want none", i, delay)
		}
	}
	for i := 1; i <= 600; i++ {
		if got, want := pacer.take(startTime), float64(i)*rejectionIntervalMs; got != want {
			t.Fatalf("call %d after the burst: got a delay of %v ms, want %v", i, got, want)
		}
	}
	if delay := pacer.take(startTime + 10_000); delay > 0 {
		t.Errorf("after a rest: got a delay of %v ms, want none", delay)
	}
}
