package peers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one connection of a client to a router.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is a whole answer of a router.
type answer struct {
	status int
	body   string
	closes bool // the answer says that the connection is closed after it
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// receive reads one whole answer.
func (c *client) receive(until time.Time) (answer, error) {
	if err := c.conn.SetReadDeadline(until); err != nil {
		return answer{}, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), closes: response.Close}, err
}

func (c *client) close() { _ = c.conn.Close() }

// request is one request of a usual client.
type request struct {
	id, class, object string
	part              int
	key               string // of a write
	body              string // of a write
	patience          time.Duration
}

func (r request) text() string {
	var text strings.Builder
	method := http.MethodGet
	if r.key != "" {
		method = http.MethodPut
	}
	fmt.Fprintf(&text, "%s /v1/%s/%s?block=%d HTTP/1.1\r\nHost: backend.local\r\n", method, r.class, r.object, r.part)
	fmt.Fprintf(&text, "X-Txn: %s\r\nX-Ttl-Ms: %d\r\nX-Family: 17\r\n", r.id, r.patience.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&text, "X-Txn-Key: %s\r\nContent-Length: %d\r\n", r.key, len(r.body))
	}
	return text.String() + "\r\n" + r.body
}
