package experiment

import "math"

// Quantile returns the quantile q of values in ascending order. q is from 0 to 1. Quantile returns NaN
// if there are no values.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
