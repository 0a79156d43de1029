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
	Memory int64   // bytes
	Disk   int64   // bytes in files
	Files  int64   // bodies that are in files
	Write  float64 // bytes a second that may be written to files; 0: none
}

// Class says what is kept of the bodies of one class. Sizes are in bytes, and a body
// is kept in memory up to Memory, in files up to Disk, passed through and not kept up
// to Most, and refused beyond that.
type Class struct {
	Name      string
	Memory    int64
	Disk      int64
	Most      int64
	Worth     float64 // against other classes, where the budget is short
	Guarantee float64 // part of each budget that no other class can use
}

// check tells whether classes can share a budget. An error names class and field.
func check(classes []Class) error {
	sum := 0.0
	seen := map[string]bool{}
	for _, c := range classes {
		switch {
		case c.Name == "" || seen[c.Name]:
			return fmt.Errorf("class %q: named twice, or not at all", c.Name)
		case c.Memory < 0 || c.Disk < 0 || c.Most < 0 || c.Most < c.Memory || c.Most < c.Disk:
			return fmt.Errorf("class %q: most: want no less than memory and disk", c.Name)
		case !(c.Worth > 0) || math.IsInf(c.Worth, 0):
			return fmt.Errorf("class %q: worth: want more than 0", c.Name)
		case !(c.Guarantee >= 0 && c.Guarantee <= 1):
			return fmt.Errorf("class %q: guarantee: want 0 to 1", c.Name)
		}
		seen[c.Name], sum = true, sum+c.Guarantee
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
type share struct {
	total int64
	part  []float64 // guaranteed, by class
	upTo  []float64 // of what is lent, by class: 1 for the highest worth
	used  []int64
	lent  int64
}

func newShare(classes []Class) share {
	s := share{part: make([]float64, len(classes)), upTo: make([]float64, len(classes)), used: make([]int64, len(classes))}
	return s.adopt(0, classes)
}

// adopt goes over to another total. What is used stays: nothing new is let in until it
// fits.
func (s share) adopt(total int64, classes []Class) share {
	sum := 0.0
	for _, c := range classes {
		sum += c.Worth
	}
	s.total, s.lent = total, 0
	for i, c := range classes {
		below := 0.0
		for _, d := range classes {
			if d.Worth <= c.Worth {
				below += d.Worth
			}
		}
		s.part[i], s.upTo[i] = c.Guarantee, below/sum
		s.lent += s.over(i, s.used[i])
	}
	return s
}

// own is what is guaranteed to a class.
func (s *share) own(class int) int64 { return int64(float64(s.total) * s.part[class]) }

// over is what of n used by a class is lent to it.
func (s *share) over(class int, n int64) int64 { return max(0, n-s.own(class)) }

// pool is what is guaranteed to nobody.
func (s *share) pool() int64 {
	left := s.total
	for i := range s.part {
		left -= s.own(i)
	}
	return max(left, 0)
}

// take books n more for a class, or tells that there is no room. After a total that
// shrank there is none for anybody, guaranteed or not, until what is used fits it.
func (s *share) take(class int, n int64) bool {
	all := n
	for _, u := range s.used {
		all += u
	}
	if all > s.total {
		return false
	}
	more := s.over(class, s.used[class]+n) - s.over(class, s.used[class])
	if more > 0 && float64(s.lent+more) > float64(s.pool())*s.upTo[class] {
		return false
	}
	s.used[class] += n
	s.lent += more
	return true
}

// give gives n back.
func (s *share) give(class int, n int64) {
	s.lent -= s.over(class, s.used[class]) - s.over(class, s.used[class]-n)
	s.used[class] -= n
}

// bucket bounds a rate: what was not used in the last second may be used at once.
type bucket struct {
	rate, left, at float64
}

// take takes n at a time, or tells that it would be too much.
func (b *bucket) take(now, n float64) bool {
	b.left = min(b.rate, b.left+b.rate*max(0, now-b.at)/1000)
	b.at = max(b.at, now)
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}
