package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// fakeDispatcher is a core that answers at once, unless held.
type fakeDispatcher struct {
	mu           sync.Mutex
	requests     []*dispatch.Request
	response     dispatch.Response
	hold         bool
	disconnected chan *dispatch.Request
}

func (f *fakeDispatcher) Submit(r *dispatch.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if !f.hold {
		r.Respond(f.response)
	}
	return true
}

func (f *fakeDispatcher) Disconnect(r *dispatch.Request) { f.disconnected <- r }

func (f *fakeDispatcher) setResponse(a dispatch.Response, hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.response, f.hold = a, hold
}

func (f *fakeDispatcher) request(i int) *dispatch.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[i]
}

func (f *fakeDispatcher) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func newServer(f *fakeDispatcher) *Server {
	f.disconnected = make(chan *dispatch.Request, 8)
	return New(Options{Clock: clock.NewManual(1.7e12), Dispatcher: f, Ready: func() bool { return true }, Metrics: metrics.New(), MaxConnections: func() int { return 8 },
		Classes: func() []routing.Class {
			return []routing.Class{{Name: "part", Idempotency: routing.Idempotent}, {Name: "form", Idempotency: routing.IdempotentWithKey, Write: true}}
		}})
}

// dial serves one end of a loopback connection and returns the other.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		s.Shutdown()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c
}

const objectTarget = "/v1/part/7f3a9c21e0b4d655?block=3"

func getRequest(target string, head ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\n" + strings.Join(append(head, ""), "\r\n") + "\r\n"
}

func putRequest(n int, head ...string) string {
	return strings.Replace(getRequest("/v1/form/7f3a9c21e0b4d655", append(head, "X-Txn-Key: k1", "Content-Length: "+strconv.Itoa(n))...), "GET", "PUT", 1)
}

// Guards against a handover that cuts connections: their next request is answered,
// as the last one, and the socket's other holders take what is new.
func TestStopAccepting(t *testing.T) {
	s := newServer(&fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}})
	conn := dial(t, s)
	in := bufio.NewReader(conn)
	for _, last := range []bool{false, true} {
		if last {
			s.StopAccepting()
			<-s.serveDone
		}
		io.WriteString(conn, getRequest(objectTarget))
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if io.Copy(io.Discard, r.Body); r.StatusCode != 200 || r.Close != last {
			t.Errorf("handed over %v: status %d, close %v", last, r.StatusCode, r.Close)
		}
	}
}

// What cannot be used is answered by the front and never reaches the core.
func TestMalformedRequests(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no request line", "hello\r\n\r\n", 400},
		{"broken header", "GET " + objectTarget + " HTTP/1.1\r\nHost\r\n\r\n", 400},
		{"no host", "GET " + objectTarget + " HTTP/1.1\r\n\r\n", 400},
		{"short txn", strings.Replace(getRequest(objectTarget), "2d41", "2d4", 1), 400},
		{"no ttl", strings.Replace(getRequest(objectTarget), "X-Ttl-Ms: 1500\r\n", "", 1), 400},
		{"ttl not a number", strings.Replace(getRequest(objectTarget), "1500", "NaN", 1), 400},
		{"family", getRequest(objectTarget, "X-Family: 256"), 400},
		{"two families", getRequest(objectTarget, "X-Family: 1", "X-Family: 2"), 400},
		{"object", getRequest("/v1/part/xyz"), 400},
		{"size not a number", getRequest(objectTarget, "X-Working-Set-Kb: much"), 400},
		{"no size", getRequest(objectTarget, "X-Working-Set-Kb:"), 400},
		{"size below zero", getRequest(objectTarget, "X-Working-Set-Kb: -0.5"), 400},
		{"size NaN", getRequest(objectTarget, "X-Working-Set-Kb: NaN"), 400},
		{"size without end", getRequest(objectTarget, "X-Working-Set-Kb: Inf"), 400},
		{"size in hex", getRequest(objectTarget, "X-Working-Set-Kb: 0x10p2"), 400},
		{"absurd size", getRequest(objectTarget, "X-Working-Set-Kb: 1e12"), 400},
		{"two sizes", getRequest(objectTarget, "X-Working-Set-Kb: 4", "X-Working-Set-Kb: 4"), 400},
		{"block", getRequest("/v1/part/7f3a9c21e0b4d655?block=-1"), 400},
		{"key with a comma", strings.Replace(putRequest(0), "k1", "k,via=s-00000001", 1), 400},
		{"no key", strings.Replace(putRequest(0), "X-Txn-Key: k1\r\n", "", 1), 400},
		{"two lengths", putRequest(1, "Content-Length: 2") + "x", 400},
		{"length and chunks", putRequest(1, "Transfer-Encoding: chunked") + "x", 400},
		{"body where none is wanted", getRequest(objectTarget, "Content-Length: 1") + "x", 400},
		{"class", getRequest("/v1/nothing/7f3a9c21e0b4d655"), 404},
		{"path", getRequest("/"), 404},
		{"method", strings.Replace(getRequest(objectTarget), "GET", "PUT", 1), 405},
		{"method of a write", getRequest("/v1/form/7f3a9c21e0b4d655"), 405},
		{"body too long", putRequest(48_001), 413},
		{"body far too long", putRequest(1 << 40), 413},
		{"head too long", getRequest(objectTarget, "X-A: "+strings.Repeat("a", 20_000)), 431},
		{"one long line", strings.Repeat("a", 40_000), 431},
	} {
		f := &fakeDispatcher{}
		conn := dial(t, newServer(f))
		go io.WriteString(conn, c.text)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if r.StatusCode != c.status || f.count() != 0 {
			t.Errorf("%s: status %d, %d requests taken", c.name, r.StatusCode, f.count())
		}
	}
}

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

