package analysis

import "math"

// normalQuantile is the 97.5% quantile of the standard normal distribution, for two-sided
// intervals at 95% confidence.
const normalQuantile = 1.959964

// differenceInterval returns Newcombe's 95% confidence interval of rate1 - rate2. It combines the
// Wilson intervals of the two rates, which must come from independent observations.
func differenceInterval(rate1, observations1, rate2, observations2 float64) (low, high float64) {
	low1, high1 := wilsonInterval(rate1, observations1)
	low2, high2 := wilsonInterval(rate2, observations2)
	difference := rate1 - rate2
	low = difference - math.Sqrt((rate1-low1)*(rate1-low1)+(high2-rate2)*(high2-rate2))
	high = difference + math.Sqrt((high1-rate1)*(high1-rate1)+(rate2-low2)*(rate2-low2))
	return low, high
}

// wilsonInterval returns the Wilson score interval, at 95% confidence, for a rate from 0 to 1 in
// the given number of observations.
func wilsonInterval(rate, observations float64) (low, high float64) {
	const z = normalQuantile
	center := rate + z*z/(2*observations)
	halfWidth := z * math.Sqrt(rate*(1-rate)/observations+z*z/(4*observations*observations))
	scale := 1 + z*z/observations
	return max(0, (center-halfWidth)/scale), min(1, (center+halfWidth)/scale)
}
