package lease

import (
	"slices"
	"testing"

	"garnetline/internal/fleet/membership"
)

// Routers of different versions must compute the same ranks for a lease, so this test pins the
// order.
func TestGoldenRanks(t *testing.T) {
	routers := []membership.ID{1, 2, 3, 0xdeadbeef, 0x1122334455667788}
	for name, want := range map[string][]membership.ID{
		"probe/edge":  {0x1122334455667788, 3, 0xdeadbeef, 1, 2},
		"first/north": {1, 3, 2, 0x1122334455667788, 0xdeadbeef},
	} {
		got := TopRanked(name, routers, len(routers))
		if !slices.Equal(got, want) {
			t.Errorf("%s: got order %#v, want %#v", name, got, want)
		}
		for rank, id := range got {
			if r := Rank(name, id, routers); r != rank {
				t.Errorf("%s: router %v has rank %d, want %d", name, id, r, rank)
			}
		}
	}
}
