package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	answerGrace   = 500 * time.Millisecond // an answer may come this long after the timeout of its request
	writeBytes    = 8_000
	usualInterval = 25 * time.Millisecond
)

// UsualClients send sound requests at a steady rate: reads, writes and reads of large objects, on new
// connections and on connections that stay open.
type UsualClients struct {
	addr    string
	timeout time.Duration // of each request
	stop    chan struct{}
	stopped chan struct{}

	mu     sync.Mutex
	kills  []interval
	failed []failedRequest
	paused bool // no request is started
	result UsualResult
	idle   []*client
}

// UsualResult tells what became of the requests of usual clients.
type UsualResult struct {
	Asked, Served int
	Refused       int         // connections refused while no process listened
	Excused       int         // requests without an answer that were open when a process was killed
	Unserved      map[int]int // requests answered with another status than 200, by status
	Lost          []string    // other requests without a complete answer in time
	writes        []string    // ids of writes
	latencies     []time.Duration
}

// Latency returns the time within which the given fraction of the requests was answered.
func (r UsualResult) Latency(fraction float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(fraction*float64(len(r.latencies)-1))]
}

// interval is a span of time.
type interval struct{ from, to time.Time }

func (i interval) overlaps(other interval) bool {
	return !i.to.Before(other.from) && !other.to.Before(i.from)
}

// failedRequest is a request without a complete answer.
type failedRequest struct {
	open interval // from its first byte until it failed
	text string
}

// StartUsualClients starts the clients.
func StartUsualClients(addr string, timeout time.Duration) *UsualClients {
	clients := &UsualClients{addr: addr, timeout: timeout, stop: make(chan struct{}), stopped: make(chan struct{})}
	go clients.run()
	return clients
}

// Stop ends the clients and returns the result once every request has ended.
func (u *UsualClients) Stop() UsualResult {
	close(u.stop)
	<-u.stopped
	u.judgeFailures()
	for _, idle := range u.idle {
		idle.close()
	}
	return u.result
}

func (u *UsualClients) run() {
	defer close(u.stopped)
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(usualInterval)
	defer ticker.Stop()
	for sequence := 0; ; sequence++ {
		select {
		case <-u.stop:
			return
		case <-ticker.C:
		}
		if !u.isPaused() {
			open.Go(func() { u.ask(sequence) })
		}
	}
}

// ask sends one request and records its end.
func (u *UsualClients) ask(sequence int) {
	asked := request{id: newID(), object: newObject(0), timeout: u.timeout}
	switch sequence % 4 {
	case 0:
		asked.object = newObject(LargeObject)
	case 1:
		asked.body = strings.Repeat("w", writeBytes)
	}
	start := time.Now()
	got, err := u.exchange(asked, rand.IntN(2) == 0)
	took := time.Since(start)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.result.Asked++
	if asked.body != "" {
		u.result.writes = append(u.result.writes, asked.id)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		u.result.Refused++
	case err != nil:
		u.failed = append(u.failed, failedRequest{
			open: interval{start, start.Add(took)},
			text: fmt.Sprintf("%s after %v: %v", asked.id, took, err),
		})
	case got.status == http.StatusOK:
		u.result.Served++
		u.result.latencies = append(u.result.latencies, took)
	default:
		if u.result.Unserved == nil {
			u.result.Unserved = map[int]int{}
		}
		u.result.Unserved[got.status]++
	}
}

// noteKill records that a process without notice was killed in the given time.
func (u *UsualClients) noteKill(killed interval) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.kills = append(u.kills, killed)
}

// judgeFailures excuses the failed requests that were open when a process was killed. The others are
// lost.
func (u *UsualClients) judgeFailures() {
	for _, failed := range u.failed {
		if slices.ContainsFunc(u.kills, failed.open.overlaps) {
			u.result.Excused++
		} else {
			u.result.Lost = append(u.result.Lost, failed.text)
		}
	}
}

// setPaused stops or continues the start of requests.
func (u *UsualClients) setPaused(paused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.paused = paused
}

func (u *UsualClients) isPaused() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.paused
}

// exchange sends a request on an idle connection or on a new one. If an idle connection ends before
// the answer begins, the request crossed the close, and is sent once more.
func (u *UsualClients) exchange(asked request, reuse bool) (answer, error) {
	deadline := time.Now().Add(asked.timeout + answerGrace)
	if connection := u.takeIdle(reuse); connection != nil {
		got, err := connection.exchange(asked.text(), deadline)
		if err == nil {
			u.release(connection, got)
			return got, nil
		}
		connection.close()
		if time.Now().After(deadline) {
			return got, err
		}
	}
	connection, err := dial(u.addr)
	if err != nil {
		return answer{}, err
	}
	got, err := connection.exchange(asked.text(), deadline)
	if err != nil {
		connection.close()
		return got, err
	}
	u.release(connection, got)
	return got, nil
}

func (u *UsualClients) takeIdle(reuse bool) *client {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reuse || len(u.idle) == 0 {
		return nil
	}
	last := len(u.idle) - 1
	connection := u.idle[last]
	u.idle = u.idle[:last]
	return connection
}

func (u *UsualClients) release(connection *client, got answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if got.closeAfter || len(u.idle) >= 4 {
		connection.close()
		return
	}
	u.idle = append(u.idle, connection)
}
