package httpfront

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
)

// startPipeline sends requests at once, and returns once the first is submitted.
func startPipeline(t *testing.T, server *Server, dispatcher *fakeDispatcher, requests int, request string) net.Conn {
	t.Helper()
	dispatcher.hold = true
	conn := dial(t, server)
	setReadDeadline(t, conn)
	send(t, conn, strings.Repeat(request, requests)) // all fits into the buffers of the system
	waitFor(t, "the first request is submitted", func() bool { return dispatcher.count() == 1 })
	return conn
}

// TestDrainServesPipelines guards against pipelined requests that are read and not answered because the process is
// replaced: each request gets its response, and only the last response closes the connection.
func TestDrainServesPipelines(t *testing.T) {
	ends := map[string]func(*testing.T, *Server){
		"stop accepting": func(_ *testing.T, server *Server) { server.StopAccepting() },
		"shutdown":       beginShutdown,
		"both": func(t *testing.T, server *Server) {
			server.StopAccepting()
			beginShutdown(t, server)
		},
	}
	write := putRequest(2000) + strings.Repeat("w", 2000)
	for name, end := range ends {
		for _, requests := range []int{2, 10, 50} {
			for kind, request := range map[string]string{"reads": getRequest(objectTarget), "writes": write} {
				t.Run(fmt.Sprintf("%s, %d %s", name, requests, kind), func(t *testing.T) {
					dispatcher := &fakeDispatcher{}
					server := newServer(dispatcher)
					conn := startPipeline(t, server, dispatcher, requests, request)
					end(t, server)
					checkDrainedPipeline(t, conn, dispatcher, requests)
					waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
				})
			}
		}
	}
}

// checkDrainedPipeline answers each request once it is submitted, and checks the responses.
func checkDrainedPipeline(t *testing.T, conn net.Conn, dispatcher *fakeDispatcher, requests int) {
	t.Helper()
	reader := bufio.NewReader(conn)
	for i := range requests {
		waitFor(t, "the next request is submitted", func() bool { return dispatcher.count() == i+1 })
		body := fmt.Sprint("response ", i)
		dispatcher.request(i).Respond(dispatch.Response{Kind: dispatch.Served, Body: []byte(body)})
		if response := readResponse(t, reader, body); response.closes != (i == requests-1) {
			t.Fatalf("response %d of %d: got close %v, want it on the last response alone", i+1, requests, response.closes)
		}
	}
	closeConn(t, conn)
}

// TestDrainEnds checks that no client can hold up a shutdown with requests: after the time of DrainBy, the next
// response closes the connection.
func TestDrainEnds(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	server := newServer(dispatcher)
	conn := startPipeline(t, server, dispatcher, 20, getRequest(objectTarget))
	if left := server.drainingMs(); !math.IsInf(left, 1) {
		t.Errorf("got %v ms left before DrainBy, want no limit", left)
	}
	server.DrainBy(startTime + 1000)
	beginShutdown(t, server)
	reader := bufio.NewReader(conn)
	dispatcher.request(0).Respond(servedX)
	if readResponse(t, reader, "x").closes {
		t.Fatal("the first response closes the connection, want it kept until the time of DrainBy")
	}
	waitFor(t, "the second request is submitted", func() bool { return dispatcher.count() == 2 })
	server.Clock.(*clock.Manual).Advance(1000)
	dispatcher.request(1).Respond(servedX)
	if !readResponse(t, reader, "x").closes {
		t.Error("the response after the time of DrainBy keeps the connection alive")
	}
	closeConn(t, conn)
	waitFor(t, "the connection is closed", func() bool { return server.connCount() == 0 })
	if count := dispatcher.count(); count != 2 {
		t.Errorf("got %d submitted requests, want 2", count)
	}
}
