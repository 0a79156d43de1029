// Package form writes the fields of what routers say to each other, in protobuf's form:
// numbers and strings, left out where they are zero.
package wireformat

import "google.golang.org/protobuf/encoding/protowire"

// AppendUint appends a number, unless it is 0.
func AppendUint(b []byte, f protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
}

// AppendString appends a string, unless it is empty.
func AppendString(b []byte, f protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, f, protowire.BytesType), s)
}
