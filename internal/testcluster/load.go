package testcluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the clients.
const (
	clientTimeout     = 4 * time.Second        // time limit that a client sends with a request
	clientGracePeriod = 500 * time.Millisecond // additional time that a client waits for the answer
	clientDialTimeout = 2 * time.Second
	objectCount       = 50 // number of objects that the clients request
	objectBits        = 20 // low bits of a transaction ID that hold the object; the high bits hold the request's number
)

// Load is a set of clients that send requests to routers at a steady rate until they are stopped.
type Load struct {
	cluster  *Cluster
	stop     chan struct{}
	clients  sync.WaitGroup
	requests atomic.Int64

	mu        sync.Mutex
	durations []time.Duration  // of requests with exactly one complete answer
	statuses  map[int]int      // number of answers by status
	lost      []string         // requests without exactly one complete answer, except those to excluded routers
	excluded  map[*Router]bool // routers whose requests are left out of the result
}

// StartLoad starts one client for each router. A client sends one request per interval, each on its
// own connection, so that a killed router loses only the requests that it is handling.
func (c *Cluster) StartLoad(interval time.Duration, routers ...*Router) *Load {
	load := &Load{
		cluster:  c,
		stop:     make(chan struct{}),
		statuses: map[int]int{},
		excluded: map[*Router]bool{},
	}
	for i, router := range routers {
		rng := rand.New(rand.NewPCG(c.options.Seed, uint64(i)))
		load.clients.Go(func() { load.runClient(router, rng, interval) })
	}
	return load
}

// runClient sends requests until the load is stopped, and then waits for the outstanding answers.
func (l *Load) runClient(router *Router, rng *rand.Rand, interval time.Duration) {
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
		if l.isExcluded(router) {
			continue
		}
		object := rng.IntN(objectCount) + 1
		pending.Go(func() { l.request(router, object) })
	}
}

// SetExcluded sets whether a router is excluded from the result. Tests exclude a router whose
// process is about to exit or to be paused. The clients send no new requests to an excluded router,
// and do not record whether it answers the outstanding requests.
func (l *Load) SetExcluded(router *Router, excluded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excluded[router] = excluded
}

func (l *Load) isExcluded(router *Router) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excluded[router]
}

// request sends one request for an object and records its answer.
func (l *Load) request(router *Router, object int) {
	startedAt := time.Now()
	transactionID := fmt.Sprintf("%016x", uint64(l.requests.Add(1))<<objectBits|uint64(object))
	received, err := sendClientRequest(router.ListenAddr, transactionID, object)
	duration := time.Since(startedAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.excluded[router]:
	case err != nil || received.count != 1:
		l.lost = append(l.lost, fmt.Sprintf("request %s at %s: got %d complete answers after %v, want 1: error %v", transactionID, router.Name, received.count, duration, err))
	default:
		l.statuses[received.status]++
		l.durations = append(l.durations, duration)
	}
}

// answers describes the answers that a client received to one request.
type answers struct {
	count  int // number of complete answers
	status int // of the last complete answer
}

// sendClientRequest sends a request and reads answers until the connection ends, so that a
// duplicate answer to the request is detected.
func sendClientRequest(addr, transactionID string, object int) (received answers, err error) {
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return received, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(clientTimeout + clientGracePeriod)); err != nil {
		return received, err
	}
	if _, err := fmt.Fprintf(conn, "GET /v1/part/%016x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Txn: %s\r\nX-Ttl-Ms: %d\r\n\r\n",
		object, transactionID, clientTimeout.Milliseconds()); err != nil {
		return received, err
	}
	reader := textproto.NewReader(bufio.NewReader(conn))
	for {
		status, err := readAnswer(reader)
		if errors.Is(err, errNoAnswer) && received.count > 0 {
			return received, nil
		}
		if err != nil {
			return received, err
		}
		received.status = status
		received.count++
	}
}

// errNoAnswer reports a connection that ended before the first byte of an answer.
var errNoAnswer = errors.New("connection ended before the first byte of an answer")

// readAnswer reads one answer including its body, and returns its status.
func readAnswer(reader *textproto.Reader) (status int, err error) {
	statusLine, err := reader.ReadLine()
	if errors.Is(err, io.EOF) {
		return 0, errNoAnswer
	}
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Sscanf(statusLine, "HTTP/1.1 %d", &status); err != nil {
		return 0, err
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return 0, err
	}
	bodySize, err := contentLength(header)
	if err != nil {
		return 0, err
	}
	_, err = io.CopyN(io.Discard, reader.R, bodySize)
	return status, err
}

// contentLength returns the size of the body in bytes, or 0 if the header has no Content-Length.
func contentLength(header textproto.MIMEHeader) (int64, error) {
	value := header.Get("Content-Length")
	if value == "" {
		return 0, nil
	}
	return strconv.ParseInt(value, 10, 64)
}

// Stop stops the clients, waits for the outstanding requests, and returns the result.
func (l *Load) Stop() Result {
	close(l.stop)
	l.clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	result := Result{
		Requests:    int(l.requests.Load()),
		Statuses:    l.statuses,
		Lost:        l.lost,
		MaxAttempts: l.cluster.maxAttempts(),
	}
	slices.Sort(l.durations)
	if count := len(l.durations); count > 0 {
		result.P50 = l.durations[count/2]
		result.P99 = l.durations[count*99/100]
	}
	return result
}

// maxAttempts returns the greatest number of attempts that the servers have counted for one
// request.
func (c *Cluster) maxAttempts() (greatest int) {
	attempts := map[string]int{}
	for _, server := range c.Servers {
		for id, count := range server.Attempts() {
			attempts[id] += count
		}
	}
	for _, count := range attempts {
		greatest = max(greatest, count)
	}
	return greatest
}
