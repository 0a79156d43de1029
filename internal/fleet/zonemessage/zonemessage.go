// Package zonemessage encodes what the routers of one zone tell each other about its servers:
// a fencing token and a bounded list of items, each of which names a server and an age and may
// have further fields of its sender's package.
//
// Its functions hold no state and may be called by any goroutine. Field numbers never change:
// routers of several releases run side by side.
package zonemessage

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Fields of a message.
const (
	fieldToken protowire.Number = 1
	fieldItem  protowire.Number = 2
)

// Fields of an item.
const (
	fieldServer protowire.Number = 1 // its id and 1, so that no id is left out as zero
	fieldAge    protowire.Number = 2

	// FirstItemField is the first field number that a sender's package may give a meaning.
	FirstItemField protowire.Number = 3
)

// MaxNumber is the largest number that readers take from a field, whatever is sent.
const MaxNumber = 1 << 40

// Item is what all items of a message have in common.
type Item struct {
	Server routing.ServerID
	Age    float64 // ms
}

// AppendToken appends the fencing token, with which a message begins; 0 is left out.
func AppendToken(message []byte, fencingToken uint64) []byte {
	return wireformat.AppendUint(message, fieldToken, fencingToken)
}

// AppendItem appends an encoded item to a message.
func AppendItem(message, item []byte) []byte {
	return wireformat.AppendString(message, fieldItem, string(item))
}

// Encode returns the item, to which further fields may be appended. A negative age is sent as
// 0.
func (i Item) Encode() []byte {
	encoded := wireformat.AppendUint(nil, fieldServer, uint64(i.Server)+1)
	return wireformat.AppendUint(encoded, fieldAge, uint64(max(0, i.Age)))
}

// Parse returns a message's fencing token and its items, each read by parseItem. ok is false
// where the message is malformed, has more than maxItems items or parseItem refuses one.
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

// ParseItem returns what all items have in common, and calls visit with each further field.
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
