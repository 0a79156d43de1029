package fragment

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"garnetline/internal/fleet/membership"
)

// inFlight is a set of messages that are in transit at the same time.
type inFlight struct {
	payloads []membership.Payload
	want     map[string]bool // expected messages that have not been reassembled yet
	complete map[string]bool // messages that were reassembled
}

// send adds the fragments of a message, some of them twice. If dropLast is true and there are
// several fragments, send omits the last fragment.
func (m *inFlight) send(t *testing.T, rng *rand.Rand, id uint64, message []byte, dropLast bool) {
	t.Helper()
	fragments := Split(id, Raft, message)
	for _, data := range fragments {
		if len(data) > membership.MaxPayloadLen {
			t.Fatalf("got a payload of %d bytes, want at most membership.MaxPayloadLen", len(data))
		}
	}
	dropLast = dropLast && len(fragments) > 1
	if !dropLast {
		m.want[string(message)] = true
	}
	for i, data := range fragments {
		if dropLast && i == len(fragments)-1 {
			break
		}
		payload := membership.Payload{From: 7, Incarnation: 1, Data: data}
		m.payloads = append(m.payloads, payload)
		if len(fragments) > 1 && rng.IntN(5) == 0 {
			m.payloads = append(m.payloads, payload)
		}
	}
}

// deliver adds all fragments to a reassembler and checks the reassembled messages.
func (m *inFlight) deliver(t *testing.T, now float64, reassembler *Reassembler) {
	t.Helper()
	for _, payload := range m.payloads {
		channel, message, complete := reassembler.Add(now, payload)
		if !complete {
			continue
		}
		if channel != Raft || !m.want[string(message)] && !m.complete[string(message)] { // a message whose fragments all arrive twice is reassembled twice
			t.Fatalf("got a message of %d bytes on channel %d that was not sent", len(message), channel)
		}
		delete(m.want, string(message))
		m.complete[string(message)] = true
	}
}

// The fragments of several messages are reassembled in any order and with duplicates. A lost
// fragment affects only its own message.
func TestFragmentsInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var reassembler Reassembler
	for round := range 50 {
		messages := inFlight{want: map[string]bool{}, complete: map[string]bool{}}
		for id := range uint64(5) {
			message := bytes.Repeat([]byte{byte(id), byte(round)}, rng.IntN(20_000))
			messages.send(t, rng, uint64(round)*10+id, message, id == 4)
		}
		rng.Shuffle(len(messages.payloads), func(i, j int) {
			messages.payloads[i], messages.payloads[j] = messages.payloads[j], messages.payloads[i]
		})
		messages.deliver(t, float64(round), &reassembler)
		if len(messages.want) > 0 {
			t.Fatalf("%d messages were not reassembled", len(messages.want))
		}
	}
	if len(reassembler.partial) > maxPartial {
		t.Errorf("got %d partial messages, want at most maxPartial", len(reassembler.partial))
	}
	if Split(1, Raft, make([]byte, MaxMessageLen+1)) != nil {
		t.Error("Split returned payloads for a message longer than MaxMessageLen")
	}
}

// Add does not panic for any payload.
func FuzzReassembler(f *testing.F) {
	f.Add(Split(3, LeaseRequest, make([]byte, 3000))[1])
	f.Fuzz(func(_ *testing.T, data []byte) {
		var reassembler Reassembler
		for i := range 3 {
			reassembler.Add(float64(i), membership.Payload{From: 1, Data: data})
		}
	})
}
