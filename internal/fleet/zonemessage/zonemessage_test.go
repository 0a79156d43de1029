package zonemessage

import (
	"math"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
)

func parseCommon(encoded []byte) (Item, bool) {
	return ParseItem(encoded, func(protowire.Number, uint64) {})
}

func encode(fencingToken uint64, items ...Item) []byte {
	message := AppendToken(nil, fencingToken)
	for _, item := range items {
		message = AppendItem(message, item.Encode())
	}
	return message
}

// A decoded message has the token and the items that were encoded. The decoded ages are whole
// milliseconds and not negative.
func TestRoundTrip(t *testing.T) {
	message := encode(9, Item{Server: 0, Age: 1.75}, Item{Server: 1 << 40, Age: -3}, Item{Server: 7, Age: 1e6})
	want := []Item{{Server: 0, Age: 1}, {Server: 1 << 40, Age: 0}, {Server: 7, Age: 1e6}}
	fencingToken, items, ok := Parse(message, len(want), parseCommon)
	if !ok || fencingToken != 9 || !reflect.DeepEqual(items, want) {
		t.Errorf("got token %d, items %+v, ok %v, want token 9 and the encoded items", fencingToken, items, ok)
	}
}

// Parse ignores fields of a message that this release does not know; ParseItem passes the unknown
// fields of an item to visit.
func TestAdditionalFields(t *testing.T) {
	item := wireformat.AppendUint(Item{Server: 7, Age: 5}.Encode(), FirstItemField, 12)
	message := wireformat.AppendUint(AppendItem(AppendToken(nil, 1), item), 15, 4)
	additional := map[protowire.Number]uint64{}
	_, items, ok := Parse(message, 1, func(encoded []byte) (Item, bool) {
		return ParseItem(encoded, func(number protowire.Number, value uint64) { additional[number] = value })
	})
	if !ok || !reflect.DeepEqual(items, []Item{{Server: 7, Age: 5}}) || !reflect.DeepEqual(additional, map[protowire.Number]uint64{FirstItemField: 12}) {
		t.Errorf("got items %+v, additional fields %v, ok %v, want server 7 of age 5 with the value 12 in FirstItemField", items, additional, ok)
	}
}

// Malformed messages and those with too many items are rejected, and an age is at most MaxNumber.
func TestBounds(t *testing.T) {
	twoItems := encode(1, Item{Server: 1}, Item{Server: 2})
	if _, _, ok := Parse(twoItems, 1, parseCommon); ok {
		t.Error("Parse accepted a message with more than maxItems items")
	}
	if _, _, ok := Parse(twoItems[:len(twoItems)-1], 2, parseCommon); ok {
		t.Error("Parse accepted a truncated message")
	}
	if _, _, ok := Parse(AppendItem(nil, []byte{8}), 2, parseCommon); ok {
		t.Error("Parse accepted a truncated item")
	}
	item, ok := parseCommon(wireformat.AppendUint(nil, fieldAge, math.MaxUint64))
	if !ok || item.Age != MaxNumber {
		t.Errorf("got age %v ms, ok %v, want MaxNumber", item.Age, ok)
	}
}

func FuzzParse(f *testing.F) {
	const maxItems = 3
	f.Add(encode(3, Item{Server: 5, Age: 20}, Item{Server: 9}))
	f.Add(AppendItem(nil, []byte{8, 0}))
	f.Fuzz(func(t *testing.T, message []byte) {
		fencingToken, items, ok := Parse(message, maxItems, parseCommon)
		if !ok {
			return
		}
		if len(items) > maxItems {
			t.Fatalf("got %d items, want at most maxItems", len(items))
		}
		for _, item := range items {
			if item.Server+1 == 0 { // this server ID would be encoded as 0 and omitted, so the item cannot be encoded again
				return
			}
		}
		tokenAgain, itemsAgain, ok := Parse(encode(fencingToken, items...), maxItems, parseCommon)
		if !ok || tokenAgain != fencingToken || !reflect.DeepEqual(itemsAgain, items) {
			t.Errorf("after a second encoding: want token %d, items %+v, got token %d, items %+v, ok %v", fencingToken, items, tokenAgain, itemsAgain, ok)
		}
	})
}
