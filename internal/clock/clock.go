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

// System is a clock that reads the wall clock once, when it is created. Afterwards it follows the
// monotonic clock, so that a step of the wall clock does not move deadlines.
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

// stepRounding is a number of milliseconds. WallClockStep rounds a step to a multiple of it. Even
// if the wall clock was not set, its readings and those of the monotonic clock differ slightly,
// and by a different amount each time. Rounding makes the step exactly 0 in that case. Two equal
// times from other machines are therefore still equal after the step has been subtracted from each
// of them.
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
// For example, a purge carries the time of another machine. If this machine's wall clock is some
// seconds ahead and is set back, the time of c does not follow, but stays ahead of the other machines.
// Without the conversion, every purge would appear to have happened some seconds before it did, and
// the router would serve copies from before the purge.
func WallClockStep(c Clock) float64 {
	if stepper, ok := c.(wallClockStepper); ok {
		return stepper.WallClockStep()
	}
	return 0
}

// wallClockStepper is a clock that tracks steps of the wall clock.
type wallClockStepper interface{ WallClockStep() float64 }

// Boot is a clock that counts milliseconds since the machine booted, including the time that the
// machine was suspended. Leases are measured with a Boot clock, because a lease must also expire
// while the machine of its holder is suspended.
//
// If the operating system has no clock of this kind, Boot follows the monotonic clock, which stops
// while the machine is suspended. If a lease expires during a suspension, only the fencing token
// then stops the lease holder.
type Boot struct{ start time.Time }

// NewBoot returns a Boot clock.
func NewBoot() Boot { return Boot{time.Now()} }

// Now returns the milliseconds since the machine booted. If the operating system cannot tell this
// time, Now returns the milliseconds since b was created.
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
