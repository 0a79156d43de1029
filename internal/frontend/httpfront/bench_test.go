package httpfront

import (
	"io"
	"strings"
	"testing"

	"garnetline/internal/dispatch"
)

// BenchmarkRequest measures one request and its response on a loopback connection that stays open.
// The client allocates no memory, so the server makes all reported allocations.
func BenchmarkRequest(b *testing.B) {
	for name, text := range map[string]string{
		"read":  getRequest(objectTarget, "X-Family: 17", `If-None-Match: "4be0c1927d55a6f3"`),
		"write": putRequest(3) + "abc",
	} {
		b.Run(name, func(b *testing.B) {
			server := newServer(&fakeDispatcher{})
			response := dispatch.Response{Kind: dispatch.Served, Body: make([]byte, 2048), ETag: "4be0c1927d55a6f3"}
			server.Dispatcher = &immediateDispatcher{response}
			listener := listen(b)
			startServer(b, server, listener)
			conn := connect(b, listener.Addr().String())
			request := []byte(text)
			head := "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nETag: \"4be0c1927d55a6f3\"\r\nContent-Length: 2048\r\n\r\n"
			received := make([]byte, len(head)+2048)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, received); err != nil {
					b.Fatal(err)
				}
			}
			if got := string(received[:len(head)]); got != head {
				b.Fatalf("response begins with %q, want %q", got, head)
			}
		})
	}
}

// BenchmarkParse measures how long the server takes to validate a request. The request is read
// before the measurement begins.
func BenchmarkParse(b *testing.B) {
	server := newServer(&fakeDispatcher{})
	text := getRequest(objectTarget, "X-Family: 17", `If-None-Match: "4be0c1927d55a6f3"`)
	conn := server.newConn(&memoryConn{in: &repeatingReader{text: text}})
	conn.text.LimitRead(maxHeaderBytes)
	request, err := conn.readRequest()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := server.parseRequest(request); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRead measures how long the server takes to read and validate a request. No socket is
// involved.
func BenchmarkRead(b *testing.B) {
	chunked := strings.Replace(putRequest(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for name, text := range map[string]string{
		"read":     getRequest(objectTarget, "X-Family: 17", `If-None-Match: "4be0c1927d55a6f3"`),
		"browser":  getRequest(objectTarget, "User-Agent: Mozilla/5.0 (X11; Linux x86_64)", "Accept: */*", "Accept-Language: de", "Cache-Control: no-cache"),
		"absolute": getRequest("http://backend.local" + objectTarget),
		"write":    putRequest(2000) + strings.Repeat("a", 2000),
		"chunked":  chunked + strings.Repeat("1f4\r\n"+strings.Repeat("a", 500)+"\r\n", 4) + "0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			server := newServer(&fakeDispatcher{})
			conn := server.newConn(&memoryConn{in: &repeatingReader{text: text}})
			b.ReportAllocs()
			for b.Loop() {
				conn.text.LimitRead(maxHeaderBytes)
				request, err := conn.readRequest()
				if err != nil {
					b.Fatal(err)
				}
				if _, err := server.parseRequest(request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
