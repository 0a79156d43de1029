// Package stats counts what the program takes in, sends and answers.
package stats

import (
	"sync"
	"sync/atomic"
)

// Set is a set of named counters. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	by map[string]*atomic.Int64
}

// New returns an empty set.
func New() *Set { return &Set{by: map[string]*atomic.Int64{}} }

// Counter returns the counter of a name, made at its first use. Names come
// from the program alone, never from a peer: the set stays small.
func (s *Set) Counter(name string) *atomic.Int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.by[name]
	if c == nil {
		c = new(atomic.Int64)
		s.by[name] = c
	}
	return c
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) { s.Counter(name).Add(n) }

// All returns the counters as they stand, by name.
func (s *Set) All() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int64, len(s.by))
	for n, c := range s.by {
		all[n] = c.Load()
	}
	return all
}
