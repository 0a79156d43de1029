package trace

import (
	"math/rand/v2"
	"testing"
)

// TestOrderIsUniform checks that Order is uniformly distributed over random IDs. If Order were not
// uniform, the weights of sampled traces would be wrong.
func TestOrderIsUniform(t *testing.T) {
	const (
		ids       = 100_000
		tenths    = 10
		tolerance = 0.04
	)
	var counts [tenths]int
	rng := rand.New(rand.NewPCG(1, 2))
	for range ids {
		var id ID
		for i := range id {
			id[i] = byte(rng.Uint32())
		}
		order := id.Order()
		if order <= 0 || order > 1 {
			t.Fatalf("order of ID %v: got %v, want a number in (0, 1]", id, order)
		}
		counts[min(int(order*tenths), tenths-1)]++
	}
	const want = ids / tenths
	for tenth, got := range counts {
		if got < want*(1-tolerance) || got > want*(1+tolerance) {
			t.Errorf("got %d of %d orders in tenth %d of the range, want about %d", got, ids, tenth, want)
		}
	}
}
