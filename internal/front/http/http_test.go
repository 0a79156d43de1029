package http

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

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/core"
	"garnetline/internal/stats"
)

// fake is a core that answers at once, unless held.
type fake struct {
	mu     sync.Mutex
	taken  []*core.Request
	answer core.Answer
	hold   bool
	left   chan *core.Request
}

func (f *fake) Submit(r *core.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken = append(f.taken, r)
	if !f.hold {
		r.Reply(f.answer)
	}
	return true
}

func (f *fake) Leave(r *core.Request) { f.left <- r }

func (f *fake) set(a core.Answer, hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer, f.hold = a, hold
}

func (f *fake) get(i int) *core.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken[i]
}

func (f *fake) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.taken)
}

func newServer(f *fake) *Server {
	f.left = make(chan *core.Request, 8)
	return New(Options{Clock: clock.NewManual(1.7e12), Core: f, Ready: func() bool { return true }, Stats: stats.New(), Conns: func() int { return 8 },
		Classes: func() []decide.Class {
			return []decide.Class{{Name: "part", Effect: decide.Safe}, {Name: "form", Effect: decide.Keyed, Write: true}}
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
		s.Finish()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c
}

const object = "/v1/part/7f3a9c21e0b4d655?block=3"

func get(target string, head ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\n" + strings.Join(append(head, ""), "\r\n") + "\r\n"
}

func put(n int, head ...string) string {
	return strings.Replace(get("/v1/form/7f3a9c21e0b4d655", append(head, "X-Txn-Key: k1", "Content-Length: "+strconv.Itoa(n))...), "GET", "PUT", 1)
}

// Guards against a handover that cuts connections: their next request is answered,
// as the last one, and the socket's other holders take what is new.
func TestHandOver(t *testing.T) {
	s := newServer(&fake{answer: core.Answer{Kind: core.Served, Body: []byte("x")}})
	conn := dial(t, s)
	in := bufio.NewReader(conn)
	for _, last := range []bool{false, true} {
		if last {
			s.HandOver()
			<-s.accepted
		}
		io.WriteString(conn, get(object))
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
func TestBadInput(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no request line", "hello\r\n\r\n", 400},
		{"broken header", "GET " + object + " HTTP/1.1\r\nHost\r\n\r\n", 400},
		{"no host", "GET " + object + " HTTP/1.1\r\n\r\n", 400},
		{"short txn", strings.Replace(get(object), "2d41", "2d4", 1), 400},
		{"no ttl", strings.Replace(get(object), "X-Ttl-Ms: 1500\r\n", "", 1), 400},
		{"ttl not a number", strings.Replace(get(object), "1500", "NaN", 1), 400},
		{"family", get(object, "X-Family: 256"), 400},
		{"two families", get(object, "X-Family: 1", "X-Family: 2"), 400},
		{"object", get("/v1/part/xyz"), 400},
		{"size not a number", get(object, "X-Working-Set-Kb: much"), 400},
		{"no size", get(object, "X-Working-Set-Kb:"), 400},
		{"size below zero", get(object, "X-Working-Set-Kb: -0.5"), 400},
		{"size NaN", get(object, "X-Working-Set-Kb: NaN"), 400},
		{"size without end", get(object, "X-Working-Set-Kb: Inf"), 400},
		{"size in hex", get(object, "X-Working-Set-Kb: 0x10p2"), 400},
		{"absurd size", get(object, "X-Working-Set-Kb: 1e12"), 400},
		{"two sizes", get(object, "X-Working-Set-Kb: 4", "X-Working-Set-Kb: 4"), 400},
		{"block", get("/v1/part/7f3a9c21e0b4d655?block=-1"), 400},
		{"key with a comma", strings.Replace(put(0), "k1", "k,via=s-00000001", 1), 400},
		{"no key", strings.Replace(put(0), "X-Txn-Key: k1\r\n", "", 1), 400},
		{"two lengths", put(1, "Content-Length: 2") + "x", 400},
		{"length and chunks", put(1, "Transfer-Encoding: chunked") + "x", 400},
		{"body where none is wanted", get(object, "Content-Length: 1") + "x", 400},
		{"class", get("/v1/nothing/7f3a9c21e0b4d655"), 404},
		{"path", get("/"), 404},
		{"method", strings.Replace(get(object), "GET", "PUT", 1), 405},
		{"method of a write", get("/v1/form/7f3a9c21e0b4d655"), 405},
		{"body too long", put(48_001), 413},
		{"body far too long", put(1 << 40), 413},
		{"head too long", get(object, "X-A: "+strings.Repeat("a", 20_000)), 431},
		{"one long line", strings.Repeat("a", 40_000), 431},
	} {
		f := &fake{}
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
func TestAnswers(t *testing.T) {
	f := &fake{}
	conn := dial(t, newServer(f))
	in := bufio.NewReader(conn)
	for _, c := range []struct {
		answer core.Answer
		status int
		name   string
		value  string
		body   string
	}{
		{core.Answer{Kind: core.Served, Body: []byte("a\x00\r\nb"), Tag: "t1"}, 200, "Etag", `"t1"`, "a\x00\r\nb"},
		{core.Answer{Kind: core.Same, Tag: "t1"}, 304, "Etag", `"t1"`, ""},
		{core.Answer{Kind: core.Refused, Backoff: 250}, 503, "X-Throttle-Ms", "250", "refused: a retry is harmless\n"},
		{core.Answer{Kind: core.Failed}, 502, "X-Throttle-Ms", "", "failed\n"},
		{core.Answer{Kind: core.Clash}, 409, "X-Throttle-Ms", "", "X-Txn: another request with it is open\n"},
		{core.Answer{Kind: core.Served}, 200, "Content-Length", "0", ""},
	} {
		f.set(c.answer, false)
		if _, err := io.WriteString(conn, get(object, `If-None-Match: "t1"`, "X-Family: 17", "X-Working-Set-Kb: 412.5")); err != nil {
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
	q := f.get(0)
	if q.Txn != "9b1f03aa5c7e2d41" || q.Object != 0x7f3a9c21e0b4d655 || q.Part != 3 || q.Group != 17 || q.Known != "t1" || q.SizeKB != 412.5 ||
		q.Deadline != 1.7e12+1500-margin {
		t.Errorf("%+v", q)
	}
}

// A body in chunks or after 100 Continue is the same body.
func TestBodies(t *testing.T) {
	want := strings.Repeat("ab\r\n", 12_000)
	chunks := "PUT /v1/form/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\nX-Txn-Key: k1\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(want), want)
	for _, text := range []string{put(len(want)) + want, chunks, put(len(want), "Expect: 100-continue") + want} {
		f := &fake{answer: core.Answer{Kind: core.Served, Body: []byte("ok")}}
		conn := dial(t, newServer(f))
		go io.WriteString(conn, text)
		in := bufio.NewReader(conn)
		r, err := http.ReadResponse(in, nil)
		if err == nil && r.StatusCode == 100 {
			r, err = http.ReadResponse(in, nil)
		}
		if err != nil || r.StatusCode != 200 || string(f.get(0).Body) != want {
			t.Errorf("%.200q: %v %v", text, r, err)
		}
	}
}

// A client that has gone is told to the core, so that its attempt is given up.
func TestClientGone(t *testing.T) {
	f := &fake{hold: true}
	s := newServer(f)
	conn := dial(t, s)
	if _, err := io.WriteString(conn, get(object)); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if r := <-f.left; r != f.get(0) {
		t.Error("another request was left")
	}
}

// After Stopping the health check fails and requests are served on; Finish
// lets what is open end and closes the connection behind it.
func TestStop(t *testing.T) {
	f := &fake{answer: core.Answer{Kind: core.Served, Body: []byte("x")}}
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
	s.Stopping()
	if r := ask(health); r.StatusCode != 503 {
		t.Error("still healthy:", r.Status)
	}
	if r := ask(get(object)); r.StatusCode != 200 || r.Close {
		t.Error("not served while stopping:", r.Status)
	}
	answer := f.answer
	f.set(answer, true)
	if _, err := io.WriteString(conn, get(object)); err != nil {
		t.Fatal(err)
	}
	for f.count() < 2 {
		time.Sleep(time.Millisecond) // until the request is taken; bounded by the test's own limit
	}
	done := make(chan bool)
	go func() {
		s.Finish()
		close(done)
	}()
	for !s.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	f.get(1).Reply(answer)
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("open at the end: %v %v", r, err)
	}
	<-done
}

// slow is a client on a clock of its own: it sends a text at a pace, says
// nothing more or goes on for ever, and reads what it gets.
type slow struct {
	memory
	clk          *clock.Manual
	text, more   string
	every, until float64 // ms between bytes; when a read is over
}

func (s *slow) SetReadDeadline(t time.Time) error {
	s.until = s.clk.Now() + 1e9
	if !t.IsZero() {
		s.until = s.clk.Now() + clock.Millis(time.Until(t))
	}
	return nil
}

func (s *slow) Read(p []byte) (int, error) {
	if s.text == "" {
		s.text = s.more
	}
	at := s.clk.Now() + s.every
	if s.text == "" || at > s.until {
		s.clk.Advance(max(0, s.until-s.clk.Now()))
		return 0, os.ErrDeadlineExceeded
	}
	n := 1
	if s.every == 0 { // at 10 MB/s
		n = copy(p, s.text)
		at += float64(n) / 1e4
	}
	copy(p[:n], s.text)
	s.clk.Advance(at - s.clk.Now())
	s.text = s.text[n:]
	return n, nil
}

func (s *slow) CloseWrite() error { return nil }

// Silence, trickles and floods end within 3 s of the connection's start, or 6 s
// where too much was announced, however the bytes are spread; and what was
// begun is answered. (The symptom: each had 5 s or more, anew for each request.)
func TestBadClientsEndInTime(t *testing.T) {
	for _, c := range []struct {
		name, text, more string
		every, within    float64
		status           int
	}{
		{"silence", "", "", 0, 3000, 0},
		{"half a line", "GET " + object, "", 0, 3000, 400},
		{"half a head", "GET " + object + " HTTP/1.1\r\n", "", 0, 3000, 408},
		{"a trickled line", get(object), "", 300, 3000, 400},
		{"a trickled head", strings.TrimSuffix(get(object, "X-A: "), "\r\n\r\n"), "a", 15, 3000, 408},
		{"a trickled body", put(40_000), "a", 10, 3000, 408},
		{"a body that stops", put(40_000) + "abc", "", 0, 3000, 408},
		{"chunks that never end", strings.Replace(put(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1), strings.Repeat("1\r\na\r\n", 800), 0, 6000, 413},
		{"a trickle after the refusal", "x\r\n", "a", 500, 3000, 400},
		{"a flood after the refusal", "x\r\n" + strings.Repeat("a", 5000), strings.Repeat("a", 5000), 0, 3000, 400},
		{"a huge body", put(60_000_000) + "a", strings.Repeat("a", 5000), 0, 6000, 413},
	} {
		clk := clock.NewManual(1.7e12)
		s := newServer(&fake{})
		s.Clock = clk
		nc := &slow{clk: clk, text: c.text, more: c.more, every: c.every}
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
func TestIdleConnectionsMakeRoom(t *testing.T) {
	f := &fake{answer: core.Answer{Kind: core.Served, Body: []byte("x")}}
	s := newServer(f)
	clk := clock.NewManual(1.7e12)
	s.Clock = clk
	first := dial(t, s)
	ask := func(c net.Conn) error {
		if _, err := io.WriteString(c, get(object)); err != nil {
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
	f.set(f.answer, true)
	io.WriteString(first, get(object))
	for f.count() < 1 {
		time.Sleep(time.Millisecond) // until it is taken
	}
	f.set(f.answer, false)
	for i := range 40 { // of these some ask and stay, some say nothing
		c := more()
		if i%2 == 0 {
			if err := ask(c); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
		}
		clk.Advance(freshFor)
	}
	f.get(0).Reply(f.answer)
	if r, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || r.StatusCode != 200 {
		t.Errorf("the one that was being answered: %v %v", r, err)
	}
}

// memory is a connection that brings fixed bytes and keeps what is written.
type memory struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (m *memory) Read(p []byte) (int, error)       { return m.in.Read(p) }
func (m *memory) Write(p []byte) (int, error)      { return m.out.Write(p) }
func (m *memory) Close() error                     { return nil }
func (m *memory) SetReadDeadline(time.Time) error  { return nil }
func (m *memory) SetWriteDeadline(time.Time) error { return nil }

// FuzzConn: whatever a client sends, what comes back is whole answers, one at
// the most for each request and none more than the requests taken and refused.
func FuzzConn(f *testing.F) {
	for _, s := range []string{get(object), get(object) + get(object), put(3) + "abc" + get("/healthz"), put(5) + "ab",
		get(object, "Connection: close") + get(object), "GET / HTTP/1.0\r\n\r\n", "\r\n\r\n\r\n", "PUT /v1/form/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		fk := &fake{answer: core.Answer{Kind: core.Served, Body: []byte("body"), Tag: "t"}}
		s := newServer(fk)
		fk.left = make(chan *core.Request, len(b)+1)
		m := &memory{in: bytes.NewReader(b)}
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
		if answers+len(fk.left) != fk.count() {
			t.Fatalf("%d requests taken, %d answered, %d left", fk.count(), answers, len(fk.left))
		}
	})
}
