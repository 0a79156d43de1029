package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	repeaterInterval = 50 * time.Millisecond
	repeatDelay      = 400 * time.Millisecond // until an id comes again
	shortStay        = 20 * time.Millisecond  // until a client leaves
)

// repeater sends writes, leaves before their responses, and sends the same ids again.
type repeater struct {
	addr    string
	timeout time.Duration
	done    chan struct{}
	ended   chan struct{}

	mu     sync.Mutex
	ids    []string
	leftAt map[string]time.Time // time at which the client of the last request with an id has left
}

func startRepeater(addr string, timeout time.Duration) *repeater {
	started := &repeater{addr: addr, timeout: timeout, done: make(chan struct{}), ended: make(chan struct{}), leftAt: map[string]time.Time{}}
	go started.run()
	return started
}

func (r *repeater) run() {
	defer close(r.ended)
	var clients sync.WaitGroup
	defer clients.Wait()
	ticker := time.NewTicker(repeaterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-ticker.C:
			clients.Go(r.sendTwice)
		}
	}
}

// sendTwice sends a write that no server answers, leaves, and does it again under the same id.
func (r *repeater) sendTwice() {
	asked := request{id: newID(), object: newObject(HangingObject), timeout: r.timeout, body: "once"}
	r.mu.Lock()
	r.ids = append(r.ids, asked.id)
	r.mu.Unlock()
	for range 2 {
		_ = sendAndLeave(r.addr, asked, shortStay) // a process may be down
		r.mu.Lock()
		r.leftAt[asked.id] = time.Now()
		r.mu.Unlock()
		time.Sleep(repeatDelay)
	}
}

// noteKill forgets the ids so far: a process that starts with an empty state directory cannot know them.
func (r *repeater) noteKill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = nil
}

// stop ends the clients and returns the ids that must have been executed once at the most.
func (r *repeater) stop() []string {
	close(r.done)
	<-r.ended
	return r.ids
}

// lateExecutions returns the ids that a server received too long after their client had left for good.
func (r *repeater) lateExecutions(executions map[string][]time.Time) []string {
	var late []string
	for id, left := range r.leftAt {
		for _, at := range executions[id] {
			if delay := at.Sub(left); delay > maxSendDelay {
				late = append(late, fmt.Sprintf("%s after %v", id, delay))
			}
		}
	}
	return late
}
