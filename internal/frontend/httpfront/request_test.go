package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
)

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

// A request is the same in each form that HTTP/1.1 allows, in one piece and byte by byte.
func TestRequestForms(t *testing.T) {
	read, write := getRequest(objectTarget, "X-Family: 17"), putRequest(3)+"abc"
	chunked := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for name, c := range map[string]struct{ text, as string }{
		"read":                   {read, read},
		"empty line before":      {"\r\n" + read, read},
		"lines that end with LF": {strings.ReplaceAll(read, "\r", ""), read},
		"names in small letters": {strings.NewReplacer("Host:", "host:", "X-", "x-").Replace(read), read},
		"no space":               {strings.ReplaceAll(read, ": ", ":"), read},
		"more space":             {strings.ReplaceAll(strings.ReplaceAll(read, ": ", ": \t "), "\r\nX", " \t\r\nX"), read},
		"whole target":           {strings.Replace(read, objectTarget, "http://x"+objectTarget, 1), read},
		"kept alive":             {getRequest(objectTarget, "X-Family: 17", "Connection: Keep-Alive"), read},
		"length of nothing":      {getRequest(objectTarget, "X-Family: 17", "Content-Length: 0"), read},
		"write":                  {write, write},
		"chunks":                 {chunked + "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", write},
		"chunks, more of them":   {chunked + "01;x=\"y\"\r\na\r\n002\r\nbc\r\n0\r\nX-Trailer: z\r\n\r\n", write},
		"expects 100":            {putRequest(3, "Expect: 100-Continue") + "abc", write},
	} {
		for _, pieces := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in pieces %v", name, pieces), func(t *testing.T) {
				f := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("x")}}
				s := newServer(f)
				addr := serveHooked(t, s, func(c net.Conn) (net.Conn, error) {
					if pieces {
						return singleByteConn{c.(*net.TCPConn)}, nil
					}
					return c, nil
				})
				conn := dialAt(t, addr)
				in := bufio.NewReader(conn)
				for _, text := range []string{c.text, c.as} {
					io.WriteString(conn, text)
					r, err := http.ReadResponse(in, nil)
					if err == nil && r.StatusCode == http.StatusContinue {
						r, err = http.ReadResponse(in, nil)
					}
					if err != nil || r.StatusCode != 200 || r.Close {
						t.Fatalf("%v %v", r, err)
					}
					io.Copy(io.Discard, r.Body)
				}
				conn.Close()
				one, other := f.request(0), f.request(1)
				one.Respond, other.Respond = nil, nil
				if !reflect.DeepEqual(one, other) {
					t.Errorf("%+v, want %+v", one, other)
				}
			})
		}
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

// A client that writes slowly, but whole within its time, is served; its time counts from
// the last byte.
func TestSlowWriter(t *testing.T) {
	clk := clock.NewManual(1.7e12)
	f := &fakeDispatcher{hold: true} // the client's connection has one reader, and no answer crosses it
	s := newServer(f)
	s.Clock = clk
	text := putRequest(3) + "abc"
	s.newConn(&slowClient{clock: clk, text: text, byteInterval: 15}).serve()
	if f.count() != 1 {
		t.Fatalf("%d requests were taken", f.count())
	}
	if last := 15 * float64(len(text)); f.request(0).Deadline != 1.7e12+last+1500-responseMarginMs {
		t.Errorf("it has until %v, its last byte came at %v", f.request(0).Deadline-1.7e12, last)
	}
}

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
