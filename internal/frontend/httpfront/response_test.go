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

// The answers of the core as the client reads them, one after another on one
// connection.
func TestResponses(t *testing.T) {
	f := &fakeDispatcher{}
	conn := dial(t, newServer(f))
	in := bufio.NewReader(conn)
	for _, c := range []struct {
		answer dispatch.Response
		status int
		name   string
		value  string
		body   string
	}{
		{dispatch.Response{Kind: dispatch.Served, Body: []byte("a\x00\r\nb"), ETag: "t1"}, 200, "Etag", `"t1"`, "a\x00\r\nb"},
		{dispatch.Response{Kind: dispatch.NotModified, ETag: "t1"}, 304, "Etag", `"t1"`, ""},
		{dispatch.Response{Kind: dispatch.Rejected, RetryAfter: 250}, 503, "X-Throttle-Ms", "250", "refused: a retry is harmless\n"},
		{dispatch.Response{Kind: dispatch.Failed}, 502, "X-Throttle-Ms", "", "failed\n"},
		{dispatch.Response{Kind: dispatch.DuplicateID}, 409, "X-Throttle-Ms", "", "X-Txn: another request with it is open\n"},
		{dispatch.Response{Kind: dispatch.Served}, 200, "Content-Length", "0", ""},
	} {
		f.setResponse(c.answer, false)
		if _, err := io.WriteString(conn, getRequest(objectTarget, `If-None-Match: "t1"`, "X-Family: 17", "X-Working-Set-Kb: 412.5")); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(in, &http.Request{Method: "GET"})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.StatusCode != c.status || r.Header.Get(c.name) != c.value || string(body) != c.body || r.Close {
			t.Errorf("%+v: %d %v %q %v", c.answer, r.StatusCode, r.Header, body, err)
		}
	}
	q := f.request(0)
	if q.TransactionID != "9b1f03aa5c7e2d41" || q.Object != 0x7f3a9c21e0b4d655 || q.Chunk != 3 || q.Group != 17 || q.IfNoneMatch != "t1" || q.SizeKB != 412.5 ||
		q.Deadline != 1.7e12+1500-responseMarginMs {
		t.Errorf("%+v", q)
	}
}

// An answer may be read as slowly as its client's link lets it, while the client waits.
func TestWriteTimeout(t *testing.T) {
	s := newServer(&fakeDispatcher{})
	classes := []routing.Class{{Deadline: 6 * time.Second}, {Deadline: time.Second}}
	s.Classes = func() []routing.Class { return classes }
	now := s.Clock.Now()
	c := &conn{server: s}
	for _, x := range []struct{ until, want float64 }{{0, minWriteTimeoutMs}, {now + 500, minWriteTimeoutMs}, {now + 4000, 4000}, {now + 600_000, 6000}} {
		if got := c.writeTimeoutMs(&request{clientDeadline: x.until}); got != x.want {
			t.Errorf("waits %v more: %v to write, want %v", x.until-now, got, x.want)
		}
	}
}

// exchange sends a text on a new connection and returns the bytes of all answers up to the
// first final one.
func exchange(t *testing.T, s *Server, text string) []byte {
	t.Helper()
	conn := dial(t, s)
	defer conn.Close()
	go io.WriteString(conn, text)
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(conn, &raw))
	method, _, _ := strings.Cut(text, " ")
	for {
		r, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Fatal(err)
		}
		if r.StatusCode != http.StatusContinue {
			return raw.Bytes()
		}
	}
}

