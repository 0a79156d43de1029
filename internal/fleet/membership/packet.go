package membership

import (
	"errors"
	"net/netip"
)

// Limits of a packet and of its fields.
const (
	MaxPacketLen  = 1400 // bytes before encryption
	MaxNameLen    = 64   // bytes; applies to a router's name, zone and version
	MaxItemLen    = 96   // bytes
	MaxPayloadLen = 1100 // bytes
	maxUpdates    = 64
	maxItems      = 64
)

// packetBudget is the maximum size in bytes of the updates, items and checksums in a packet.
const packetBudget = 1150

// ErrMalformedPacket is returned for bytes that are not a valid packet.
var ErrMalformedPacket = errors.New("fleet: malformed packet")

// Kind is the purpose of a packet.
type Kind uint8

// The kinds of packets. Their numbers are part of the wire format.
const (
	Ping         Kind = 1 + iota
	Ack               // answers Ping and IndirectPing
	Nack              // answers IndirectPing: the target has not answered in time
	IndirectPing      // asks another router to probe the target
	Gossip            // carries only updates and items
	SyncRequest       // asks for the content of the buckets whose checksums differ
	SyncResponse      // answers SyncRequest, in one or more packets
	Data              // carries a payload for a state machine of the receiver other than Machine
	kindEnd
)

// Packet is one datagram between two routers.
type Packet struct {
	Kind       Kind
	From       Update         // the sender's update about itself
	Sequence   uint64         // number of the packet, counted within the sender's incarnation
	Nonce      uint64         // identifies a request; an answer repeats the nonce of its request
	Target     ID             // intended receiver; in IndirectPing, Ack and Nack, the probed router
	TargetAddr netip.AddrPort // IndirectPing: the target's address
	Updates    []Update
	Items      [][]byte
	Payload    []byte   // Data only
	Checksums  []uint32 // one checksum per bucket, over the bucket's members and items
}

// encodedSize returns the approximate size in bytes of the packet's updates, items and
// checksums.
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

// encodedSize returns the approximate size of an encoded update, in bytes.
func (u *Update) encodedSize() int { return 48 + len(u.Name) + len(u.Zone) + len(u.Version) }

// encodedItemSize returns the size of an encoded item, in bytes, with its tag and length.
func encodedItemSize(item []byte) int { return len(item) + 3 }
