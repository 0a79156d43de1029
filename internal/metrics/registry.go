// Package stats counts what the program takes in, sends and answers.
package metrics

import (
	"sync"
	"sync/atomic"
)

// Registry is a set of named counters. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	counters map[string]*atomic.Int64
}

// New returns an empty set.
func New() *Registry { return &Registry{counters: map[string]*atomic.Int64{}} }

// Counter returns the counter of a name, made at its first use. Names come
// from the program alone, never from a peer: the set stays small.
func (s *Registry) Counter(name string) *atomic.Int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters[name]
	if c == nil {
		c = new(atomic.Int64)
		s.counters[name] = c
	}
	return c
}

// Add adds n to a counter.
func (s *Registry) Add(name string, n int64) { s.Counter(name).Add(n) }

// Snapshot returns the counters as they stand, by name.
func (s *Registry) Snapshot() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int64, len(s.counters))
	for n, c := range s.counters {
		all[n] = c.Load()
	}
	return all
}
