package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/fakeserver"
	"garnetline/internal/logs"
)

// The server rejects malformed requests and does not submit them to the dispatcher.
func TestMalformedRequestsAreRejected(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{}
			conn := dial(t, newServer(dispatcher))
			sendInBackground(t, conn, test.text)
			response := mustReadResponse(t, bufio.NewReader(conn))
			if response.status != test.status {
				t.Errorf("status %d, want %d", response.status, test.status)
			}
			if count := dispatcher.count(); count != 0 {
				t.Errorf("got %d submitted requests, want none", count)
			}
		})
	}
}

// TestRequestForms checks that the server submits the same request to the dispatcher for each form
// in which HTTP/1.1 allows the request to be written. The result is the same whether the server
// reads the bytes together or one by one.
func TestRequestForms(t *testing.T) {
	read, write := getRequest(objectTarget, "X-Family: 17"), putRequest(3)+"abc"
	chunked := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for name, form := range map[string]struct{ text, equivalent string }{
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
		t.Run(name, func(t *testing.T) {
			checkSameRequest(t, form.text, form.equivalent, func(conn net.Conn) (net.Conn, error) { return conn, nil })
		})
		t.Run(name+", byte by byte", func(t *testing.T) {
			checkSameRequest(t, form.text, form.equivalent, func(conn net.Conn) (net.Conn, error) {
				return singleByteConn{conn.(*net.TCPConn)}, nil
			})
		})
	}
}

// checkSameRequest sends two requests on one connection. It fails the test unless the server serves
// both and submits equal requests to the dispatcher. The server reads from the connection that the
// function accept returns.
func checkSameRequest(t *testing.T, text, equivalent string, accept func(net.Conn) (net.Conn, error)) {
	t.Helper()
	dispatcher := &fakeDispatcher{response: servedX}
	conn := dialAt(t, serveHooked(t, newServer(dispatcher), accept))
	reader := bufio.NewReader(conn)
	for _, request := range []string{text, equivalent} {
		send(t, conn, request)
		response, err := parseFinalResponse(reader, http.MethodGet)
		if err != nil || response.status != http.StatusOK || response.closes {
			t.Fatalf("got response %+v, error %v; want status %d, kept alive", response, err, http.StatusOK)
		}
	}
	closeConn(t, conn)
	got, want := dispatcher.request(0), dispatcher.request(1)
	got.Respond, want.Respond = nil, nil
	got.ProbeClient, want.ProbeClient = nil, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got submitted request %+v, want %+v", got, want)
	}
}

// The dispatcher gets the same body whether the client sends it with a length, in chunks or after
// 100 Continue.
func TestRequestBodyFormsAreEquivalent(t *testing.T) {
	want := strings.Repeat("ab\r\n", 12_000)
	chunks := "PUT /v1/form/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 1500\r\nX-Txn-Key: k1\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(want), want)
	for name, text := range map[string]string{
		"length":       putRequest(len(want)) + want,
		"chunks":       chunks,
		"100 Continue": putRequest(len(want), "Expect: 100-continue") + want,
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("ok")}}
			conn := dial(t, newServer(dispatcher))
			sendInBackground(t, conn, text)
			response, err := parseFinalResponse(bufio.NewReader(conn), http.MethodPut)
			if err != nil || response.status != http.StatusOK {
				t.Fatalf("got response %+v, error %v; want status %d", response, err, http.StatusOK)
			}
			if got := string(dispatcher.request(0).Body); got != want {
				t.Errorf("got body %.100q of %d bytes, want %.100q of %d bytes", got, len(got), want, len(want))
			}
		})
	}
}

// The server serves a client that sends slowly but completes its request in time. The deadline of
// the request counts from the arrival of its last byte.
func TestSlowWriter(t *testing.T) {
	manual := clock.NewManual(startTime)
	dispatcher := &fakeDispatcher{hold: true} // no response is written while the server reads from the client
	server := newServer(dispatcher)
	server.Clock = manual
	text := putRequest(3) + "abc"
	const byteInterval = 15 // ms
	server.newConn(&slowClient{clock: manual, text: text, byteInterval: byteInterval}).serve()
	if count := dispatcher.count(); count != 1 {
		t.Fatalf("got %d submitted requests, want 1", count)
	}
	lastByteAt := startTime + byteInterval*float64(len(text))
	if got, want := dispatcher.request(0).Deadline, lastByteAt+1500-responseMarginMs; got != want {
		t.Errorf("the deadline is %v ms from the start, want %v", got-startTime, want-startTime)
	}
}

// FuzzConn checks that a client gets only complete responses, whatever bytes it sends. The server
// must either serve each submitted request or report its client as disconnected.
func FuzzConn(f *testing.F) {
	for _, text := range []string{
		getRequest(objectTarget),
		getRequest(objectTarget) + getRequest(objectTarget),
		putRequest(3) + "abc" + getRequest("/healthz"),
		putRequest(5) + "ab",
		getRequest(objectTarget, "Connection: close") + getRequest(objectTarget),
		"GET / HTTP/1.0\r\n\r\n",
		"\r\n\r\n\r\n",
		"PUT /v1/form/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		dispatcher := &fakeDispatcher{response: dispatch.Response{Kind: dispatch.Served, Body: []byte("body"), ETag: "t"}}
		server := newServer(dispatcher)
		dispatcher.disconnected = make(chan *dispatch.Request, len(sent)+1)
		client := &memoryConn{in: bytes.NewReader(sent)}
		server.newConn(client).serve()
		served, reader := 0, bufio.NewReader(&client.out)
		for {
			if _, err := reader.Peek(1); err != nil {
				break
			}
			response, err := parseResponse(reader, http.MethodGet)
			if err != nil {
				t.Fatalf("malformed or incomplete response: %v", err)
			}
			if response.status == http.StatusOK && response.header.Get("Etag") != "" {
				served++
			}
		}
		if served+len(dispatcher.disconnected) != dispatcher.count() {
			t.Fatalf("%d requests submitted, %d served, %d disconnected; want each served or disconnected", dispatcher.count(), served, len(dispatcher.disconnected))
		}
	})
}

// TestRejectionsSayTheirReason checks that a rejection is counted by its reason and logged with it, for a
// message that is malformed and for one that cannot be used.
func TestRejectionsSayTheirReason(t *testing.T) {
	for text, reason := range map[string]string{
		getRequest(objectTarget, "X-A : a"):             "header",
		getRequest("/v1/part/xyz", "Connection: close"): "object",
	} {
		var log fakeserver.Output
		options := newServer(&fakeDispatcher{}).Options
		options.Log = *logs.New(&log)
		server := New(options)
		conn := dial(t, server)
		send(t, conn, text)
		mustReadResponse(t, bufio.NewReader(conn))
		if got := server.Metrics.Counter("requests_malformed_" + reason).Load(); got != 1 {
			t.Errorf("got %d rejections for the reason %s, want 1", got, reason)
		}
		if want := `"reason":"` + reason + `","status":400`; !strings.Contains(log.String(), want) {
			t.Errorf("the log is %q, want an event with %s", log.String(), want)
		}
	}
}
