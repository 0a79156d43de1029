package routing

import (
	"slices"
	"time"
)

// recordSentWork books work sent to a server; what one that restarted gets unlisted counts.
func (r *Router) recordSentWork(s *server, work float64) {
	s.recentWork = slices.DeleteFunc(s.recentWork, func(c decayingSum) bool { return c.updatedAt <= r.now-r.slowStarts[s.role].OverloadWindow })
	s.recentWork = append(s.recentWork, decayingSum{r.now, work})
}

// recordThroughput books work that s served; what it ends after it left says nothing of the rest.
func (r *Router) recordThroughput(s *server, work float64) {
	if s.ready {
		sum := r.throughput[s.role].add(r.now, throughputTimeConstant, work/throughputTimeConstant.Seconds())
		r.peakThroughput[s.role] = max(r.peakThroughput[s.role], sum/r.totalWeight[s.role])
	}
}

// recordErrorRates books with both that had a part in an attempt whether it failed.
func (r *Router) recordErrorRates(a *attempt, failed bool) {
	for _, s := range []*server{a.target, a.source} {
		gain := min(errorRateGain, (r.now - s.errorRateUpdatedAt).Seconds()) // what fails at once has one cause
		if s.errorRate, s.errorRateUpdatedAt = s.errorRate*(1-gain), r.now; failed && !r.cacheStatusKnown {
			s.errorRate = min(errorRateCap, s.errorRate+gain)
		}
	}
}

// hasSize tells whether a request came with its size.
func (r *Router) hasSize(q *request) bool { return q.SizeKB > 0 && r.settings.TransferKBPerSecond > 0 }

// transferTime is work as a duration.
func (r *Router) transferTime(q *request) time.Duration {
	w, _ := r.transferSeconds(q)
	return secondsToDuration(w)
}

// transferSeconds is the sending time of a request in seconds: from its size, or else the
// least that its part ever took, or the mean of its class.
func (r *Router) transferSeconds(q *request) (seconds float64, known bool) {
	if r.hasSize(q) {
		return q.SizeKB / r.settings.TransferKBPerSecond, true
	}
	if x, ok := r.transferTimes.get(q.chunkKey()); ok {
		return x, true
	}
	return *q.meanTransferTime, false
}
