package wireformat

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// collect returns the fields of a message as text, up to the first invalid field.
func collect(parse func([]byte, VisitFunc) bool, message []byte) (fields []string, ok bool) {
	ok = parse(message, func(number protowire.Number, value uint64, content []byte) bool {
		fields = append(fields, fmt.Sprintf("%d=%d %q", number, value, content))
		return number != 99
	})
	return fields, ok
}

func TestParseFields(t *testing.T) {
	varint := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 300)
	text := protowire.AppendString(protowire.AppendTag(nil, 2, protowire.BytesType), "abc")
	fixed64 := protowire.AppendFixed64(protowire.AppendTag(nil, 3, protowire.Fixed64Type), 7)
	fixed32 := protowire.AppendFixed32(protowire.AppendTag(nil, 4, protowire.Fixed32Type), 7)
	rejected := protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1)
	for name, test := range map[string]struct {
		message         []byte
		plain, extended []string
		ok, extendedOK  bool
	}{
		"nothing":                     {nil, nil, nil, true, true},
		"number and string":           {slices.Concat(varint, text), []string{`1=300 ""`, `2=0 "abc"`}, []string{`1=300 ""`, `2=0 "abc"`}, true, true},
		"fixed64":                     {slices.Concat(varint, fixed64), []string{`1=300 ""`}, []string{`1=300 ""`, `3=7 ""`}, false, true},
		"fixed32":                     {slices.Concat(text, fixed32), []string{`2=0 "abc"`}, []string{`2=0 "abc"`}, false, false},
		"refused by the caller":       {slices.Concat(rejected, text), []string{`99=1 ""`}, []string{`99=1 ""`}, false, false},
		"tag without a value":         {[]byte{8}, nil, nil, false, false},
		"string cut short":            {text[:len(text)-1], nil, nil, false, false},
		"fixed64 cut short":           {fixed64[:len(fixed64)-1], nil, nil, false, false},
		"number of a field that is 0": {[]byte{0, 1}, nil, nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got, ok := collect(ParseFields, test.message); !slices.Equal(got, test.plain) || ok != test.ok {
				t.Errorf("ParseFields: got fields %v, ok %v, want %v, %v", got, ok, test.plain, test.ok)
			}
			if got, ok := collect(ParseFieldsFixed64, test.message); !slices.Equal(got, test.extended) || ok != test.extendedOK {
				t.Errorf("ParseFieldsFixed64: got fields %v, ok %v, want %v, %v", got, ok, test.extended, test.extendedOK)
			}
		})
	}
}

// Zero values are omitted. Strict decoders rely on this.
func TestAppendOmitsZeroValues(t *testing.T) {
	b := AppendString(AppendUint(AppendUint(AppendString(nil, 1, ""), 2, 0), 3, 5), 4, "x")
	if got, ok := collect(ParseFields, b); !ok || !slices.Equal(got, []string{`3=5 ""`, `4=0 "x"`}) {
		t.Errorf("got fields %v, ok %v, want only fields 3 and 4", got, ok)
	}
}
