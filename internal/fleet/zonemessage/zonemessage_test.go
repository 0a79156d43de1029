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

// What is encoded is read back, ages as whole milliseconds that are not negative.
func TestRoundTrip(t *testing.T) {
	message := encode(9, Item{Server: 0, Age: 1.75}, Item{Server: 1 << 40, Age: -3}, Item{Server: 7, Age: 1e6})
	want := []Item{{Server: 0, Age: 1}, {Server: 1 << 40, Age: 0}, {Server: 7, Age: 1e6}}
	fencingToken, items, ok := Parse(message, len(want), parseCommon)
	if !ok || fencingToken != 9 || !reflect.DeepEqual(items, want) {
		t.Errorf("token %d, %+v, %v", fencingToken, items, ok)
	}
}

// Fields that this release does not know are passed over in messages, and handed to the
// sender's package in items.
func TestFurtherFields(t *testing.T) {
	item := wireformat.AppendUint(Item{Server: 7, Age: 5}.Encode(), FirstItemField, 12)
	message := wireformat.AppendUint(AppendItem(AppendToken(nil, 1), item), 15, 4)
	further := map[protowire.Number]uint64{}
	_, items, ok := Parse(message, 1, func(encoded []byte) (Item, bool) {
		return ParseItem(encoded, func(number protowire.Number, value uint64) { further[number] = value })
	})
	if !ok || !reflect.DeepEqual(items, []Item{{Server: 7, Age: 5}}) || !reflect.DeepEqual(further, map[protowire.Number]uint64{FirstItemField: 12}) {
		t.Errorf("%+v, further fields %v, %v", items, further, ok)
	}
}

// What is malformed or beyond the bounds is refused, and a huge age is bounded.
func TestBounds(t *testing.T) {
	two := encode(1, Item{Server: 1}, Item{Server: 2})
	if _, _, ok := Parse(two, 1, parseCommon); ok {
		t.Error("more items than there may be are accepted")
	}
	if _, _, ok := Parse(two[:len(two)-1], 2, parseCommon); ok {
		t.Error("a message that is cut short is accepted")
	}
	if _, _, ok := Parse(AppendItem(nil, []byte{8}), 2, parseCommon); ok {
		t.Error("an item that is cut short is accepted")
	}
	item, ok := parseCommon(wireformat.AppendUint(nil, fieldAge, math.MaxUint64))
	if !ok || item.Age != MaxNumber {
		t.Errorf("an age of %v ms, %v", item.Age, ok)
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
			t.Fatalf("%d items", len(items))
		}
		for _, item := range items {
			if item.Server+1 == 0 { // a zero that no sender writes: it would be left out
				return
			}
		}
		again, itemsAgain, ok := Parse(encode(fencingToken, items...), maxItems, parseCommon)
		if !ok || again != fencingToken || !reflect.DeepEqual(itemsAgain, items) {
			t.Errorf("token %d, %+v, read again: token %d, %+v, %v", fencingToken, items, again, itemsAgain, ok)
		}
	})
}
