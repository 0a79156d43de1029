package trace

import (
	"encoding/hex"
	"fmt"
	"strconv"
)

// Parent is a W3C traceparent: whose work a request is part of.
type SpanContext struct {
	Trace   ID
	Span    SpanID
	Sampled bool
}

// maxParent bounds what is looked at: later versions may add fields.
const maxTraceparentLength = 256

// ParseParent reads a traceparent header. One that is malformed, oversized, of
// version ff or all zero is none, as the specification wants: the request is then
// the first of a new trace. A later version is read by the fields of version 00.
func ParseTraceparent(s string) (p SpanContext, ok bool) {
	if len(s) < 55 || len(s) > maxTraceparentLength || s[2] != '-' || s[35] != '-' || s[52] != '-' || !isLowerHex(s[:2]) || s[:2] == "ff" {
		return SpanContext{}, false
	}
	if s[:2] == "00" && len(s) != 55 || len(s) > 55 && s[55] != '-' {
		return SpanContext{}, false
	}
	id, ok := ParseID(s[3:35])
	span, err := strconv.ParseUint(s[36:52], 16, 64)
	if !ok || err != nil || !isLowerHex(s[36:52]) || span == 0 || !isLowerHex(s[53:55]) {
		return SpanContext{}, false
	}
	flags, err := strconv.ParseUint(s[53:55], 16, 8)
	return SpanContext{id, SpanID(span), flags&1 != 0}, err == nil
}

// String is the header of version 00.
func (p SpanContext) String() string {
	flags := 0
	if p.Sampled {
		flags = 1
	}
	return fmt.Sprintf("00-%s-%016x-%02x", hex.EncodeToString(p.Trace[:]), uint64(p.Span), flags)
}

// lower tells whether s is of lower-case hex digits alone.
func isLowerHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
