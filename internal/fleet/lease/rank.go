package lease

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/membership"
)

// rendezvousScore returns the score by which the candidates of a lease are ordered. All versions
// of the program must compute the same score.
func rendezvousScore(name string, id membership.ID) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(id))
	return xxhash.Sum64(append(key[:], name...))
}

// Rank returns a router's rank, from 0, among the candidates of a lease, which are the routers
// that may hold it. The ranks are those of rendezvous hashing. All routers with the same
// candidates compute the same ranks, and a router that is added or removed does not change the
// order of the other routers. Rank returns -1 if self is not a candidate.
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

// TopRanked returns the first n candidates of a lease by rank, or all candidates if there are
// fewer than n.
func TopRanked(name string, candidates []membership.ID, n int) []membership.ID {
	ranked := slices.SortedFunc(slices.Values(candidates), func(a, b membership.ID) int {
		return cmp.Or(cmp.Compare(rendezvousScore(name, b), rendezvousScore(name, a)), cmp.Compare(b, a))
	})
	return ranked[:min(n, len(ranked))]
}
