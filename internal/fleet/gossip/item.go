package gossip

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Kind is the kind of an item.
type Kind uint8

// The kinds of items. Their numbers are part of the wire format and of the bans file.
const (
	Ban   Kind = 1 + iota // an operator disabled a server
	Drain                 // a router's change log showed that a server is no longer ready
	Purge                 // a router's change log contained the purge of an object or a group
)

// Item is one ban, drain or purge. Its kind determines which fields are set.
type Item struct {
	Kind      Kind
	Server    routing.ServerID
	Router    membership.ID    // Ban: router whose admin API set the ban; Router and Sequence form the ban's dot, its unique identifier
	Sequence  uint64           // Ban: number of the ban among the bans set at Router
	Removed   bool             // Ban: the ban was removed
	StartedAt float64          // Drain: start time of the draining server, Unix ms; 0: long ago
	Object    routing.ObjectID // Purge: object to purge
	Group     int              // Purge: group to purge
	PurgedAt  float64          // Purge: time of the purge, Unix ms
}

// Field numbers of an item in the protobuf encoding.
const (
	fieldKind = 1 + iota
	fieldServer
	fieldRouter
	fieldSequence
	fieldRemoved
	fieldStartedAt
	fieldObject
	fieldGroup
	fieldPurgedAt
)

const (
	// maxTimestamp is the upper bound of the times of an item, in Unix ms. A higher value cannot
	// be a valid date.
	maxTimestamp = 1 << 50
	// maxGroup is one more than the highest group number.
	maxGroup = 1 << 16
	// serverIDBits is the size of a server ID, in bits.
	serverIDBits = 32
)

// Append appends the encoded item to b.
func (i *Item) Append(b []byte) []byte {
	b = wireformat.AppendUint(b, fieldKind, uint64(i.Kind))
	b = wireformat.AppendUint(b, fieldServer, uint64(i.Server))
	b = wireformat.AppendUint(b, fieldRouter, uint64(i.Router))
	b = wireformat.AppendUint(b, fieldSequence, i.Sequence)
	if i.Removed {
		b = wireformat.AppendUint(b, fieldRemoved, 1)
	}
	b = wireformat.AppendUint(b, fieldStartedAt, uint64(i.StartedAt))
	b = wireformat.AppendUint(b, fieldObject, uint64(i.Object))
	b = wireformat.AppendUint(b, fieldGroup, uint64(i.Group))
	return wireformat.AppendUint(b, fieldPurgedAt, uint64(i.PurgedAt))
}

// Decode decodes an item. It skips unknown fields, which a later version may send. The result
// ok is false if the encoding is malformed or a field is out of bounds.
func Decode(b []byte) (item Item, ok bool) {
	if len(b) > membership.MaxItemLen {
		return item, false
	}
	for len(b) > 0 {
		field, fieldType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return item, false
		}
		b = b[n:]
		if fieldType == protowire.VarintType {
			var value uint64
			if value, n = protowire.ConsumeVarint(b); n >= 0 {
				item.setField(field, value)
			}
		} else {
			n = protowire.ConsumeFieldValue(field, fieldType, b)
		}
		if n < 0 {
			return item, false
		}
		b = b[n:]
	}
	return item, item.valid()
}

func (i *Item) setField(field protowire.Number, value uint64) {
	switch field {
	case fieldKind:
		i.Kind = Kind(min(value, 255))
	case fieldServer:
		i.Server = routing.ServerID(value)
	case fieldRouter:
		i.Router = membership.ID(value)
	case fieldSequence:
		i.Sequence = value
	case fieldRemoved:
		i.Removed = value != 0
	case fieldStartedAt:
		i.StartedAt = float64(min(value, maxTimestamp))
	case fieldObject:
		i.Object = routing.ObjectID(value)
	case fieldGroup:
		i.Group = int(min(value, maxGroup))
	case fieldPurgedAt:
		i.PurgedAt = float64(min(value, maxTimestamp))
	}
}

func (i *Item) valid() bool {
	switch i.Kind {
	case Ban:
		return i.Router != 0 && i.Sequence != 0 && i.Server>>serverIDBits == 0
	case Drain:
		return i.Server>>serverIDBits == 0
	case Purge:
		return i.PurgedAt > 0 && i.PurgedAt < maxTimestamp && i.Group < maxGroup
	}
	return false
}

// bucket returns the bucket whose checksum includes the item. All routers must choose the same
// bucket.
func (i *Item) bucket() int {
	hash := uint64(i.Server)*31 + uint64(i.Object) + uint64(i.Group)*7 + i.Sequence
	return int(hash % membership.BucketCount)
}

// dotHash returns a hash of a ban's dot (Router and Sequence). The hash identifies the ban among
// the forgotten items.
func (i *Item) dotHash() uint64 { return uint64(i.Router)*0x9e3779b97f4a7c15 + i.Sequence }
