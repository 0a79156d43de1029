package clock

import (
	"math"
	"testing"
	"time"
)

// TestConversions checks the conversions between milliseconds and durations. A value outside the
// range of a duration must become the nearest limit of the range. The test also checks that the
// clocks return the expected times.
func TestConversions(t *testing.T) {
	for ms, want := range map[float64]time.Duration{0: 0, 1.5: 1500 * time.Microsecond, -2: -2 * time.Millisecond,
		1e300: math.MaxInt64, math.Inf(-1): math.MinInt64} {
		if got := Duration(ms); got != want {
			t.Errorf("Duration(%v): got %v, want %v", ms, got, want)
		}
	}
	if got := Duration(math.NaN()); got != 0 {
		t.Errorf("Duration(NaN): got %v, want 0", got)
	}
	if got := Millis(1500 * time.Microsecond); got != 1.5 {
		t.Errorf("Millis(1.5ms): got %v, want 1.5", got)
	}
	manual := NewManual(10)
	manual.Advance(2.5)
	if manual.Now() != 12.5 {
		t.Errorf("manual clock: got time %v, want 12.5", manual.Now())
	}
	system := NewSystem()
	if first, second := system.Now(), system.Now(); second < first || math.Abs(first-float64(time.Now().UnixMilli())) > 60_000 {
		t.Errorf("system clock: got %v and then %v, want ascending times within a minute of the wall clock", first, second)
	}
}

// TestWallClockStep checks that WallClockStep returns a step in either direction, and exactly 0 if
// the wall clock was not set. Without rounding, the result would not be exactly 0, because the
// readings of the wall clock and the monotonic clock differ slightly.
func TestWallClockStep(t *testing.T) {
	system := NewSystem()
	if got := WallClockStep(system); got != 0 {
		t.Errorf("without a step: got %v ms, want 0", got)
	}
	system.startUnix -= 3_600_000.4 // has the same effect as setting the wall clock forward by that much
	if got := WallClockStep(system); got != 3_600_000 {
		t.Errorf("wall clock set forward by an hour: got step %v ms, want 3600000", got)
	}
	manual := NewManual(5)
	if manual.StepWallClock(-30); WallClockStep(manual) != -30 || manual.Now() != 5 {
		t.Errorf("wall clock set back: got step %v and time %v, want -30 and 5", WallClockStep(manual), manual.Now())
	}
}
