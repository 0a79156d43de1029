package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lateGrace is how long after its time an answer only earns nothing. Later, the request is lost.
const lateGrace = 500 * time.Millisecond

// errBadAnswer reports an answer that cannot be read.
var errBadAnswer = errors.New("the answer cannot be read")

// Request is a client's request.
type Request struct {
	Class   string
	Object  uint64
	Group   int
	Timeout time.Duration // X-Ttl-Ms
}

// Answer is an edge router's answer.
type Answer struct {
	Status int
	Tag    string
	Body   []byte
}

// NewID returns a new transaction id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Ask sends a read to a router on a new connection and reads the answer. An error says that no whole
// answer came until half a second after the client's time.
func Ask(addr, id string, request Request) (Answer, error) {
	limit := time.Now().Add(request.Timeout + lateGrace)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(limit); err != nil {
		return Answer{}, err
	}
	_, err = fmt.Fprintf(conn, "GET /v1/%s/%016x?block=0 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Ttl-Ms: %d\r\nX-Family: %d\r\nConnection: close\r\n\r\n",
		request.Class, request.Object, id, request.Timeout.Milliseconds(), request.Group)
	if err != nil {
		return Answer{}, err
	}
	return readAnswer(bufio.NewReader(conn))
}

// Conn is a client's connection that is kept alive.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a router.
func Dial(addr string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second) //nolint:noctx // bounded by its time-out
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Ask sends a read with the given X-Ttl-Ms and reads the answer.
func (c *Conn) Ask(class string, object uint64, timeout string) (Answer, error) {
	if err := c.conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return Answer{}, err
	}
	_, err := fmt.Fprintf(c.conn, "GET /v1/%s/%016x?block=0 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Ttl-Ms: %s\r\nX-Family: 1\r\n\r\n",
		class, object, NewID(), timeout)
	if err != nil {
		return Answer{}, err
	}
	return readAnswer(c.reader)
}

// readAnswer reads an HTTP answer whose body has a Content-Length.
func readAnswer(reader *bufio.Reader) (Answer, error) {
	var answer Answer
	line, err := reader.ReadString('\n')
	if err != nil {
		return answer, err
	}
	if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &answer.Status); err != nil {
		return answer, errBadAnswer
	}
	length := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return answer, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil {
				return answer, errBadAnswer
			}
		case "etag":
			answer.Tag = strings.Trim(value, `"`)
		}
	}
	answer.Body = make([]byte, length)
	_, err = io.ReadFull(reader, answer.Body)
	return answer, err
}

// Load is a set of clients that ask routers at a steady rate.
type Load struct {
	run     *Run
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	asked   map[string]int    // by router
	askedOf map[string]string // router by request id
	lost    map[string]int    // by router
}

// StartLoad starts a client for each router. Every interval it sends a request, each on a new
// connection.
func (r *Run) StartLoad(interval time.Duration, next func() Request, routers ...*Router) *Load {
	load := &Load{run: r, stop: make(chan struct{}), asked: map[string]int{}, askedOf: map[string]string{}, lost: map[string]int{}}
	for _, router := range routers {
		load.clients.Go(func() { load.ask(router, interval, next) })
	}
	return load
}

func (l *Load) ask(router *Router, interval time.Duration, next func() Request) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		request := next()
		pending.Go(func() {
			id := NewID()
			l.mu.Lock()
			l.askedOf[id] = router.Name
			l.mu.Unlock()
			answer, err := Ask(router.ClientAddr, id, request)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.asked[router.Name]++
			if err != nil {
				l.lost[router.Name]++
			}
			l.run.Logf("client of %s: request %s: status %d, error %v", router.Name, id, answer.Status, err)
		})
	}
}

// AskedOf returns the name of the router that a request was sent to.
func (l *Load) AskedOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.askedOf[id]
}

// Stop stops the clients and waits for their answers. It returns the numbers of requests and of lost
// requests by router.
func (l *Load) Stop() (asked, lost map[string]int) {
	close(l.stop)
	l.clients.Wait()
	return l.asked, l.lost
}
