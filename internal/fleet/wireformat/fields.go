package wireformat

import "google.golang.org/protobuf/encoding/protowire"

// VisitFunc is called with each field of a message. The argument value is the value of a number
// field, and the argument content is that of a string field. The content is a slice of the
// message and not a copy. VisitFunc returns false if the field is not valid; the parsing then
// ends.
type VisitFunc func(number protowire.Number, value uint64, content []byte) bool

// ParseFields calls visit with each field of a message of varints and strings. It returns false if
// the message is truncated or malformed, if it has a field of another type, or if visit returns
// false.
func ParseFields(message []byte, visit VisitFunc) bool {
	return parseFields(message, false, visit)
}

// ParseFieldsFixed64 is like ParseFields, but it also accepts fixed64 fields, which hold 64-bit
// numbers.
func ParseFieldsFixed64(message []byte, visit VisitFunc) bool {
	return parseFields(message, true, visit)
}

func parseFields(message []byte, fixed64 bool, visit VisitFunc) bool {
	for len(message) > 0 {
		number, fieldType, n := protowire.ConsumeTag(message)
		if n < 0 {
			return false
		}
		message = message[n:]
		var value uint64
		var content []byte
		switch {
		case fieldType == protowire.VarintType:
			value, n = protowire.ConsumeVarint(message)
		case fieldType == protowire.BytesType:
			content, n = protowire.ConsumeBytes(message)
		case fieldType == protowire.Fixed64Type && fixed64:
			value, n = protowire.ConsumeFixed64(message)
		default:
			return false
		}
		if n < 0 || !visit(number, value, content) {
			return false
		}
		message = message[n:]
	}
	return true
}
