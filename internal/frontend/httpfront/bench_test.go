package httpfront

import (
	"io"
	"net"
	"testing"

	"garnetline/internal/dispatch"
)

// BenchmarkRequest measures a request and its response on a kept-alive loopback connection.
// The client allocates nothing, so that all allocations are the server's.
func BenchmarkRequest(b *testing.B) {
	for name, text := range map[string]string{"read": getRequest(objectTarget, "X-Family: 17", `If-None-Match: "4be0c1927d55a6f3"`), "write": putRequest(3) + "abc"} {
		b.Run(name, func(b *testing.B) {
			server := newServer(&fakeDispatcher{})
			server.Dispatcher = &immediateDispatcher{dispatch.Response{Kind: dispatch.Served, Body: make([]byte, 2048), ETag: "4be0c1927d55a6f3"}}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go server.Serve(listener)
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer server.Shutdown()
			defer conn.Close()
			request := []byte(text)
			head := "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nETag: \"4be0c1927d55a6f3\"\r\nContent-Length: 2048\r\n\r\n"
			response := make([]byte, len(head)+2048)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, response); err != nil {
					b.Fatal(err)
				}
			}
			if string(response[:len(head)]) != head {
				b.Fatalf("%q", response[:len(head)])
			}
		})
	}
}

// BenchmarkParse measures the validation of a request that was read.
func BenchmarkParse(b *testing.B) {
	server := newServer(&fakeDispatcher{})
	c := server.newConn(&memoryConn{in: &repeatingReader{text: getRequest(objectTarget, "X-Family: 17", `If-None-Match: "4be0c1927d55a6f3"`)}})
	c.text.LimitRead(maxHeaderBytes)
	r, err := c.readRequest()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := server.parseRequest(r); err != nil {
			b.Fatal(err)
		}
	}
}
