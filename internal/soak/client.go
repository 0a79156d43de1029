package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const dialTimeout = time.Second

// client is one connection of a client. Only one goroutine may use it.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// answer is a complete response.
type answer struct {
	status     int
	body       []byte
	closeAfter bool
}

func dial(addr string) (*client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp", addr) //nolint:noctx // bounded by the timeout of the dialer
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.Close() }

// reset closes the connection with a reset, which discards what was not sent yet.
func (c *client) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (c *client) write(text string) error {
	_, err := io.WriteString(c.Conn, text)
	return err
}

// exchange sends a request and reads the whole response.
func (c *client) exchange(request string, deadline time.Time) (answer, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return answer{}, err
	}
	if err := c.write(request); err != nil {
		return answer{}, err
	}
	return c.read()
}

func (c *client) read() (answer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: body, closeAfter: response.Close}, err
}

// request is a request of the platform's protocol.
type request struct {
	id      string
	object  uint64
	timeout time.Duration
	body    string // the body of a write; empty: the request is a read
	header  string // further header lines
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newObject returns a new object id. The last digits select how the servers answer; see LargeObject.
func newObject(kind uint64) uint64 { return rand.Uint64()&^objectMask | kind }

// text returns the request as it is sent.
func (r request) text() string { return r.head(len(r.body)) + r.body }

// head returns the request line and the header of a request with a body of the given length.
func (r request) head(bodyBytes int) string {
	method, class := http.MethodGet, "part"
	header := r.header
	if bodyBytes > 0 {
		method, class = http.MethodPut, "form"
		header += fmt.Sprintf("X-Txn-Key: k%s\r\nContent-Length: %d\r\n", r.id, bodyBytes)
	}
	return fmt.Sprintf("%s /v1/%s/%016x?block=0 HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Ttl-Ms: %d\r\n%s\r\n",
		method, class, r.object, r.id, r.timeout.Milliseconds(), header)
}
