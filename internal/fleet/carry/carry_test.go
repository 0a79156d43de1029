package carry

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"garnetline/internal/fleet/member"
)

// Pieces in any order, some twice, of several at once, are put together; one that is lost
// loses its whole and nothing else.
func TestPieces(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var j Joiner
	for round := range 50 {
		var all []member.Load
		want, came := map[string]bool{}, map[string]bool{}
		for id := range uint64(5) {
			b := bytes.Repeat([]byte{byte(id), byte(round)}, rng.IntN(20_000))
			loads := Split(uint64(round)*10+id, Raft, b)
			for i, l := range loads {
				if id == 4 && i == len(loads)-1 && len(loads) > 1 {
					continue // lost
				}
				all = append(all, member.Load{From: 7, Life: 1, Bytes: l})
				if len(l) > member.MaxLoad {
					t.Fatalf("a load of %d bytes", len(l))
				}
				if len(loads) > 1 && rng.IntN(5) == 0 {
					all = append(all, all[len(all)-1])
				}
			}
			if id < 4 || len(loads) == 1 {
				want[string(b)] = true
			}
		}
		rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		for _, l := range all {
			if ch, b, whole := j.Take(float64(round), l); whole {
				if ch != Raft || !want[string(b)] && !came[string(b)] { // all of it twice comes twice

					t.Fatalf("%d bytes on %d that nobody sent", len(b), ch)
				}
				delete(want, string(b))
				came[string(b)] = true
			}
		}
		if len(want) > 0 {
			t.Fatalf("%d never came", len(want))
		}
	}
	if len(j.open) > waiting {
		t.Errorf("%d wait", len(j.open))
	}
	if Split(1, Raft, make([]byte, MaxLen+1)) != nil {
		t.Error("too long is taken")
	}
}

func FuzzTake(f *testing.F) {
	f.Add(Split(3, Ask, make([]byte, 3000))[1])
	f.Fuzz(func(t *testing.T, b []byte) {
		var j Joiner
		for i := range 3 {
			j.Take(float64(i), member.Load{From: 1, Bytes: b})
		}
	})
}