// A body in chunks or after 100 Continue is the same body.
func TestRequestBodies(t *testing.T) {
	want := strings.Repeat("ab\r\n", 12_000)
	chunks := "PUT /v1/form/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\nX-Txn-Key: k1\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(want), want)
	for _, text := range []string{putRequest(len(want)) + want, chunks, putRequest(len(want), "Expect: 100-continue") + want} {
		f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("ok")}}
		conn := dial(t, newServer(f))
		go io.WriteString(conn, text)
		in := bufio.NewReader(conn)
		r, err := http.ReadResponse(in, nil)
		if err == nil && r.StatusCode == 100 {
			r, err = http.ReadResponse(in, nil)
		}
		if err != nil || r.StatusCode != 200 || string(f.request(0).Body) != want {
			t.Errorf("%.200q: %v %v", text, r, err)
		}
	}
}

// A client that has gone is told to the core, so that its attempt is given up.
func TestClientDisconnect(t *testing.T) {
	f := &fakeDispatcher{hold: true}
	s := newServer(f)
	conn := dial(t, s)
	if _, err := io.WriteString(conn, getRequest(objectTarget)); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if r := <-f.disconnected; r != f.request(0) {
		t.Error("another request was left")
	}
}

// After Stopping the health check fails and requests are served on; Finish
// lets what is open end and closes the connection behind it.
func TestHealthCheckAndShutdown(t *testing.T) {
	f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}}
	s := newServer(f)
	conn := dial(t, s)
	in := bufio.NewReader(conn)
	ask := func(text string) *http.Response {
		t.Helper()
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		return r
	}
	health := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	if r := ask(health); r.StatusCode != 200 {
		t.Error("not healthy:", r.Status)
	}
	s.FailHealthChecks()
	if r := ask(health); r.StatusCode != 503 {
		t.Error("still healthy:", r.Status)
	}
	if r := ask(getRequest(objectTarget)); r.StatusCode != 200 || r.Close {
		t.Error("not served while stopping:", r.Status)
	}
	answer := f.response
	f.setResponse(answer, true)
	if _, err := io.WriteString(conn, getRequest(objectTarget)); err != nil {
		t.Fatal(err)
	}
	for f.count() < 2 {
		time.Sleep(time.Millisecond) // until the request is taken; bounded by the test's own limit
	}
	done := make(chan bool)
	go func() {
		s.Shutdown()
		close(done)
	}()
	for !s.keepAlivesDisabled.Load() {
		time.Sleep(time.Millisecond)
	}
	f.request(1).Respond(answer)
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("open at the end: %v %v", r, err)
	}
	<-done
}

// slowClient is a client on a clock of its own: it sends a text at a pace, says
// nothing more or goes on for ever, and reads what it gets.
type slowClient struct {
	memoryConn
	clock                      *clock.Manual
	text, repeat               string
	byteInterval, readDeadline float64 // ms between bytes; when a read is over
}

func (s *slowClient) SetReadDeadline(t time.Time) error {
	s.readDeadline = s.clock.Now() + 1e9
	if !t.IsZero() {
		s.readDeadline = s.clock.Now() + clock.Millis(time.Until(t))
	}
	return nil
}

func (s *slowClient) Read(p []byte) (int, error) {
	if s.text == "" {
		s.text = s.repeat
	}
	at := s.clock.Now() + s.byteInterval
	if s.text == "" || at > s.readDeadline {
		s.clock.Advance(max(0, s.readDeadline-s.clock.Now()))
		return 0, os.ErrDeadlineExceeded
	}
	n := 1
	if s.byteInterval == 0 { // at 10 MB/s
		n = copy(p, s.text)
		at += float64(n) / 1e4
	}
	copy(p[:n], s.text)
	s.clock.Advance(at - s.clock.Now())
	s.text = s.text[n:]
	return n, nil
}

func (s *slowClient) CloseWrite() error { return nil }

