package testcluster

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lostSamples is the maximum number of lost requests that an error of Result.Check lists.
const lostSamples = 3

// Result holds the observations of the clients of a Load.
type Result struct {
	Requests    int
	Statuses    map[int]int // number of answers by status
	P50, P99    time.Duration
	Lost        []string // requests without exactly one complete answer
	MaxAttempts int      // greatest number of attempts that the servers counted for one request
}

// Check returns an error if a request did not get exactly one complete answer, or if a request had
// more attempts than the platform allows. It also returns an error if the share of requests with
// status 200 is less than servedShare, a fraction from 0 to 1.
func (r Result) Check(servedShare float64) error {
	served := r.Statuses[http.StatusOK]
	switch {
	case len(r.Lost) > 0:
		samples := r.Lost[:min(lostSamples, len(r.Lost))]
		return fmt.Errorf("%d of %d requests did not get exactly one complete answer: %s", len(r.Lost), r.Requests, strings.Join(samples, "; "))
	case r.MaxAttempts > maxAttempts:
		return fmt.Errorf("got %d attempts for one request, want at most %d", r.MaxAttempts, maxAttempts)
	case float64(served) < servedShare*float64(r.Requests):
		return fmt.Errorf("%d of %d requests got status 200, want a share of at least %v; number of answers by status: %v",
			served, r.Requests, servedShare, r.Statuses)
	}
	return nil
}
