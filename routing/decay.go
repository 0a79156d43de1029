package routing

import (
	"math"
	"time"
)

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	updatedAt time.Duration
	value     float64
}

// add decays the sum by a time constant, adds amount and returns it.
func (s *decayingSum) add(now, timeConstant time.Duration, amount float64) float64 {
	s.value = s.value*decay(now-s.updatedAt, timeConstant) + amount
	s.updatedAt = now
	return s.value
}

// decayingRatio is a smoothed ratio, 1 or more, that returns to 1 where nothing is observed.
type decayingRatio struct {
	updatedAt time.Duration
	excess    float64 // over 1
}

// value is the ratio at a time that is not before its latest observation.
func (r *decayingRatio) value(now, timeConstant time.Duration) float64 {
	if r.excess == 0 {
		return 1 // as the sum below, without the exponential
	}
	return 1 + r.excess*decay(now-r.updatedAt, timeConstant)
}

// observe moves the ratio by the fraction gain of the way to an observation.
func (r *decayingRatio) observe(now, timeConstant time.Duration, gain, observation float64) {
	value := r.value(now, timeConstant)
	r.updatedAt = now
	r.excess = max(0, value+(observation-value)*gain-1)
}

// decay is the part of a quantity that is left after a time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
