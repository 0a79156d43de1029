package membership

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
)

// fuzzPacket returns a packet whose fields are derived from a byte of the fuzz input.
func fuzzPacket(b byte) *Packet {
	update := Update{
		ID:         ID(1 + b%9),
		Revision:   FirstRevision(uint64(1+b%2)) + uint64(b%3),
		State:      State(b / 8 % 4),
		ReportedBy: ID(1 + b%5),
		Name:       "x",
		Addr:       testAddr(int(b % 9)),
	}
	from := Update{ID: ID(2 + b%4), Revision: FirstRevision(1 + uint64(b%2)), Name: "y", Addr: testAddr(int(1 + b%4))}
	return &Packet{
		Kind:       Kind(1 + b%8),
		From:       from,
		Sequence:   uint64(b),
		Target:     ID(b % 3),
		TargetAddr: testAddr(3),
		Updates:    []Update{update},
		Payload:    []byte{b},
	}
}

// checkBounds fails the test if a machine or the output of a step exceeds a limit.
func checkBounds(t *testing.T, machine *Machine, out *Output) {
	t.Helper()
	for _, sent := range out.Packets {
		if n := len(sent.Packet.Append(nil)); n > MaxPacketLen {
			t.Fatalf("got a packet of %d bytes, want at most %d", n, MaxPacketLen)
		}
	}
	switch {
	case len(machine.peers) > machine.settings.MaxMembers:
		t.Fatalf("got %d members, want at most %d", len(machine.peers), machine.settings.MaxMembers)
	case len(machine.unverified) > maxUnverified:
		t.Fatalf("got %d unverified packets, want at most %d", len(machine.unverified), maxUnverified)
	case len(machine.pending) > maxPendingRequests:
		t.Fatalf("got %d pending requests, want at most %d", len(machine.pending), maxPendingRequests)
	case len(machine.relays) > maxRelays:
		t.Fatalf("got %d relays, want at most %d", len(machine.relays), maxRelays)
	case len(out.Packets) > 64:
		t.Fatalf("got %d packets from one step, want at most 64", len(out.Packets))
	}
}

// For any sequence of packets and times, a machine stays within its limits and never replaces an
// update about a router with an older one.
func FuzzMachine(f *testing.F) {
	f.Add(uint64(1), []byte("some steps, in an order that chance has"))
	f.Add(uint64(2), bytes.Repeat([]byte{1, 5, 9, 250}, 30))
	f.Fuzz(func(t *testing.T, seed uint64, steps []byte) {
		rng := rand.New(rand.NewPCG(seed, 1))
		settings := DefaultSettings()
		settings.MaxMembers = 6
		self := Update{ID: 1, Revision: FirstRevision(1), Name: "r0", Addr: testAddr(0)}
		machine := New(settings, self, []netip.AddrPort{testAddr(1)}, rng, nil, 0)
		now := 0.0
		latest := map[ID]Update{}
		var nonces []uint64
		for _, b := range steps[:min(len(steps), 400)] {
			now += float64(b%7) * 60
			packet := fuzzPacket(b)
			if len(nonces) > 0 {
				packet.Nonce = nonces[int(b)%len(nonces)]
			}
			out := machine.Step(now, packet)
			for _, sent := range out.Packets {
				nonces = append(nonces, sent.Packet.Nonce)
			}
			checkBounds(t, machine, &out)
			for _, member := range machine.View().Members {
				if old, known := latest[member.ID]; known && newer(&old, &member.Update) {
					t.Fatalf("newer update %+v was replaced with the older %+v", old, member.Update)
				}
				latest[member.ID] = member.Update
			}
		}
	})
}

func TestReplayWindowAcceptsEachPacketOnce(t *testing.T) {
	w := replayWindow{verified: true, highest: 100, seen: 1}
	for _, step := range []struct {
		sequence uint64
		want     bool
	}{{100, false}, {101, true}, {101, false}, {99, true}, {99, false}, {300, true}, {237, true}, {236, false}, {237, false}, {101, false}} {
		if got := w.accept(step.sequence); got != step.want {
			t.Errorf("sequence number %d: got accepted %v, want %v", step.sequence, got, step.want)
		}
	}
}

// newBenchMachine returns a machine that knows the given number of other routers, all verified.
func newBenchMachine(others int) *Machine {
	self := Update{ID: 1, Revision: FirstRevision(1), Name: "r0", Addr: testAddr(0)}
	m := New(DefaultSettings(), self, nil, rand.New(rand.NewPCG(1, 1)), nil, 0)
	m.settings.MaxMembers = 2 * others
	for i := range others {
		m.InjectUpdate(Update{ID: ID(i + 2), Revision: FirstRevision(1), Name: "r", Addr: testAddr(i % 200)})
		m.peers[ID(i+2)].replay = replayWindow{incarnation: 1, verified: true}
	}
	return m
}

func BenchmarkStep(b *testing.B) {
	m := newBenchMachine(300)
	now := 0.0
	for b.Loop() {
		now += 20
		m.Step(now, nil)
	}
}

func BenchmarkPing(b *testing.B) {
	m := newBenchMachine(300)
	p := &Packet{Kind: Ping, From: m.present[0].Update, Target: 1}
	for b.Loop() {
		p.Sequence++
		m.Step(1, p)
	}
}
