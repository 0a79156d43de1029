package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/golden"
	"garnetline/routing"
)

// TestResponses checks the status, header and body that a client reads for each kind of dispatcher
// response. All requests are sent on one connection.
func TestResponses(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	conn := dial(t, newServer(dispatcher))
	reader := bufio.NewReader(conn)
	for _, test := range []struct {
		name       string
		response   dispatch.Response
		wantStatus int
		header     string
		wantValue  string // value of header
		wantBody   string
	}{
		{"served", dispatch.Response{Kind: dispatch.Served, Body: []byte("a\x00\r\nb"), ETag: "t1"}, 200, "Etag", `"t1"`, "a\x00\r\nb"},
		{"not modified", dispatch.Response{Kind: dispatch.NotModified, ETag: "t1"}, 304, "Etag", `"t1"`, ""},
		{"rejected", dispatch.Response{Kind: dispatch.Rejected, RetryAfter: 250}, 503, "X-Throttle-Ms", "250", "refused: a retry is harmless\n"},
		{"failed", dispatch.Response{Kind: dispatch.Failed}, 502, "X-Throttle-Ms", "", "failed\n"},
		{"duplicate", dispatch.Response{Kind: dispatch.DuplicateID}, 409, "X-Throttle-Ms", "", "X-Txn: another request with it is open\n"},
		{"served without a body", dispatch.Response{Kind: dispatch.Served}, 200, "Content-Length", "0", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			dispatcher.setResponse(test.response, false)
			send(t, conn, getRequest(objectTarget, `If-None-Match: "t1"`, "X-Family: 17", "X-Working-Set-Kb: 412.5"))
			got := mustReadResponse(t, reader)
			if got.status != test.wantStatus {
				t.Errorf("status %d, want %d", got.status, test.wantStatus)
			}
			if value := got.header.Get(test.header); value != test.wantValue {
				t.Errorf("%s %q, want %q", test.header, value, test.wantValue)
			}
			if got.body != test.wantBody {
				t.Errorf("body %q, want %q", got.body, test.wantBody)
			}
			if got.closes {
				t.Error("connection is closed after the response, want it kept alive")
			}
		})
	}
}

func TestRequestIsSubmittedWithItsHeaders(t *testing.T) {
	dispatcher := &fakeDispatcher{response: servedX}
	conn := dial(t, newServer(dispatcher))
	send(t, conn, getRequest(objectTarget, `If-None-Match: "t1"`, "X-Family: 17", "X-Working-Set-Kb: 412.5"))
	readResponse(t, bufio.NewReader(conn), "x")
	got := *dispatcher.request(0)
	for name, field := range map[string]struct{ got, want any }{
		"transaction": {got.TransactionID, "9b1f03aa5c7e2d41"},
		"object":      {got.Object, routing.ObjectID(0x7f3a9c21e0b4d655)},
		"chunk":       {got.Chunk, 3},
		"group":       {got.PurgeGroup, 17},
		"entity tag":  {got.IfNoneMatch, "t1"},
		"size":        {got.SizeKB, 412.5},
		"deadline":    {got.Deadline, startTime + 1500 - responseMarginMs},
	} {
		if field.got != field.want {
			t.Errorf("%s %v, want %v", name, field.got, field.want)
		}
	}
}

// The timeout for writing a response is the time until the client's deadline. It is never shorter
// than minWriteTimeoutMs and never longer than the longest deadline of a class.
func TestWriteTimeout(t *testing.T) {
	server := newServer(&fakeDispatcher{})
	classes := []routing.Class{{Deadline: 6 * time.Second}, {Deadline: time.Second}}
	server.Classes = func() []routing.Class { return classes }
	now := server.Clock.Now()
	client := &conn{server: server}
	for _, test := range []struct {
		name     string
		deadline float64
		want     float64 // ms
	}{
		{"unknown", 0, minWriteTimeoutMs},
		{"short", now + 500, minWriteTimeoutMs},
		{"usual", now + 4000, 4000},
		{"longer than any class's", now + 600_000, 6000},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := client.writeTimeoutMs(&request{clientDeadline: test.deadline}); got != test.want {
				t.Errorf("got write timeout %v ms, want %v ms", got, test.want)
			}
		})
	}
}

// exchange sends a request on a new connection and returns the bytes of the responses, up to and
// including the final one.
func exchange(t *testing.T, server *Server, text string) []byte {
	t.Helper()
	conn := dial(t, server)
	sendInBackground(t, conn, text)
	var raw bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &raw))
	method, _, _ := strings.Cut(text, " ")
	if _, err := parseFinalResponse(reader, method); err != nil {
		t.Fatal(err)
	}
	closeConn(t, conn)
	return raw.Bytes()
}

// responseCase is a request and the dispatcher's response to it.
type responseCase struct {
	name, text string
	response   dispatch.Response
	setUp      func(*Server) // prepares the server; may be nil
}

