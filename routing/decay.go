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

// add decays the sum with the given time constant, adds the given amount and returns the new sum.
func (s *decayingSum) add(now, timeConstant time.Duration, amount float64) float64 {
	s.value = s.value*decay(now-s.updatedAt, timeConstant) + amount
	s.updatedAt = now
	return s.value
}

// decayingRatio is a smoothed ratio of 1 or more that returns to 1 while nothing is observed.
type decayingRatio struct {
	updatedAt time.Duration
	excess    float64 // amount by which the ratio exceeds 1, at updatedAt
}

// value returns the ratio at the time now, which must not precede the latest observation.
func (r *decayingRatio) value(now, timeConstant time.Duration) float64 {
	if r.excess == 0 {
		return 1 // the expression below is also 1, but would needlessly compute an exponential
	}
	return 1 + r.excess*decay(now-r.updatedAt, timeConstant)
}

// observe moves the ratio towards an observation. gain is the fraction of the difference between the ratio
// and the observation by which the ratio moves.
func (r *decayingRatio) observe(now, timeConstant time.Duration, gain, observation float64) {
	value := r.value(now, timeConstant)
	r.updatedAt = now
	r.excess = max(0, value+(observation-value)*gain-1)
}

// decay returns the fraction of an exponentially decaying quantity that is left after the elapsed time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
