// Package metrics counts what the program takes in, sends and answers. The counters are
// written to the log as one event, and some of them are on the page /metrics.
//
// A Registry owns its counters; all of its methods may be called from any goroutine.
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

// Counter returns the counter of a name, and makes it at its first use. Names must come from
// the program alone, never from a peer, so that the set stays small.
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

// Add adds n to the counter of a name.
func (r *Registry) Add(name string, n int64) { r.Counter(name).Add(n) }

// Snapshot returns the values of all counters by name.
func (r *Registry) Snapshot() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := make(map[string]int64, len(r.counters))
	for name, counter := range r.counters {
		values[name] = counter.Load()
	}
	return values
}