// wellFormedRequests returns requests without errors. The server serves them, or rejects them
// because of its own state or the dispatcher's response.
func wellFormedRequests() []responseCase {
	served := dispatch.Response{Kind: dispatch.Served, Body: []byte("a\x00\r\nb"), ETag: "4be0c1927d55a6f3"}
	health := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	stopAccepting := func(server *Server) { // the server stops accepting after it has read the request
		classes := server.Classes
		server.Classes = func() []routing.Class { server.StopAccepting(); return classes() }
	}
	notReady := func(server *Server) { server.Ready = func() bool { return false } }
	stopped := func(server *Server) { server.Dispatcher = stoppedDispatcher{&fakeDispatcher{}} }
	handler := func(server *Server) {
		server.Handler = func(_ context.Context, method, path string) (int, []byte) {
			return http.StatusNotFound, []byte(method + " " + path + "\n")
		}
	}
	return []responseCase{
		{"served", getRequest(objectTarget), served, nil},
		{"served, no tag, no body", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Served}, nil},
		{"served, last of its connection", getRequest(objectTarget, "Connection: close"), served, nil},
		{"served, HTTP/1.0", strings.Replace(getRequest(objectTarget), "HTTP/1.1", "HTTP/1.0", 1), served, nil},
		{"served, handed over", getRequest(objectTarget), served, stopAccepting},
		{"written after 100", putRequest(3, "Expect: 100-continue") + "abc", dispatch.Response{Kind: dispatch.Served, Body: []byte("ok")}, nil},
		{"the client's copy holds", getRequest(objectTarget), dispatch.Response{Kind: dispatch.NotModified, ETag: "4be0c1927d55a6f3"}, nil},
		{"the client's copy holds, no tag", getRequest(objectTarget, "Connection: close"), dispatch.Response{Kind: dispatch.NotModified}, nil},
		{"refused", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Rejected}, nil},
		{"refused with a time", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Rejected, RetryAfter: 250.9}, nil},
		{"failed", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Failed}, nil},
		{"clash", getRequest(objectTarget), dispatch.Response{Kind: dispatch.DuplicateID}, nil},
		{"core stopped", getRequest(objectTarget), served, stopped},
		{"healthy", health, served, nil},
		{"healthy, HEAD", strings.Replace(health, "GET", "HEAD", 1), served, nil},
		{"health, another method", strings.Replace(health, "GET", "PUT", 1), served, nil},
		{"health, not ready", health, served, notReady},
		{"health, stopping", health, served, (*Server).FailHealthChecks},
		{"a page", health, served, handler},
	}
}

// malformedRequests returns requests that the server rejects, each for a different reason.
func malformedRequests() []responseCase {
	without := func(text, removed string) string { return strings.Replace(text, removed, "", 1) }
	requests := []struct{ name, text string }{
		{"request line", "hello\r\n\r\n"},
		{"target", getRequest("v1/part")},
		{"header", "GET / HTTP/1.1\r\nHost\r\n\r\n"},
		{"no host", without(getRequest(objectTarget), "Host: x\r\n")},
		{"head too long", getRequest(objectTarget, "X-A: "+strings.Repeat("a", 20_000))},
		{"body too long", putRequest(48_001)},
		{"length", putRequest(1, "Content-Length: 2") + "x"},
		{"length and chunks", putRequest(1, "Transfer-Encoding: chunked") + "x"},
		{"encoding", strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: gzip", 1)},
		{"unknown encoding", strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: gzip, chunked", 1)},
		{"chunks", strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "x\r\n"},
		{"path", getRequest("/")},
		{"class", getRequest("/v1/nothing/7f3a9c21e0b4d655")},
		{"method of a read", strings.Replace(getRequest(objectTarget), "GET", "PUT", 1)},
		{"method of a write", getRequest("/v1/form/7f3a9c21e0b4d655")},
		{"object", getRequest("/v1/part/xyz")},
		{"body of a read", getRequest(objectTarget, "Content-Length: 1") + "x"},
		{"query", getRequest("/v1/part/7f3a9c21e0b4d655?block=%")},
		{"two blocks", getRequest("/v1/part/7f3a9c21e0b4d655?block=1&block=2")},
		{"block", getRequest("/v1/part/7f3a9c21e0b4d655?block=-1")},
		{"two times", getRequest(objectTarget, "X-Ttl-Ms: 1")},
		{"txn", strings.Replace(getRequest(objectTarget), "2d41", "2d4", 1)},
		{"ttl", strings.Replace(getRequest(objectTarget), "1500", "0", 1)},
		{"family", getRequest(objectTarget, "X-Family: 256")},
		{"size", getRequest(objectTarget, "X-Working-Set-Kb: much")},
		{"key", without(putRequest(0), "X-Txn-Key: k1\r\n")},
	}
	var cases []responseCase
	for _, request := range requests {
		cases = append(cases, responseCase{name: request.name, text: request.text})
	}
	return cases
}

// TestGoldenResponses compares the bytes of each kind of response with a golden file.
func TestGoldenResponses(t *testing.T) {
	var out strings.Builder
	for _, test := range append(wellFormedRequests(), malformedRequests()...) {
		t.Run(test.name, func(t *testing.T) {
			server := newServer(&fakeDispatcher{response: test.response})
			if test.setUp != nil {
				test.setUp(server)
			}
			out.WriteString(test.name + "\t" + strconv.Quote(string(exchange(t, server, test.text))) + "\n")
		})
	}
	manual := clock.NewManual(startTime)
	server := newServer(&fakeDispatcher{})
	server.Clock = manual
	stalled := &slowClient{clock: manual, text: "GET " + objectTarget + " HTTP/1.1\r\n"}
	server.newConn(stalled).serve()
	out.WriteString("too slow\t" + strconv.Quote(stalled.out.String()) + "\n")
	golden.Compare(t, "responses.golden", []byte(out.String()))
}