// Silence, trickles and floods end within 3 s of the connection's start, or 6 s
// where too much was announced, however the bytes are spread; and what was
// begun is answered. (The symptom: each had 5 s or more, anew for each request.)
func TestMisbehavingClientsAreClosedInTime(t *testing.T) {
	for _, c := range []struct {
		name, text, more string
		every, within    float64
		status           int
	}{
		{"silence", "", "", 0, 3000, 0},
		{"half a line", "GET " + objectTarget, "", 0, 3000, 400},
		{"half a head", "GET " + objectTarget + " HTTP/1.1\r\n", "", 0, 3000, 408},
		{"a trickled line", getRequest(objectTarget), "", 300, 3000, 400},
		{"a trickled head", strings.TrimSuffix(getRequest(objectTarget, "X-A: "), "\r\n\r\n"), "a", 15, 3000, 408},
		{"a trickled body", putRequest(40_000), "a", 10, 3000, 408},
		{"a body that stops", putRequest(40_000) + "abc", "", 0, 3000, 408},
		{"chunks that never end", strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1), strings.Repeat("1\r\na\r\n", 800), 0, 6000, 413},
		{"a trickle after the refusal", "x\r\n", "a", 500, 3000, 400},
		{"a flood after the refusal", "x\r\n" + strings.Repeat("a", 5000), strings.Repeat("a", 5000), 0, 3000, 400},
		{"a huge body", putRequest(60_000_000) + "a", strings.Repeat("a", 5000), 0, 6000, 413},
	} {
		clk := clock.NewManual(1.7e12)
		s := newServer(&fakeDispatcher{})
		s.Clock = clk
		nc := &slowClient{clock: clk, text: c.text, repeat: c.more, byteInterval: c.every}
		s.newConn(nc).serve()
		if took := clk.Now() - 1.7e12; took > c.within {
			t.Errorf("%s: closed after %.0f ms", c.name, took)
		}
		status := 0
		if r, err := http.ReadResponse(bufio.NewReader(&nc.out), nil); err == nil {
			status = r.StatusCode
		}
		if status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, status, c.status)
		}
	}
}

// Connections that say nothing, or that asked once and stay, make room for one
// that asks; one that is being answered does not.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}}
	s := newServer(f)
	clk := clock.NewManual(1.7e12)
	s.Clock = clk
	first := dial(t, s)
	ask := func(c net.Conn) error {
		if _, err := io.WriteString(c, getRequest(objectTarget)); err != nil {
			return err
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 200 {
			return fmt.Errorf("%v %w", r, err)
		}
		_, err = io.Copy(io.Discard, r.Body)
		return err
	}
	more := func() net.Conn {
		c, err := net.Dial("tcp", first.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	f.setResponse(f.response, true)
	io.WriteString(first, getRequest(objectTarget))
	for f.count() < 1 {
		time.Sleep(time.Millisecond) // until it is taken
	}
	f.setResponse(f.response, false)
	for i := range 40 { // of these some ask and stay, some say nothing
		c := more()
		if i%2 == 0 {
			if err := ask(c); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
		}
		clk.Advance(newConnGraceMs)
	}
	f.request(0).Respond(f.response)
	if r, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || r.StatusCode != 200 {
		t.Errorf("the one that was being answered: %v %v", r, err)
	}
}

// memoryConn is a connection that brings fixed bytes and keeps what is written.
type memoryConn struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (m *memoryConn) Read(p []byte) (int, error)       { return m.in.Read(p) }
func (m *memoryConn) Write(p []byte) (int, error)      { return m.out.Write(p) }
func (m *memoryConn) Close() error                     { return nil }
func (m *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (m *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzConn: whatever a client sends, what comes back is whole answers, one at
// the most for each request and none more than the requests taken and refused.
func FuzzConn(f *testing.F) {
	for _, s := range []string{getRequest(objectTarget), getRequest(objectTarget) + getRequest(objectTarget), putRequest(3) + "abc" + getRequest("/healthz"), putRequest(5) + "ab",
		getRequest(objectTarget, "Connection: close") + getRequest(objectTarget), "GET / HTTP/1.0\r\n\r\n", "\r\n\r\n\r\n", "PUT /v1/form/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		fk := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("body"), ETag: "t"}}
		s := newServer(fk)
		fk.disconnected = make(chan *dispatch.Request, len(b)+1)
		m := &memoryConn{in: bytes.NewReader(b)}
		s.newConn(m).serve()
		answers, in := 0, bufio.NewReader(&m.out)
		for {
			if _, err := in.Peek(1); err != nil {
				break
			}
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("unreadable answer: %v", err)
			}
			if _, err := io.ReadAll(r.Body); err != nil {
				t.Fatalf("answer cut short: %v", err)
			}
			if r.StatusCode == 200 && r.Header.Get("Etag") != "" {
				answers++
			}
		}
		if answers+len(fk.disconnected) != fk.count() {
			t.Fatalf("%d requests taken, %d answered, %d left", fk.count(), answers, len(fk.disconnected))
		}
	})
}
