package testcluster

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lostSamples is how many lost requests the error of Result.Check names.
const lostSamples = 3

// Result is what the clients of a Load saw.
type Result struct {
	Requests    int
	Statuses    map[int]int // number of answers by status
	P50, P99    time.Duration
	Lost        []string // requests without one whole answer
	MaxAttempts int      // greatest number of attempts of one request, as the servers counted
}

// Check returns an error if a request had not just one whole answer, if one had more attempts
// than the platform allows, or if less than a share of the requests, from 0 to 1, was served.
func (r Result) Check(servedShare float64) error {
	served := r.Statuses[http.StatusOK]
	switch {
	case len(r.Lost) > 0:
		samples := r.Lost[:min(lostSamples, len(r.Lost))]
		return fmt.Errorf("%d of %d requests without one whole answer: %s", len(r.Lost), r.Requests, strings.Join(samples, "; "))
	case r.MaxAttempts > maxAttempts:
		return fmt.Errorf("%d attempts of one request, more than %d", r.MaxAttempts, maxAttempts)
	case float64(served) < servedShare*float64(r.Requests):
		return fmt.Errorf("%d of %d requests served: %v", served, r.Requests, r.Statuses)
	}
	return nil
}
