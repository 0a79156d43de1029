package lease

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/membership"
)

// rendezvousScore orders the candidates of a lease. All versions must compute the same.
func rendezvousScore(name string, id membership.ID) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(id))
	return xxhash.Sum64(append(key[:], name...))
}

// Rank returns a router's place among the candidates of a lease, by rendezvous hashing: the
// same at all routers with the same view, and no third router's coming or going changes the
// order of two. It is -1 if the router is no candidate.
func Rank(name string, self membership.ID, candidates []membership.ID) int {
	if !slices.Contains(candidates, self) {
		return -1
	}
	selfScore, rank := rendezvousScore(name, self), 0
	for _, id := range candidates {
		score := rendezvousScore(name, id)
		if score > selfScore || score == selfScore && id > self {
			rank++
		}
	}
	return rank
}

// TopRanked returns the first n candidates of a lease in the order of their ranks, or all if
// there are fewer.
func TopRanked(name string, candidates []membership.ID, n int) []membership.ID {
	ranked := slices.SortedFunc(slices.Values(candidates), func(a, b membership.ID) int {
		return cmp.Or(cmp.Compare(rendezvousScore(name, b), rendezvousScore(name, a)), cmp.Compare(b, a))
	})
	return ranked[:min(n, len(ranked))]
}
