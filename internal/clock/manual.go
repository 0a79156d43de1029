package clock

import "sync"

// Manual is a clock for tests. Its time changes only by Advance, and its wall clock step only by
// StepWallClock.
type Manual struct {
	mu   sync.Mutex
	now  float64 // Unix milliseconds
	step float64 // ms by which the wall clock was moved forward
}

// NewManual returns a clock whose time is now, in Unix milliseconds, and whose wall clock step is 0.
func NewManual(now float64) *Manual { return &Manual{now: now} }

// Now returns the current time in Unix milliseconds.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by ms milliseconds.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += ms
}

// StepWallClock moves the wall clock forward by ms milliseconds, or back if ms is negative. The
// result of Now does not change.
func (m *Manual) StepWallClock(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step += ms
}

// WallClockStep returns the sum of the steps by StepWallClock, in milliseconds.
func (m *Manual) WallClockStep() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step
}
