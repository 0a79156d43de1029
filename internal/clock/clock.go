// Package clock is the program's one source of time: Unix milliseconds as a
// float64. The decision module counts in time.Duration; Duration and Millis
// convert at its edge.
package clock

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time.
type Clock interface {
	Now() float64 // Unix milliseconds
}

// System follows the system's clock as it stood at the start, and from there
// the monotonic one, so that a step of the wall clock moves no deadline.
type System struct{ start time.Time }

// NewSystem returns a clock that starts now.
func NewSystem() System { return System{time.Now()} }

// Now returns the time in Unix milliseconds.
func (s System) Now() float64 {
	return float64(s.start.UnixMicro())/1e3 + float64(time.Since(s.start))/float64(time.Millisecond)
}

// Boot counts milliseconds since the machine's start, suspended time among them: a lease
// must not be longer for a machine that slept through a part of it. Where there is no such
// clock it is the monotonic one, which stands still while the machine is suspended; what a
// holder then writes after its waking is held back by tokens alone.
type Boot struct{ start time.Time }

// NewBoot returns the boot clock.
func NewBoot() Boot { return Boot{time.Now()} }

// Now returns the time in milliseconds, from no particular start.
func (b Boot) Now() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
	}
	return float64(time.Since(b.start)) / float64(time.Millisecond)
}

// Manual is a clock that tests set.
type Manual struct {
	mu  sync.Mutex
	now float64
}

// NewManual returns a clock that stands at now.
func NewManual(now float64) *Manual { return &Manual{now: now} }

// Now returns the time that was set.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock on.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += ms
}

// Duration converts milliseconds. What does not fit is cut to the ends.
func Duration(ms float64) time.Duration {
	ns := ms * float64(time.Millisecond)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(ns)
}

// Millis converts a duration.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
