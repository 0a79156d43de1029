// Package clock is the program's only source of time. A time is a float64 in Unix milliseconds.
// The routing module uses time.Duration instead; Duration and Millis convert between the two.
//
// All clocks are safe for concurrent use.
package clock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"garnetline/internal/failpoint"
)

// Clock returns the current time.
type Clock interface {
	Now() float64 // Unix milliseconds
}

// System is a clock that reads the wall clock once, when it is created, and afterwards follows
// the monotonic clock, so that a step of the wall clock does not move deadlines.
type System struct {
	start     time.Time
	startUnix float64 // wall clock at start, Unix ms
}

// NewSystem returns a clock that starts now.
func NewSystem() System {
	return System{start: time.Now(), startUnix: unixMillis(failpoint.WallClock())}
}

// Now returns the time in Unix milliseconds.
func (s System) Now() float64 {
	return s.startUnix + Millis(time.Since(s.start))
}

// stepRounding is the multiple, in ms, to which a step of the wall clock is rounded. Rounding
// makes the result exactly 0 if there was no step, so that equal times from other machines are
// still equal after their conversion.
const stepRounding = 20.0

// WallClockStep returns by how many milliseconds the wall clock has been set forward since s was
// created. The result is negative if the wall clock was set back.
func (s System) WallClockStep() float64 {
	difference := unixMillis(failpoint.WallClock()) - s.Now()
	return math.Round(difference/stepRounding) * stepRounding
}

func unixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }

// WallClockStep returns by how many milliseconds the machine's wall clock has been set forward
// since c was created, or 0 if c does not track the wall clock. To convert a time that another
// machine read from its wall clock to the time of c, subtract the step.
//
// Without this conversion, setting the wall clock back by some seconds makes every purge look
// long past, so that the router serves old copies as if there had been no purge.
func WallClockStep(c Clock) float64 {
	if stepper, ok := c.(wallClockStepper); ok {
		return stepper.WallClockStep()
	}
	return 0
}

// wallClockStepper is a clock that tracks steps of the wall clock.
type wallClockStepper interface{ WallClockStep() float64 }

// Boot is a clock that counts milliseconds since the machine booted, including the time that the
// machine was suspended. Leases are measured with it, because a lease must not last longer on a
// machine that was suspended during a part of it.
//
// If the system has no such clock, Boot follows the monotonic clock, which stops while the
// machine is suspended. Then only the fencing token stops a lease holder whose lease expired
// during a suspension.
type Boot struct{ start time.Time }

// NewBoot returns a Boot clock.
func NewBoot() Boot { return Boot{time.Now()} }

// Now returns the milliseconds since a moment that is the same for the whole process.
func (b Boot) Now() float64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Millis(time.Since(b.start))
	}
	return float64(now.Sec)*1000 + float64(now.Nsec)/1e6
}

// Duration converts milliseconds to a time.Duration. A value outside the range of time.Duration
// becomes the nearest limit of the range, and NaN becomes 0.
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

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
