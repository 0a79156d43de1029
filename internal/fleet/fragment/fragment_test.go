package fragment

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"garnetline/internal/fleet/membership"
)

// Pieces in any order, some twice, of several at once, are put together; one that is lost
// loses its whole and nothing else.
func TestFragmentsInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var j Reassembler
	for round := range 50 {
		var all []membership.Payload
		want, came := map[string]bool{}, map[string]bool{}
		for id := range uint64(5) {
			b := bytes.Repeat([]byte{byte(id), byte(round)}, rng.IntN(20_000))
			loads := Split(uint64(round)*10+id, Raft, b)
			for i, l := range loads {
				if id == 4 && i == len(loads)-1 && len(loads) > 1 {
					continue // lost
				}
				all = append(all, membership.Payload{From: 7, Incarnation: 1, Data: l})
				if len(l) > membership.MaxPayloadLen {
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
			if ch, b, whole := j.Add(float64(round), l); whole {
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
	if len(j.partial) > maxPartial {
		t.Errorf("%d wait", len(j.partial))
	}
	if Split(1, Raft, make([]byte, MaxMessageLen+1)) != nil {
		t.Error("too long is taken")
	}
}

func FuzzReassembler(f *testing.F) {
	f.Add(Split(3, LeaseRequest, make([]byte, 3000))[1])
	f.Fuzz(func(t *testing.T, b []byte) {
		var j Reassembler
		for i := range 3 {
			j.Add(float64(i), membership.Payload{From: 1, Data: b})
		}
	})
}