// Every form in which a client is answered, to the byte.
func TestGoldenResponses(t *testing.T) {
	served := dispatch.Response{Kind: dispatch.Served, Body: []byte("a\x00\r\nb"), ETag: "4be0c1927d55a6f3"}
	without := func(text, what string) string { return strings.Replace(text, what, "", 1) }
	health := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	handOver := func(s *Server) { // once the request is read
		classes := s.Classes
		s.Classes = func() []routing.Class { s.StopAccepting(); return classes() }
	}
	late := func(s *Server) { s.Ready = func() bool { return false } }
	page := func(s *Server) {
		s.Handler = func(_ context.Context, method, path string) (int, []byte) {
			return 404, []byte(method + " " + path + "\n")
		}
	}
	var out strings.Builder
	for _, c := range []struct {
		name, text string
		answer     dispatch.Response
		change     func(*Server)
	}{
		{"served", getRequest(objectTarget), served, nil},
		{"served, no tag, no body", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Served}, nil},
		{"served, last of its connection", getRequest(objectTarget, "Connection: close"), served, nil},
		{"served, HTTP/1.0", strings.Replace(getRequest(objectTarget), "HTTP/1.1", "HTTP/1.0", 1), served, nil},
		{"served, handed over", getRequest(objectTarget), served, handOver},
		{"written after 100", putRequest(3, "Expect: 100-continue") + "abc", dispatch.Response{Kind: dispatch.Served, Body: []byte("ok")}, nil},
		{"the client's copy holds", getRequest(objectTarget), dispatch.Response{Kind: dispatch.NotModified, ETag: "4be0c1927d55a6f3"}, nil},
		{"the client's copy holds, no tag", getRequest(objectTarget, "Connection: close"), dispatch.Response{Kind: dispatch.NotModified}, nil},
		{"refused", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Rejected}, nil},
		{"refused with a time", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Rejected, RetryAfter: 250.9}, nil},
		{"failed", getRequest(objectTarget), dispatch.Response{Kind: dispatch.Failed}, nil},
		{"clash", getRequest(objectTarget), dispatch.Response{Kind: dispatch.DuplicateID}, nil},
		{"core stopped", getRequest(objectTarget), served, func(s *Server) { s.Dispatcher = stoppedDispatcher{&fakeDispatcher{}} }},
		{"healthy", health, served, nil},
		{"healthy, HEAD", strings.Replace(health, "GET", "HEAD", 1), served, nil},
		{"health, another method", strings.Replace(health, "GET", "PUT", 1), served, nil},
		{"health, not ready", health, served, late},
		{"health, stopping", health, served, (*Server).FailHealthChecks},
		{"a page", health, served, page},
		{"request line", "hello\r\n\r\n", served, nil},
		{"target", getRequest("v1/part"), served, nil},
		{"header", "GET / HTTP/1.1\r\nHost\r\n\r\n", served, nil},
		{"no host", without(getRequest(objectTarget), "Host: x\r\n"), served, nil},
		{"head too long", getRequest(objectTarget, "X-A: "+strings.Repeat("a", 20_000)), served, nil},
		{"body too long", putRequest(48_001), served, nil},
		{"length", putRequest(1, "Content-Length: 2") + "x", served, nil},
		{"length and chunks", putRequest(1, "Transfer-Encoding: chunked") + "x", served, nil},
		{"encoding", strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: gzip", 1), served, nil},
		{"chunks", strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "x\r\n", served, nil},
		{"path", getRequest("/"), served, nil},
		{"class", getRequest("/v1/nothing/7f3a9c21e0b4d655"), served, nil},
		{"method of a read", strings.Replace(getRequest(objectTarget), "GET", "PUT", 1), served, nil},
		{"method of a write", getRequest("/v1/form/7f3a9c21e0b4d655"), served, nil},
		{"object", getRequest("/v1/part/xyz"), served, nil},
		{"body of a read", getRequest(objectTarget, "Content-Length: 1") + "x", served, nil},
		{"query", getRequest("/v1/part/7f3a9c21e0b4d655?block=%"), served, nil},
		{"block", getRequest("/v1/part/7f3a9c21e0b4d655?block=-1"), served, nil},
		{"two times", getRequest(objectTarget, "X-Ttl-Ms: 1"), served, nil},
		{"txn", strings.Replace(getRequest(objectTarget), "2d41", "2d4", 1), served, nil},
		{"ttl", strings.Replace(getRequest(objectTarget), "1500", "0", 1), served, nil},
		{"family", getRequest(objectTarget, "X-Family: 256"), served, nil},
		{"size", getRequest(objectTarget, "X-Working-Set-Kb: much"), served, nil},
		{"key", without(putRequest(0), "X-Txn-Key: k1\r\n"), served, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(&fakeDispatcher{response: c.answer})
			if c.change != nil {
				c.change(s)
			}
			out.WriteString(c.name + "\t" + strconv.Quote(string(exchange(t, s, c.text))) + "\n")
		})
	}
	clk := clock.NewManual(1.7e12)
	s := newServer(&fakeDispatcher{})
	s.Clock = clk
	stalled := &slowClient{clock: clk, text: "GET " + objectTarget + " HTTP/1.1\r\n"}
	s.newConn(stalled).serve()
	out.WriteString("too slow\t" + strconv.Quote(stalled.out.String()) + "\n")
	golden.Compare(t, "responses.golden", []byte(out.String()))
}
