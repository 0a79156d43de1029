package membership

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"testing"
)

func samplePacket() *Packet {
	w := Update{ID: 7, Revision: FirstRevision(3) + 2, State: Suspect, ReportedBy: 9, Name: "r1", Zone: "north", Version: "1.2", Addr: testAddr(0)}
	from := w
	from.State, from.ReportedBy = Alive, 0
	return &Packet{Kind: IndirectPing, From: from, Sequence: 12, Nonce: 1 << 60, Target: 8, TargetAddr: netip.MustParseAddrPort("[::1]:9"), Updates: []Update{w, from},
		Items: [][]byte{[]byte("one"), []byte("two")}, Checksums: make([]uint32, BucketCount)}
}

func TestPacketRoundTrip(t *testing.T) {
	p := samplePacket()
	p.Checksums[3] = 5
	q, err := Decode(p.Append(nil))
	if err != nil || !reflect.DeepEqual(p, q) {
		t.Errorf("%v: %+v, want %+v", err, q, p)
	}
	later := append(p.Append(nil), 0xfa, 0x01, 0x01, 'x') // a field that this version does not know
	if q, err := Decode(later); err != nil || !reflect.DeepEqual(p, q) {
		t.Errorf("with a later field: %v", err)
	}
	for what, spoil := range map[string]func(*Packet){
		"no kind":        func(p *Packet) { p.Kind = 0 },
		"unknown kind":   func(p *Packet) { p.Kind = 200 },
		"nobody":         func(p *Packet) { p.From.ID = 0 },
		"dead sender":    func(p *Packet) { p.From.State = Failed },
		"no address":     func(p *Packet) { p.From.Addr = netip.AddrPort{} },
		"long name":      func(p *Packet) { p.From.Name = strings.Repeat("x", MaxNameLen+1) },
		"odd name":       func(p *Packet) { p.From.Name = "a\nb" },
		"long load":      func(p *Packet) { p.Payload = make([]byte, MaxPayloadLen+1) },
		"long item":      func(p *Packet) { p.Items[0] = make([]byte, MaxItemLen+1) },
		"unknown state":  func(p *Packet) { p.Updates[0].State = 9 },
		"too few sums":   func(p *Packet) { p.Checksums = p.Checksums[1:] },
		"too many words": func(p *Packet) { p.Updates = make([]Update, maxUpdates+1); p.Updates[0].ID = 1 },
	} {
		p := samplePacket()
		spoil(p)
		if _, err := Decode(p.Append(nil)); err == nil {
			t.Errorf("%s: taken", what)
		}
	}
}

// Whatever the bytes, there is no panic; what is taken is within bounds, and reads the
// same when it is written again.
func FuzzDecode(f *testing.F) {
	f.Add(samplePacket().Append(nil))
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Decode(b)
		if err != nil {
			return
		}
		if len(p.Updates) > maxUpdates || len(p.Items) > maxItems || len(p.From.Name) > MaxNameLen {
			t.Fatalf("out of bounds: %+v", p)
		}
		once := p.Append(nil)
		q, err := Decode(once)
		if len(once) <= MaxPacketLen && (err != nil || !bytes.Equal(once, q.Append(nil))) {
			t.Fatalf("%v: %x, then %x", err, once, q.Append(nil))
		}
	})
}

// Whatever packets come, in whatever order and at whatever times, a machine holds its
// bounds and never goes back in what it holds of a router.
func FuzzMachine(f *testing.F) {
	f.Add(uint64(1), []byte("some steps, in an order that chance has"))
	f.Add(uint64(2), bytes.Repeat([]byte{1, 5, 9, 250}, 30))
	f.Fuzz(func(t *testing.T, seed uint64, steps []byte) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := DefaultSettings()
		set.MaxMembers = 6
		self := Update{ID: 1, Revision: FirstRevision(1), Name: "r0", Addr: testAddr(0)}
		m := New(set, self, []netip.AddrPort{testAddr(1)}, rng, nil, 0)
		now, held := 0.0, map[ID]Update{}
		var asked []uint64
		for _, b := range steps[:min(len(steps), 400)] {
			now += float64(b%7) * 60
			w := Update{ID: ID(1 + b%9), Revision: FirstRevision(uint64(1+b%2)) + uint64(b%3), State: State(b / 8 % 4), ReportedBy: ID(1 + b%5), Name: "x", Addr: testAddr(int(b % 9))}
			from := Update{ID: ID(2 + b%4), Revision: FirstRevision(1 + uint64(b%2)), Name: "y", Addr: testAddr(int(1 + b%4))}
			p := &Packet{Kind: Kind(1 + b%8), Payload: []byte{b}, From: from, Sequence: uint64(b), Updates: []Update{w}, Target: ID(b % 3), TargetAddr: testAddr(3)}
			if len(asked) > 0 {
				p.Nonce = asked[int(b)%len(asked)]
			}
			out := m.Step(now, p)
			for _, s := range out.Packets {
				asked = append(asked, s.Packet.Nonce)
				if n := len(s.Packet.Append(nil)); n > MaxPacketLen {
					t.Fatalf("a packet of %d bytes", n)
				}
			}
			if len(m.peers) > set.MaxMembers || len(m.unverified) > maxUnverified || len(m.pending) > maxPendingRequests || len(m.relays) > maxRelays || len(out.Packets) > 64 {
				t.Fatalf("out of bounds: %d members, %d held, %d sends", len(m.peers), len(m.unverified), len(out.Packets))
			}
			for _, x := range m.View().Members {
				if old, known := held[x.ID]; known && newer(&old, &x.Update) {
					t.Fatalf("went back from %+v to %+v", old, x.Update)
				}
				held[x.ID] = x.Update
			}
		}
	})
}

func TestReplayWindowAcceptsEachOnce(t *testing.T) {
	w := replayWindow{verified: true, highest: 100, seen: 1}
	for _, x := range []struct {
		n    uint64
		want bool
	}{{100, false}, {101, true}, {101, false}, {99, true}, {99, false}, {300, true}, {237, true}, {236, false}, {237, false}, {101, false}} {
		if got := w.accept(x.n); got != x.want {
			t.Errorf("%d: %v, want %v", x.n, got, x.want)
		}
	}
}

// benchFleet is a machine that knows n others, all of which have proven themselves.
func benchFleet(n int) *Machine {
	m := New(DefaultSettings(), Update{ID: 1, Revision: FirstRevision(1), Name: "r0", Addr: testAddr(0)}, nil, rand.New(rand.NewPCG(1, 1)), nil, 0)
	m.settings.MaxMembers = 2 * n
	for i := range n {
		m.InjectUpdate(Update{ID: ID(i + 2), Revision: FirstRevision(1), Name: "r", Addr: testAddr(i % 200)})
		m.peers[ID(i+2)].replay = replayWindow{incarnation: 1, verified: true}
	}
	return m
}

func BenchmarkStep(b *testing.B) {
	m := benchFleet(300)
	now := 0.0
	for b.Loop() {
		now += 20
		m.Step(now, nil)
	}
}

func BenchmarkPing(b *testing.B) {
	m := benchFleet(300)
	p := &Packet{Kind: Ping, From: m.present[0].Update, Target: 1}
	for b.Loop() {
		p.Sequence++
		m.Step(1, p)
	}
}

func BenchmarkPacketCodec(b *testing.B) {
	p := samplePacket()
	var room []byte
	for b.Loop() {
		room = p.Append(room[:0])
		if _, err := Decode(room); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(room)), "B/packet")
}
