package experiment

import "math"

// Quantile returns the quantile q, from 0 to 1, of sorted values. It returns NaN if there are no
// values.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
