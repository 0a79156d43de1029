// Package clock is the program's one source of time: Unix milliseconds as a
// float64. The decision module counts in time.Duration; Duration and Millis
// convert at its edge.
package clock

import (
	"math"
	"sync"
	"time"

	sys "golang.org/x/sys/unix"

	"garnetline/internal/failpoint"
)

// Clock tells the time.
type Clock interface {
	Now() float64 // Unix milliseconds
}

// System follows the system's clock as it stood at the start, and from there
// the monotonic one, so that a step of the wall clock moves no deadline.
type System struct {
	start     time.Time
	startUnix float64 // what the wall clock said then
}

// NewSystem returns a clock that starts now.
func NewSystem() System { return System{time.Now(), unixMillis(failpoint.Wall())} }

// Now returns the time in Unix milliseconds.
func (s System) Now() float64 {
	return s.startUnix + float64(time.Since(s.start))/float64(time.Millisecond)
}

// stepRounding is to what a step is rounded: without one it is none at all, and what others
// wrote at one moment stays at one moment.
const stepRounding = 20.0

// WallClockStep is by how much the wall clock has been set since the clock's start.
func (s System) WallClockStep() float64 {
	return math.Round((unixMillis(failpoint.Wall())-s.Now())/stepRounding) * stepRounding
}

func unixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }

// WallClockStep is by how many milliseconds the machine's wall clock has been set since a clock's
// start: a time that somebody else took from the wall clock is that much later than by c.
//
// Symptom guarded against: a wall clock that was set back by some seconds made every purge
// look long past, and old copies were served as if there had been none.
func WallClockStep(c Clock) float64 {
	if s, ok := c.(wallClockStepper); ok {
		return s.WallClockStep()
	}
	return 0
}

// wallClockStepper is a clock that knows by how much the wall clock has been set.
type wallClockStepper interface{ WallClockStep() float64 }

// Boot counts milliseconds since the machine's start, suspended time among them: a lease
// must not be longer for a machine that slept through a part of it. Where there is no such
// clock it is the monotonic one, which stands still while the machine is suspended; what a
// holder then writes after its waking is held back by tokens alone.
type Boot struct{ start time.Time }

// NewBoot returns the boot clock.
func NewBoot() Boot { return Boot{time.Now()} }

// Now returns the time in milliseconds, from no particular start.
func (b Boot) Now() float64 {
	var t sys.Timespec
	if sys.ClockGettime(sys.CLOCK_BOOTTIME, &t) == nil {
		return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
	}
	return float64(time.Since(b.start)) / float64(time.Millisecond)
}

// Manual is a clock that tests set.
type Manual struct {
	mu   sync.Mutex
	now  float64
	step float64
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

// StepWallClock sets the wall clock by so many ms; the clock itself goes on.
func (m *Manual) StepWallClock(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step += ms
}

// WallClockStep is by how much the wall clock was set.
func (m *Manual) WallClockStep() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step
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
