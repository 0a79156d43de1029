// Package metrics holds the program's counters, such as those of requests, attempts and
// responses. The program writes all counters to the log as one event, and the HTTP path /metrics
// shows some of them.
//
// A Registry owns its counters. All of its methods are safe for concurrent use.
package metrics

import (
	"sync"
	"sync/atomic"
)

// Registry is a set of named counters.
type Registry struct {
	mu       sync.Mutex
	counters map[string]*atomic.Int64
}

// New returns a registry without counters.
func New() *Registry {
	return &Registry{counters: map[string]*atomic.Int64{}}
}

// Counter returns the counter with the given name and creates it on first use. The program must
// choose the names, never a peer: a counter is never removed, so names from a peer could make the set
// grow without limit.
func (r *Registry) Counter(name string) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counter := r.counters[name]
	if counter == nil {
		counter = new(atomic.Int64)
		r.counters[name] = counter
	}
	return counter
}

// Add adds n to the counter with the given name.
func (r *Registry) Add(name string, n int64) { r.Counter(name).Add(n) }

// Snapshot returns the current values of all counters, keyed by name.
func (r *Registry) Snapshot() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := make(map[string]int64, len(r.counters))
	for name, counter := range r.counters {
		values[name] = counter.Load()
	}
	return values
}
