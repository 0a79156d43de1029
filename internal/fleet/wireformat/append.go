// Package wireformat encodes and decodes the fields of messages between routers in the encoding of
// Protocol Buffers. Numbers that are 0 and strings that are empty are omitted.
//
// The functions are stateless and may be called by any goroutine.
package wireformat

import "google.golang.org/protobuf/encoding/protowire"

// AppendUint appends a varint field to b, unless the value is 0.
func AppendUint(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
}

// AppendString appends a string field to b, unless the value is empty.
func AppendString(b []byte, field protowire.Number, value string) []byte {
	if value == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), value)
}
