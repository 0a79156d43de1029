package clock

import "sync"

// Manual is a clock for tests. Only Advance changes its time, and only StepWallClock changes its
// wall clock step.
type Manual struct {
	mu   sync.Mutex
	now  float64 // Unix milliseconds
	step float64 // ms by which the wall clock was set forward
}

// NewManual returns a clock that starts at the given time, in Unix milliseconds, with a wall clock
// step of 0.
func NewManual(start float64) *Manual { return &Manual{now: start} }

// Now returns the current time in Unix milliseconds.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by the given number of milliseconds.
func (m *Manual) Advance(milliseconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += milliseconds
}

// StepWallClock sets the wall clock forward by the given number of milliseconds, or back if the
// number is negative. The result of Now does not change.
func (m *Manual) StepWallClock(milliseconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step += milliseconds
}

// WallClockStep returns the sum of all steps that StepWallClock has made, in milliseconds.
func (m *Manual) WallClockStep() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step
}
