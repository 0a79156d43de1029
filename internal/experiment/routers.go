package experiment

import "garnetline/internal/fleet/membership"

// Streams of random numbers, so that runs of two experiments with one seed draw different
// numbers. Another stream changes all results.
const (
	allPairsStream      = 1
	registryStream      = 11
	loadReportingStream = 21
	handoverStream      = 77
)

// requestIDShift leaves each router 2^40 request IDs of its own.
const requestIDShift = 40

// firstRequestID returns the number above which the request IDs of the router of an index are.
func firstRequestID(index int) uint64 { return uint64(index) << requestIDShift }

// numberedRouters returns the IDs of n routers: 1 to n.
func numberedRouters(n int) []membership.ID {
	var ids []membership.ID
	for index := range n {
		ids = append(ids, membership.ID(index+1))
	}
	return ids
}
