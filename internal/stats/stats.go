// Package stats counts what the program takes in, sends and answers.
package stats

import (
	"fmt"
	"io"
	"slices"
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

// Print writes a line for each counter, by name.
func (s *Set) Print(w io.Writer) {
	s.mu.Lock()
	names := make([]string, 0, len(s.by))
	for n := range s.by {
		names = append(names, n)
	}
	s.mu.Unlock()
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(w, "%s %d\n", n, s.Counter(n).Load())
	}
}
