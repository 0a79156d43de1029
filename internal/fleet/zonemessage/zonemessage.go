// Package zonemessage encodes messages between the routers of one zone about the zone's servers. A
// message has a fencing token and a bounded list of items. Each item has the ID of a server and an
// age, and may have additional fields, which the package that sends the message defines.
//
// The functions are stateless and may be called by any goroutine. Field numbers never change, since
// routers of several releases run side by side.
package zonemessage

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Field numbers of a message.
const (
	fieldToken protowire.Number = 1
	fieldItem  protowire.Number = 2
)

// Field numbers of an item.
const (
	fieldServer protowire.Number = 1 // server ID plus 1, so that the ID 0 is not omitted as a zero value
	fieldAge    protowire.Number = 2

	// FirstItemField is the first field number for the additional fields of an item.
	FirstItemField protowire.Number = 3
)

// MaxNumber is the maximum value of a decoded number. Decoders replace a larger number by
// MaxNumber.
const MaxNumber = 1 << 40

// Item holds the fields that all items of a message have.
type Item struct {
	Server routing.ServerID
	Age    float64 // ms
}

// AppendToken appends the fencing token, which is the first field of a message. The token 0 is
// omitted.
func AppendToken(message []byte, fencingToken uint64) []byte {
	return wireformat.AppendUint(message, fieldToken, fencingToken)
}

// AppendItem appends an encoded item to a message.
func AppendItem(message, item []byte) []byte {
	return wireformat.AppendString(message, fieldItem, string(item))
}

// Encode returns the encoded item, to which additional fields may be appended. The age is rounded
// down to whole milliseconds, and a negative age is encoded as 0.
func (i Item) Encode() []byte {
	encoded := wireformat.AppendUint(nil, fieldServer, uint64(i.Server)+1)
	return wireformat.AppendUint(encoded, fieldAge, uint64(max(0, i.Age)))
}

// Parse returns the fencing token and the items of a message; parseItem decodes each item. ok is
// false if the message is malformed, if it has more than maxItems items, or if parseItem returns
// false for an item.
func Parse[T any](message []byte, maxItems int, parseItem func(encoded []byte) (T, bool)) (fencingToken uint64, items []T, ok bool) {
	ok = wireformat.ParseFields(message, func(number protowire.Number, value uint64, content []byte) bool {
		switch number {
		case fieldToken:
			fencingToken = value
		case fieldItem:
			item, itemOK := parseItem(content)
			items = append(items, item)
			return itemOK && len(items) <= maxItems
		}
		return true
	})
	return fencingToken, items, ok
}

// ParseItem returns the fields that all items have, and calls visit with each additional field.
// The bool is false if the item is malformed.
func ParseItem(encoded []byte, visit func(number protowire.Number, value uint64)) (Item, bool) {
	var item Item
	ok := wireformat.ParseFields(encoded, func(number protowire.Number, value uint64, _ []byte) bool {
		switch number {
		case fieldServer:
			item.Server = routing.ServerID(value - 1)
		case fieldAge:
			item.Age = float64(min(value, MaxNumber))
		default:
			visit(number, value)
		}
		return true
	})
	return item, ok
}
