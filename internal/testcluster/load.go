package testcluster

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load asks routers for objects at a steady pace until it is ended.
type Load struct {
	quit           chan struct{}
	clients        sync.WaitGroup
	mu             sync.Mutex
	durations      []time.Duration
	statuses       map[int]int // answers by status
	lost           []string    // what had no whole answer though its router lived
	requests       atomic.Int64
	cluster        *Cluster
	excusedRouters map[*Router]bool // its process is to end or be stopped: what it owes may be lost
}

// patience is what the clients wait, ms, as they tell.
const clientTimeout = 4000

// Load starts clients at each of these routers, each asking every so often. Each request
// has a connection of its own, so that a killed router loses no more than what it had.
func (r *Cluster) StartLoad(every time.Duration, at ...*Router) *Load {
	l := &Load{quit: make(chan struct{}), statuses: map[int]int{}, cluster: r, excusedRouters: map[*Router]bool{}}
	for i, x := range at {
		l.clients.Go(func() {
			rng := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
			tick := time.NewTicker(every)
			defer tick.Stop()
			var open sync.WaitGroup
			defer open.Wait()
			for {
				select {
				case <-l.quit:
					return
				case <-tick.C:
				}
				if l.excused(x) {
					continue
				}
				object := rng.IntN(50) + 1
				open.Go(func() { l.request(x, object) })
			}
		})
	}
	return l
}

// Excuse says that a router's process is about to end or be stopped, or is back: what
// it owes in the meantime is not counted.
func (l *Load) SetExcused(x *Router, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excusedRouters[x] = on
}

func (l *Load) excused(x *Router) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excusedRouters[x]
}

// ask makes one request and notes its answers.
func (l *Load) request(x *Router, object int) {
	began := time.Now()
	txn := fmt.Sprintf("%016x", uint64(l.requests.Add(1))<<20|uint64(object))
	status, answers, err := l.send(x, txn, object)
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.excusedRouters[x]:
	case err != nil || answers != 1:
		l.lost = append(l.lost, fmt.Sprintf("%s at %s: %d answers after %v: %v", txn, x.Name, answers, took, err))
	default:
		l.statuses[status]++
		l.durations = append(l.durations, took)
	}
}

// one asks and reads until the connection ends: more than one answer is seen.
func (l *Load) send(x *Router, txn string, object int) (status, answers int, err error) {
	conn, err := net.DialTimeout("tcp", x.ListenAddr, 2*time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add((clientTimeout + 500) * time.Millisecond))
	fmt.Fprintf(conn, "GET /v1/part/%016x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Txn: %s\r\nX-Ttl-Ms: %d\r\n\r\n", object, txn, clientTimeout)
	in := textproto.NewReader(bufio.NewReader(conn))
	for {
		first, err := in.ReadLine()
		if err == io.EOF && answers > 0 {
			return status, answers, nil
		}
		if err != nil {
			return status, answers, err
		}
		if _, err := fmt.Sscanf(first, "HTTP/1.1 %d", &status); err != nil {
			return status, answers, err
		}
		head, err := in.ReadMIMEHeader()
		if err != nil {
			return status, answers, err
		}
		n := 0
		fmt.Sscan(head.Get("Content-Length"), &n)
		if _, err := io.CopyN(io.Discard, in.R, int64(n)); err != nil {
			return status, answers, err
		}
		answers++
	}
}

// Result is what a load saw.
type Result struct {
	Requests    int
	Statuses    map[int]int
	P50, P99    time.Duration
	Lost        []string // had not one whole answer
	MaxAttempts int      // attempts of one request, as the boxes counted
}

// End ends the load, waits for what is open, and returns what was seen.
func (l *Load) Stop() Result {
	close(l.quit)
	l.clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.durations)
	r := Result{Requests: int(l.requests.Load()), Statuses: l.statuses, Lost: l.lost}
	if n := len(l.durations); n > 0 {
		r.P50, r.P99 = l.durations[n/2], l.durations[n*99/100]
	}
	tries := map[string]int{}
	for _, b := range l.cluster.Servers {
		for id, n := range b.Attempts() {
			tries[id] += n
		}
	}
	for _, n := range tries {
		r.MaxAttempts = max(r.MaxAttempts, n)
	}
	return r
}

// Check returns what breaks a rule of requests: each one answer, in time, six attempts
// at the most, and served unless the list had nothing to serve it with.
func (r Result) Check(served float64) error {
	switch ok := r.Statuses[200]; {
	case len(r.Lost) > 0:
		return fmt.Errorf("%d of %d requests without one whole answer: %s", len(r.Lost), r.Requests, strings.Join(r.Lost[:min(3, len(r.Lost))], "; "))
	case r.MaxAttempts > 6:
		return fmt.Errorf("%d attempts of one request", r.MaxAttempts)
	case float64(ok) < served*float64(r.Requests):
		return fmt.Errorf("%d of %d served: %v", ok, r.Requests, r.Statuses)
	}
	return nil
}
