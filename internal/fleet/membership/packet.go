package membership

import (
	"errors"
	"net/netip"
)

// Limits of a packet and of its fields.
const (
	MaxPacketLen  = 1400 // bytes before encryption
	MaxNameLen    = 64   // bytes of a router's name, zone and version, each
	MaxItemLen    = 96   // bytes
	MaxPayloadLen = 1100 // bytes
	maxUpdates    = 64
	maxItems      = 64
)

// packetBudget is how many bytes of updates, items and checksums go into one packet.
const packetBudget = 1150

// ErrMalformedPacket reports bytes that are no packet.
var ErrMalformedPacket = errors.New("fleet: malformed packet")

// Kind tells what a packet is for.
type Kind uint8

// The kinds of packets. Their numbers are on the wire.
const (
	Ping         Kind = 1 + iota
	Ack               // answers Ping and IndirectPing
	Nack              // the router asked for an indirect probe has no answer either, but is itself well
	IndirectPing      // asks another router to probe
	Gossip            // updates and items alone
	SyncRequest       // asks for what differs from the sender's checksums
	SyncResponse      // a part of the answer
	Data              // a payload for another state machine of the receiver
	kindEnd
)

// Packet is one datagram between two routers.
type Packet struct {
	Kind       Kind
	From       Update         // of the sender about itself
	Sequence   uint64         // the sender's packets so far in this incarnation
	Nonce      uint64         // of a request, or of the one that is answered
	Target     ID             // who is meant, or whom IndirectPing is about
	TargetAddr netip.AddrPort // IndirectPing: where that router is
	Updates    []Update
	Items      [][]byte
	Payload    []byte   // of Data
	Checksums  []uint32 // of members and items, for each bucket
}

// encodedSize returns about how many bytes the packet's updates, items and checksums take.
func (p *Packet) encodedSize() int {
	size := checksumLen * len(p.Checksums)
	for i := range p.Updates {
		size += p.Updates[i].encodedSize()
	}
	for _, item := range p.Items {
		size += encodedItemSize(item)
	}
	return size
}

// encodedSize returns about how many bytes an update takes.
func (u *Update) encodedSize() int { return 48 + len(u.Name) + len(u.Zone) + len(u.Version) }

// encodedItemSize returns how many bytes an item takes, with its tag and length.
func encodedItemSize(item []byte) int { return len(item) + 3 }
