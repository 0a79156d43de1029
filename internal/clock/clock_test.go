package clock

import (
	"math"
	"testing"
	"time"
)

// Milliseconds and durations convert into one another, and values out of range become the
// nearest end of the range.
func TestConversions(t *testing.T) {
	for ms, want := range map[float64]time.Duration{0: 0, 1.5: 1500 * time.Microsecond, -2: -2 * time.Millisecond,
		1e300: math.MaxInt64, math.Inf(-1): math.MinInt64} {
		if got := Duration(ms); got != want {
			t.Errorf("%v ms became %v, want %v", ms, got, want)
		}
	}
	if got := Duration(math.NaN()); got != 0 {
		t.Errorf("NaN became %v", got)
	}
	if got := Millis(1500 * time.Microsecond); got != 1.5 {
		t.Errorf("1.5 ms became %v", got)
	}
	c := NewManual(10)
	c.Advance(2.5)
	if c.Now() != 12.5 {
		t.Errorf("the clock stands at %v", c.Now())
	}
	s := NewSystem()
	if a, b := s.Now(), s.Now(); b < a || math.Abs(a-float64(time.Now().UnixMilli())) > 60_000 {
		t.Errorf("the system's clock says %v, then %v", a, b)
	}
}

// A wall clock that was not set has no step, though two readings differ a little.
func TestWallClockStep(t *testing.T) {
	s := NewSystem()
	if got := WallClockStep(s); got != 0 {
		t.Errorf("the wall clock seems set by %v ms", got)
	}
	s.startUnix -= 3_600_000.4 // as if it had been set on by so much since
	if got := WallClockStep(s); got != 3_600_000 {
		t.Errorf("set by an hour: %v ms", got)
	}
	m := NewManual(5)
	if m.StepWallClock(-30); WallClockStep(m) != -30 || m.Now() != 5 {
		t.Errorf("set back: step %v, now %v", WallClockStep(m), m.Now())
	}
}
