package daemontest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// Request returns the text of an HTTP request without a body. Each header line has the form
// "Name: value".
func Request(method, target string, header ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: x\r\n", method, target)
	for _, line := range header {
		text.WriteString(line + "\r\n")
	}
	text.WriteString("\r\n")
	return text.String()
}

// RequestWithBody returns the text of an HTTP request with a body and its length.
func RequestWithBody(method, target, body string, header ...string) string {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	return Request(method, target, append(slices.Clone(header), length)...) + body
}

// Transaction returns the header line with a request's transaction id.
func Transaction(id int) string { return fmt.Sprintf("X-Txn: %016x", id) }

// ClientTimeout returns the header line that says how long the client waits for the response.
func ClientTimeout(timeout time.Duration) string {
	return fmt.Sprintf("X-Ttl-Ms: %d", timeout.Milliseconds())
}

// CloseConnection is the header line with which a client asks the router to close the connection
// after the response.
const CloseConnection = "Connection: close"

// Response is a complete HTTP response.
type Response struct {
	Status int
	Body   string
	Close  bool // the router closes the connection after the response
}

// Client is one client connection. Only one goroutine may use it.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// DialContext opens a connection. The caller closes it.
func DialContext(ctx context.Context, addr string) (*Client, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Dial opens a connection and closes it when the test ends, unless the test has closed it.
func Dial(tb testing.TB, addr string) *Client {
	tb.Helper()
	client, err := DialContext(tb.Context(), addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := client.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			tb.Error(err)
		}
	})
	return client
}

// Write sends the text of a request.
func (c *Client) Write(request string) error {
	_, err := io.WriteString(c.Conn, request)
	return err
}

// Read reads one response. It fails after Timeout.
func (c *Client) Read() (Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		return Response{}, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, err
	}
	return Response{Status: response.StatusCode, Body: string(body), Close: response.Close}, response.Body.Close()
}

// Do sends a request and reads its response.
func (c *Client) Do(request string) (Response, error) {
	if err := c.Write(request); err != nil {
		return Response{}, err
	}
	return c.Read()
}

// Send sends a request. An error ends the test.
func (c *Client) Send(tb testing.TB, request string) {
	tb.Helper()
	if err := c.Write(request); err != nil {
		tb.Fatal(err)
	}
}

// Receive reads one response. An error ends the test.
func (c *Client) Receive(tb testing.TB) Response {
	tb.Helper()
	response, err := c.Read()
	if err != nil {
		tb.Fatal(err)
	}
	return response
}

// Exchange sends a request and reads its response. An error ends the test.
func (c *Client) Exchange(tb testing.TB, request string) Response {
	tb.Helper()
	c.Send(tb, request)
	return c.Receive(tb)
}

// Exchange sends a request on a new connection, reads its response and closes the connection.
func Exchange(tb testing.TB, addr, request string) Response {
	tb.Helper()
	client := Dial(tb, addr)
	defer Close(tb, client)
	return client.Exchange(tb, request)
}

func healthCheck() string { return Request(http.MethodGet, "/healthz", CloseConnection) }

// WaitDraining waits until a router that is shutting down answers a health check with a status
// other than 200. A connection that the router refuses or leaves unanswered ends the test.
func WaitDraining(tb testing.TB, addr string) {
	tb.Helper()
	WaitUntil(tb, "the health check fails", func() bool {
		return Exchange(tb, addr, healthCheck()).Status != http.StatusOK
	})
}

// WaitHealthy waits until a router answers a health check with status 200. The router may refuse
// connections until then, but a connection that it accepts and leaves unanswered ends the test.
func WaitHealthy(tb testing.TB, addr string) {
	tb.Helper()
	WaitUntil(tb, "the router is healthy", func() bool {
		client, err := DialContext(tb.Context(), addr)
		if err != nil {
			return false
		}
		defer Close(tb, client)
		return client.Exchange(tb, healthCheck()).Status == http.StatusOK
	})
}
