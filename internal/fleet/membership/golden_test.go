package membership

import (
	"bytes"
	"net/netip"
	"testing"

	"garnetline/internal/golden"
)

// packetsOfEachKind returns one packet of each kind and one packet with all fields set. It also
// returns the names of these packets in the golden file.
func packetsOfEachKind() (names []string, packets []*Packet) {
	from := Update{ID: 0x1122334455667788, Revision: FirstRevision(5) + 3, Name: "r1", Zone: "north", Version: "1.2", Addr: netip.MustParseAddrPort("10.1.2.3:7946")}
	suspect := Update{ID: 8, Revision: FirstRevision(2), State: Suspect, ReportedBy: 9, Name: "r2", Zone: "south", Version: "1.1", Addr: netip.MustParseAddrPort("[fd00::2]:7946")}
	failed, left := suspect, suspect
	failed.ID, failed.State = 10, Failed
	left.ID, left.State, left.ReportedBy = 11, Left, 11
	alive := Update{ID: 12, Revision: FirstRevision(1), Name: "r3", Addr: netip.MustParseAddrPort("10.1.2.4:7946")}
	sums := make([]uint32, BucketCount)
	for i := range sums {
		sums[i] = uint32(i) * 0x01010101
	}
	add := func(name string, p *Packet) {
		p.From = from
		names, packets = append(names, name), append(packets, p)
	}
	add("ping", &Packet{Kind: Ping, Sequence: 1, Nonce: 0xfedcba9876543211, Target: 8})
	add("ack", &Packet{Kind: Ack, Sequence: 2, Nonce: 0xfedcba9876543211, Target: from.ID})
	add("nack", &Packet{Kind: Nack, Sequence: 3, Nonce: 77, Target: 8})
	add("indirect-ping", &Packet{Kind: IndirectPing, Sequence: 4, Nonce: 77, Target: 8, TargetAddr: suspect.Addr, Updates: []Update{suspect}})
	add("gossip", &Packet{Kind: Gossip, Sequence: 5, Updates: []Update{alive, suspect, failed, left}, Items: [][]byte{[]byte("one"), []byte("another")}})
	add("sync-request", &Packet{Kind: SyncRequest, Sequence: 6, Nonce: 79, Target: 8, Checksums: sums})
	add("sync-response", &Packet{Kind: SyncResponse, Sequence: 7, Nonce: 79, Updates: []Update{alive}, Items: [][]byte{[]byte("one")}, Checksums: sums})
	add("data", &Packet{Kind: Data, Sequence: 8, Payload: []byte("for another state machine")})
	add("all-fields", &Packet{Kind: Gossip, Sequence: 1 << 40, Nonce: 1, Target: 1, TargetAddr: alive.Addr, Updates: []Update{left}, Items: [][]byte{{0}}, Payload: []byte{1, 2}, Checksums: sums})
	return names, packets
}

// The encoding of packets is the same as in the previous version, since routers of both versions
// exchange packets.
func TestGoldenPackets(t *testing.T) {
	names, packets := packetsOfEachKind()
	var messages []golden.Message
	for i, p := range packets {
		messages = append(messages, golden.Message{Name: names[i], Bytes: p.Append(nil)})
	}
	for _, m := range golden.CompareMessages(t, "packets.golden", messages) {
		p, err := Decode(m.Bytes)
		if err != nil {
			t.Errorf("%s: cannot decode: %v", m.Name, err)
			continue
		}
		if again := p.Append(nil); !bytes.Equal(again, m.Bytes) {
			t.Errorf("%s: decoded and encoded again: got %x, want %x", m.Name, again, m.Bytes)
		}
	}
}

// The admin API, metrics and log lines show states and IDs in this form.
func TestPrintedStrings(t *testing.T) {
	for s, want := range map[State]string{Alive: "alive", Suspect: "suspect", Failed: "failed", Left: "left", Left + 1: "unknown"} {
		if s.String() != want {
			t.Errorf("state %d: got name %q, want %q", s, s, want)
		}
	}
	if got := ID(0xab).String(); got != "00000000000000ab" {
		t.Errorf("got ID %q, want \"00000000000000ab\"", got)
	}
}

// Events are logged and counted under these names or under the name of a state.
func TestEventKinds(t *testing.T) {
	for got, want := range map[string]string{
		EventSuspect: Suspect.String(), EventFailed: Failed.String(), EventLeft: Left.String(),
		EventJoined: "joined", EventBack: "back", EventRefuted: "refuted", EventConflict: "conflict",
		EventSuperseded: "superseded", EventStalled: "woken", EventFull: "full",
	} {
		if got != want {
			t.Errorf("got event kind %q, want %q", got, want)
		}
	}
}

// The revisions of an incarnation start at a multiple of 2^24; the low 24 bits count refutations.
func TestIncarnationBits(t *testing.T) {
	update := Update{Revision: FirstRevision(3) + 2}
	if update.Revision != 3<<24+2 || update.Incarnation() != 3 {
		t.Errorf("got revision %x and incarnation %d, want 3000002 and 3", update.Revision, update.Incarnation())
	}
}
