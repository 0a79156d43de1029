package fragment

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"garnetline/internal/fleet/membership"
)

// transit is a set of messages on their way at one time.
type transit struct {
	payloads []membership.Payload
	want     map[string]bool // messages that are not complete yet
	complete map[string]bool
}

// send adds the fragments of a message, some twice, and without the last one where that is
// lost.
func (tr *transit) send(t *testing.T, rng *rand.Rand, id uint64, message []byte, lost bool) {
	t.Helper()
	fragments := Split(id, Raft, message)
	for _, data := range fragments {
		if len(data) > membership.MaxPayloadLen {
			t.Fatalf("a payload of %d bytes", len(data))
		}
	}
	lost = lost && len(fragments) > 1
	if !lost {
		tr.want[string(message)] = true
	}
	for i, data := range fragments {
		if lost && i == len(fragments)-1 {
			break
		}
		payload := membership.Payload{From: 7, Incarnation: 1, Data: data}
		tr.payloads = append(tr.payloads, payload)
		if len(fragments) > 1 && rng.IntN(5) == 0 {
			tr.payloads = append(tr.payloads, payload)
		}
	}
}

// arrive adds all fragments to a reassembler.
func (tr *transit) arrive(t *testing.T, now float64, reassembler *Reassembler) {
	t.Helper()
	for _, payload := range tr.payloads {
		channel, message, complete := reassembler.Add(now, payload)
		if !complete {
			continue
		}
		if channel != Raft || !tr.want[string(message)] && !tr.complete[string(message)] { // all of it twice comes twice
			t.Fatalf("%d bytes on %d that nobody sent", len(message), channel)
		}
		delete(tr.want, string(message))
		tr.complete[string(message)] = true
	}
}

// Fragments in any order, some twice, of several messages at once, are reassembled; one that
// is lost loses its message and no other.
func TestFragmentsInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var reassembler Reassembler
	for round := range 50 {
		tr := transit{want: map[string]bool{}, complete: map[string]bool{}}
		for id := range uint64(5) {
			message := bytes.Repeat([]byte{byte(id), byte(round)}, rng.IntN(20_000))
			tr.send(t, rng, uint64(round)*10+id, message, id == 4)
		}
		rng.Shuffle(len(tr.payloads), func(i, j int) { tr.payloads[i], tr.payloads[j] = tr.payloads[j], tr.payloads[i] })
		tr.arrive(t, float64(round), &reassembler)
		if len(tr.want) > 0 {
			t.Fatalf("%d were never complete", len(tr.want))
		}
	}
	if len(reassembler.partial) > maxPartial {
		t.Errorf("%d wait", len(reassembler.partial))
	}
	if Split(1, Raft, make([]byte, MaxMessageLen+1)) != nil {
		t.Error("too long is split")
	}
}

// Whatever the bytes, there is no panic.
func FuzzReassembler(f *testing.F) {
	f.Add(Split(3, LeaseRequest, make([]byte, 3000))[1])
	f.Fuzz(func(_ *testing.T, data []byte) {
		var reassembler Reassembler
		for i := range 3 {
			reassembler.Add(float64(i), membership.Payload{From: 1, Data: data})
		}
	})
}
