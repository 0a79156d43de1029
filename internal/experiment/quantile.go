package experiment

import "math"

// Quantile returns the q-th quantile of sorted values, for q from 0 to 1. It is NaN if there
// are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
