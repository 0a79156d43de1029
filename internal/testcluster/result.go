package testcluster

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lostSamples is the maximum number of lost requests that an error of Result.Check lists.
const lostSamples = 3

// Result is what the clients of a Load observed.
type Result struct {
	Requests    int
	Statuses    map[int]int // number of answers by status
	P50, P99    time.Duration
	Lost        []string // requests without exactly one complete answer
	MaxAttempts int      // greatest number of attempts that the servers counted for one request
}

// Check returns an error if a request did not get exactly one complete answer, if a request had
// more attempts than the platform allows, or if the share of requests with status 200 is less than
// servedShare, which is from 0 to 1.
func (r Result) Check(servedShare float64) error {
	served := r.Statuses[http.StatusOK]
	switch {
	case len(r.Lost) > 0:
		samples := r.Lost[:min(lostSamples, len(r.Lost))]
		return fmt.Errorf("%d of %d requests did not get exactly one complete answer: %s", len(r.Lost), r.Requests, strings.Join(samples, "; "))
	case r.MaxAttempts > maxAttempts:
		return fmt.Errorf("got %d attempts of one request, want at most %d", r.MaxAttempts, maxAttempts)
	case float64(served) < servedShare*float64(r.Requests):
		return fmt.Errorf("only %d of %d requests served; number of answers by status: %v", served, r.Requests, r.Statuses)
	}
	return nil
}
