// Package bodies decides what is kept of request bodies for a further attempt: in
// memory, in files, or not at all. It does no I/O and has no clock; times are Unix
// milliseconds that the caller gives.
//
// A body that is not kept whole from its first byte on can be sent once. So what is
// decided here bounds what may be repeated, and it is decided before the first byte
// leaves: see Body.Repeatable.
package bodies

import (
	"errors"
	"fmt"
	"math"
)

// Budget bounds what is kept of all bodies together.
type Budget struct {
	MemoryBytes        int64   // bytes
	DiskBytes          int64   // bytes in files
	DiskBodies         int64   // bodies that are in files
	DiskBytesPerSecond float64 // bytes a second that may be written to files; 0: none
}

// Class says what is kept of the bodies of one class. Sizes are in bytes, and a body
// is kept in memory up to Memory, in files up to Disk, passed through and not kept up
// to Most, and refused beyond that.
type Class struct {
	Name               string
	MaxMemoryBytes     int64
	MaxDiskBytes       int64
	MaxBytes           int64
	PriorityWeight     float64 // against other classes, where the budget is short
	GuaranteedFraction float64 // part of each budget that no other class can use
}

// check tells whether classes can share a budget. An error names class and field.
func validateClasses(classes []Class) error {
	sum := 0.0
	seen := map[string]bool{}
	for _, c := range classes {
		switch {
		case c.Name == "" || seen[c.Name]:
			return fmt.Errorf("class %q: named twice, or not at all", c.Name)
		case c.MaxMemoryBytes < 0 || c.MaxDiskBytes < 0 || c.MaxBytes < 0 || c.MaxBytes < c.MaxMemoryBytes || c.MaxBytes < c.MaxDiskBytes:
			return fmt.Errorf("class %q: most: want no less than memory and disk", c.Name)
		case !(c.PriorityWeight > 0) || math.IsInf(c.PriorityWeight, 0):
			return fmt.Errorf("class %q: worth: want more than 0", c.Name)
		case !(c.GuaranteedFraction >= 0 && c.GuaranteedFraction <= 1):
			return fmt.Errorf("class %q: guarantee: want 0 to 1", c.Name)
		}
		seen[c.Name], sum = true, sum+c.GuaranteedFraction
	}
	if sum > 1+1e-9 {
		return errors.New("guarantee: all classes together have more than 1")
	}
	return nil
}

// share is one budget, of bytes or files, divided among classes. Each has its
// guaranteed part. What is guaranteed to nobody is lent: to the class of the highest
// worth up to the last byte, to others only while less of it is lent, so that what is
// worth most finds room when all want it (the trunk reservation of telephone networks).
type quota struct {
	total               int64
	guaranteedFractions []float64 // guaranteed, by class
	borrowableFractions []float64 // of what is lent, by class: 1 for the highest worth
	used                []int64
	borrowed            int64
}

func newQuota(classes []Class) quota {
	s := quota{guaranteedFractions: make([]float64, len(classes)), borrowableFractions: make([]float64, len(classes)), used: make([]int64, len(classes))}
	return s.resized(0, classes)
}

// adopt goes over to another total. What is used stays: nothing new is let in until it
// fits.
func (s quota) resized(total int64, classes []Class) quota {
	sum := 0.0
	for _, c := range classes {
		sum += c.PriorityWeight
	}
	s.total, s.borrowed = total, 0
	for i, c := range classes {
		below := 0.0
		for _, d := range classes {
			if d.PriorityWeight <= c.PriorityWeight {
				below += d.PriorityWeight
			}
		}
		s.guaranteedFractions[i], s.borrowableFractions[i] = c.GuaranteedFraction, below/sum
		s.borrowed += s.borrowedOf(i, s.used[i])
	}
	return s
}

// own is what is guaranteed to a class.
func (s *quota) guaranteed(class int) int64 {
	return int64(float64(s.total) * s.guaranteedFractions[class])
}

// over is what of n used by a class is lent to it.
func (s *quota) borrowedOf(class int, n int64) int64 { return max(0, n-s.guaranteed(class)) }

// pool is what is guaranteed to nobody.
func (s *quota) borrowable() int64 {
	left := s.total
	for i := range s.guaranteedFractions {
		left -= s.guaranteed(i)
	}
	return max(left, 0)
}

// take books n more for a class, or tells that there is no room. After a total that
// shrank there is none for anybody, guaranteed or not, until what is used fits it.
func (s *quota) reserve(class int, n int64) bool {
	all := n
	for _, u := range s.used {
		all += u
	}
	if all > s.total {
		return false
	}
	more := s.borrowedOf(class, s.used[class]+n) - s.borrowedOf(class, s.used[class])
	if more > 0 && float64(s.borrowed+more) > float64(s.borrowable())*s.borrowableFractions[class] {
		return false
	}
	s.used[class] += n
	s.borrowed += more
	return true
}

// give gives n back.
func (s *quota) release(class int, n int64) {
	s.borrowed -= s.borrowedOf(class, s.used[class]) - s.borrowedOf(class, s.used[class]-n)
	s.used[class] -= n
}

// bucket bounds a rate: what was not used in the last second may be used at once.
type tokenBucket struct {
	rate, tokens, updatedAt float64
}

// take takes n at a time, or tells that it would be too much.
func (b *tokenBucket) take(now, n float64) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*max(0, now-b.updatedAt)/1000)
	b.updatedAt = max(b.updatedAt, now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}
