package membership

import (
	"bytes"
	"net/netip"
	"reflect"
	"strings"
	"testing"
)

func samplePacket() *Packet {
	suspect := Update{ID: 7, Revision: FirstRevision(3) + 2, State: Suspect, ReportedBy: 9, Name: "r1", Zone: "north", Version: "1.2", Addr: testAddr(0)}
	from := suspect
	from.State = Alive
	from.ReportedBy = 0
	return &Packet{
		Kind:       IndirectPing,
		From:       from,
		Sequence:   12,
		Nonce:      1 << 60,
		Target:     8,
		TargetAddr: netip.MustParseAddrPort("[::1]:9"),
		Updates:    []Update{suspect, from},
		Items:      [][]byte{[]byte("one"), []byte("two")},
		Checksums:  make([]uint32, BucketCount),
	}
}

func TestPacketRoundTrip(t *testing.T) {
	packet := samplePacket()
	packet.Checksums[3] = 5
	decoded, err := Decode(packet.Append(nil))
	if err != nil || !reflect.DeepEqual(packet, decoded) {
		t.Errorf("got error %v and packet %+v, want %+v", err, decoded, packet)
	}
	withUnknownField := append(packet.Append(nil), 0xfa, 0x01, 0x01, 'x') // a field of a later version
	if decoded, err := Decode(withUnknownField); err != nil || !reflect.DeepEqual(packet, decoded) {
		t.Errorf("packet with an unknown field: got error %v, want the packet without that field", err)
	}
	for name, corrupt := range map[string]func(*Packet){
		"no kind":           func(p *Packet) { p.Kind = 0 },
		"unknown kind":      func(p *Packet) { p.Kind = 200 },
		"no sender":         func(p *Packet) { p.From.ID = 0 },
		"failed sender":     func(p *Packet) { p.From.State = Failed },
		"no address":        func(p *Packet) { p.From.Addr = netip.AddrPort{} },
		"long name":         func(p *Packet) { p.From.Name = strings.Repeat("x", MaxNameLen+1) },
		"unprintable name":  func(p *Packet) { p.From.Name = "a\nb" },
		"long payload":      func(p *Packet) { p.Payload = make([]byte, MaxPayloadLen+1) },
		"long item":         func(p *Packet) { p.Items[0] = make([]byte, MaxItemLen+1) },
		"unknown state":     func(p *Packet) { p.Updates[0].State = 9 },
		"too few checksums": func(p *Packet) { p.Checksums = p.Checksums[1:] },
		"too many updates":  func(p *Packet) { p.Updates = make([]Update, maxUpdates+1); p.Updates[0].ID = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			corrupted := samplePacket()
			corrupt(corrupted)
			if _, err := Decode(corrupted.Append(nil)); err == nil {
				t.Error("Decode returned no error, want an error")
			}
		})
	}
}

// Decode does not panic on any input. A decoded packet is within bounds. Encoding the packet and
// decoding the result returns the same packet.
func FuzzDecode(f *testing.F) {
	f.Add(samplePacket().Append(nil))
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		packet, err := Decode(b)
		if err != nil {
			return
		}
		if len(packet.Updates) > maxUpdates || len(packet.Items) > maxItems || len(packet.From.Name) > MaxNameLen {
			t.Fatalf("decoded packet is out of bounds: %+v", packet)
		}
		encoded := packet.Append(nil)
		again, err := Decode(encoded)
		if len(encoded) <= MaxPacketLen && (err != nil || !bytes.Equal(encoded, again.Append(nil))) {
			t.Fatalf("decoding the encoded packet: got error %v; the first encoding is %x, the second is %x", err, encoded, again.Append(nil))
		}
	})
}

func BenchmarkPacketCodec(b *testing.B) {
	p := samplePacket()
	var buffer []byte
	for b.Loop() {
		buffer = p.Append(buffer[:0])
		if _, err := Decode(buffer); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(buffer)), "B/packet")
}
