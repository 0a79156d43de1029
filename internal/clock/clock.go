// Package clock is the program's one source of time. Times are Unix milliseconds as a
// float64; the decision module counts in time.Duration, and Duration and Millis convert at
// its edge.
//
// Clocks own nothing but their own start. All of them may be used from any goroutine.
package clock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"garnetline/internal/failpoint"
)

// Clock tells the time.
type Clock interface {
	Now() float64 // Unix milliseconds
}

// System reads the wall clock once, when it is made, and from then on follows the monotonic
// clock, so that a step of the wall clock moves no deadline.
type System struct {
	start     time.Time
	startUnix float64 // ms, the wall clock at start
}

// NewSystem returns a clock that starts now.
func NewSystem() System {
	return System{start: time.Now(), startUnix: unixMillis(failpoint.WallClock())}
}

// Now returns the time in Unix milliseconds.
func (s System) Now() float64 {
	return s.startUnix + Millis(time.Since(s.start))
}

// stepRounding is the unit, in ms, to which a step of the wall clock is rounded. Without a
// step the result is exactly 0, so that equal times of others stay equal when converted.
const stepRounding = 20.0

// WallClockStep returns by how many milliseconds the wall clock has been set forward since the
// clock's start; a negative number says that it was set back.
func (s System) WallClockStep() float64 {
	difference := unixMillis(failpoint.WallClock()) - s.Now()
	return math.Round(difference/stepRounding) * stepRounding
}

func unixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }

// WallClockStep returns by how many milliseconds the machine's wall clock has been set forward
// since the start of c: a time that another machine read from its wall clock is that much
// later than the same time by c. It is 0 for clocks that know no wall clock.
//
// Symptom guarded against: a wall clock that was set back by some seconds made every purge
// look long past, and old copies were served as if there had been none.
func WallClockStep(c Clock) float64 {
	if stepper, ok := c.(wallClockStepper); ok {
		return stepper.WallClockStep()
	}
	return 0
}

// wallClockStepper is a clock that knows by how much the wall clock has been set.
type wallClockStepper interface{ WallClockStep() float64 }

// Boot counts milliseconds since the machine's start, the time in which it was suspended
// included: a lease must not last longer on a machine that slept through a part of it.
//
// Where the system has no such clock, Boot follows the monotonic one, which stands still
// while the machine is suspended. A lease holder that wakes up then is held back by its
// fencing token alone.
type Boot struct{ start time.Time }

// NewBoot returns the boot clock.
func NewBoot() Boot { return Boot{time.Now()} }

// Now returns the time in milliseconds since a moment that is the same for the whole process.
func (b Boot) Now() float64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Millis(time.Since(b.start))
	}
	return float64(now.Sec)*1000 + float64(now.Nsec)/1e6
}

// Duration converts milliseconds to a duration. Values beyond its range become the nearest
// end of it, and NaN becomes 0.
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

// Millis converts a duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
