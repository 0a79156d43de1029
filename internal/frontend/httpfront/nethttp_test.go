package httpfront

import (
	"bytes"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
)

// parsedRequest is what a parser found in a message.
type parsedRequest struct{ method, path, query, body string }

// netHTTPConn is a connection for a server of net/http.
type netHTTPConn struct{ memoryConn }

func (c *netHTTPConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *netHTTPConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// singleListener accepts one connection.
type singleListener struct {
	net.Listener
	conn net.Conn
}

func (l *singleListener) Accept() (net.Conn, error) {
	conn := l.conn
	if l.conn = nil; conn == nil {
		return nil, io.EOF
	}
	return conn, nil
}

func (l *singleListener) Close() error { return nil }

// parseWithNetHTTP returns the requests that a server of net/http serves of a text, and its responses.
func parseWithNetHTTP(text []byte) (requests []parsedRequest, responses string) {
	conn := &netHTTPConn{memoryConn{in: bytes.NewReader(text)}}
	closed := make(chan struct{})
	server := &http.Server{
		ErrorLog:                     log.New(io.Discard, "", 0),
		DisableGeneralOptionsHandler: true,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				close(closed)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			requests = append(requests, parsedRequest{r.Method, r.URL.EscapedPath(), r.URL.RawQuery, string(body)})
		}),
	}
	_ = server.Serve(&singleListener{conn: conn}) // io.EOF, after the only connection
	<-closed
	return requests, conn.out.String()
}

// messageParts are alternatives for the parts of a message, the usual one first.
var messageParts = [][]string{
	{"GET", "PUT", "OPTIONS", "CONNECT", "G(T", "GET\t", "\r\nPUT", ""},
	{" ", "  ", "\t"},
	{objectTarget, "*", "http://x/?%zz", "HTTPS://[::1]:8/a", "http://u@x/", "http://x:y", "//x/y?z", "x:80", "/a#b", "/%4", "/\xc3", "/|^", "http://%41", "http://[::1%25a]/"},
	{" ", "", "  "},
	{"HTTP/1.1", "HTTP/1.0", "HTTP/1.9", "HTTP/1.x", "HTTP/2.0", "http/1.1", "HTTP/1.1 "},
	{"\r\n", "\n", "\r\r\n", "\r\n ", "\r"},
	{"Host: x", "Host: x:80", "Host:", "Host: [::1]:", "Host : x", "Host: %41", "Host: u@x", "Host: x\r\nHost: x", "X-A: a"},
	{"\r\n", "\n", "\r\n\t", "\r"},
	{"Transfer-Encoding: chunked", "Content-Length: 3", "transfer-encoding:\tChunked ", "Transfer-Encoding: chunked\r\nTrailer: x, Host", "Content-Length : 3",
		"Content-Length: +3", "Content-Length: 03", "Content-Length: 3,3", "Content-Length: 3\r\nContent-Length: 3", "Transfer-Encoding: gzip, chunked",
		"Transfer-Encoding:\r\n chunked", "Transfer-Encoding: \x0bchunked", "Transfer-Encoding: chunked;a", "Transfer-Encoding: ,chunked"},
	{"\r\n", "\n"},
	{"X-A: a", "Expect: 100-continue", "Expect: ,", "Expect: a", "Connection: close", "X-A: \xff\x7f", "X(: a", ": a", "X-A", "Content-Length: 3", "Transfer-Encoding: chunked"},
	{"\r\n\r\n", "\n\n", "\r\n\n", "\r\n"},
	{"3\r\nabc\r\n0\r\n", "abc", "3;a=\"b\"\r\nabc\r\n00;c\r\n", "3;\r\nabc\r\n0\r\n", "3 \r\nabc\r\n0\r\n", "3 ;a\r\nabc\r\n0\r\n", "3\nabc\r\n0\r\n", "3\r\nabc\n0\r\n", "3\r\nabcd0\r\n", "0x3\r\nabc\r\n0\r\n", "3\r\nabc\r\n0\n", "00000000000000003\r\nabc\r\n0\r\n"},
	{"\r\n", "X-A: a\r\n\r\n", "X-A : a\r\n\r\n", "Content-Length: 3\r\n\r\n", "X-A: a\n\r\n", "\n", ""},
}

// randomMessage returns a message with at most a few unusual parts.
func randomMessage(random *rand.Rand) []byte {
	const unusual = 0.15 // fraction of the parts that are drawn from all alternatives
	var message []byte
	for _, alternatives := range messageParts {
		choice := 0
		if random.Float64() < unusual {
			choice = random.IntN(len(alternatives))
		}
		message = append(message, alternatives[choice]...)
	}
	return message
}

// FuzzRequestAgainstNetHTTP compares the parser with that of net/http. Each message that the parser takes
// from a connection must be, to the byte, one message to net/http too, with the same method, target and
// body. The parser may be stricter: the table of malformed requests in cmd/garnetline says where.
//
// It is more lenient in two respects. It skips an empty line before a message, as RFC 9112, section 2.2
// asks; net/http does so after a POST alone. And trailers may have 16 KB as headers do, where net/http
// rejects what is longer than its buffer; the size of the inputs stays below that.
func FuzzRequestAgainstNetHTTP(f *testing.F) {
	const (
		maxInput       = 3000 // bytes
		randomMessages = 5000
	)
	random := rand.New(rand.NewPCG(7, 0))
	for range randomMessages {
		f.Add(append(randomMessage(random), randomMessage(random)...))
	}
	chunked := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for _, text := range []string{
		getRequest(objectTarget, "X-Family: 17") + "\r\n" + putRequest(3) + "abc",
		strings.ReplaceAll(getRequest("http://x:80/?a=%zz"), "\r", ""),
		chunked + "1;a=\"b\"\r\na\r\n0002;c;d\r\nbc\r\n0\r\nX-A: b\r\n\r\n" + getRequest("/healthz#a"),
		chunked + "1 \r\na\n0\r\nHost: b\n\n",
		"OPTIONS * HTTP/1.9\r\nHost: [::1]:80\r\nExpect: 100-continue\r\nContent-Length: 03\r\n\r\nabc",
		"PUT https://%C3%A4.x?b HTTP/1.0\r\nTransfer-Encoding: chunked, gzip\r\nTrailer: Host, a\r\nContent-Length: +1\r\n\r\n",
		"CONNECT x:80 HTTP/1.1\nHost : x\nX-A: a\n b\nConnection: close\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > maxInput {
			return
		}
		source := bytes.NewReader(text)
		connection := newServer(&fakeDispatcher{}).newConn(&memoryConn{in: source})
		for start := 0; ; {
			connection.text.LimitRead(maxHeaderBytes)
			got, err := connection.readRequest()
			if err != nil {
				return
			}
			end := len(text) - source.Len() - connection.text.R.Buffered()
			compareWithNetHTTP(t, got, text[start:end])
			start = end
		}
	})
}

// compareWithNetHTTP fails the test unless a message is one request to net/http, the same as got.
func compareWithNetHTTP(t *testing.T, got *request, message []byte) {
	t.Helper()
	if emptyLine := bytes.IndexByte(message, '\n'); strings.TrimRight(string(message[:emptyLine]), "\r") == "" {
		message = message[emptyLine+1:]
	}
	want := parsedRequest{got.method, got.path, got.query, string(got.body)}
	requests, responses := parseWithNetHTTP(message)
	if len(requests) != 1 || requests[0] != want {
		t.Fatalf("net/http finds %q in %q and responds %.200q; want only %q", requests, message, responses, want)
	}
}
