package experiment

import "garnetline/internal/fleet/membership"

// Each experiment has its own stream, the second half of the seed of its random number generator.
// Two experiments with the same seed, which is the first half, thus draw different numbers. A
// change of a stream changes all results of its experiment.
const (
	allPairsStream      = 1
	registryStream      = 11
	loadReportingStream = 21
	handoverStream      = 77
)

// requestIDShift gives each router a range of 2^40 request IDs.
const requestIDShift = 40

// firstRequestID returns the lower bound of the request IDs of the router with the given index. The
// bound itself is not a request ID.
func firstRequestID(index int) uint64 { return uint64(index) << requestIDShift }

// numberedRouters returns the IDs of n routers: 1 to n.
func numberedRouters(n int) []membership.ID {
	var ids []membership.ID
	for index := range n {
		ids = append(ids, membership.ID(index+1))
	}
	return ids
}
