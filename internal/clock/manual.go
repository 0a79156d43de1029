package clock

import "sync"

// Manual is a clock for tests, which set its time. It starts without a step of the wall clock.
type Manual struct {
	mu   sync.Mutex
	now  float64 // Unix milliseconds
	step float64 // ms by which the wall clock was set
}

// NewManual returns a clock that stands at now, in Unix milliseconds.
func NewManual(now float64) *Manual { return &Manual{now: now} }

// Now returns the time that was set.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by ms.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += ms
}

// StepWallClock sets the wall clock forward by ms, or back where ms is negative. The clock
// itself does not move.
func (m *Manual) StepWallClock(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step += ms
}

// WallClockStep returns the sum of the steps that were set.
func (m *Manual) WallClockStep() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step
}
