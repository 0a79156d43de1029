package trace

import (
	"fmt"
	"strconv"
)

// SpanContext is the content of a W3C traceparent header. It identifies the span that caused a
// request.
type SpanContext struct {
	Trace   ID
	Span    SpanID
	Sampled bool // the sender records the trace
}

// Offsets in a traceparent header of version 00, which has the form
// version-traceid-spanid-flags.
const (
	versionEnd        = 2
	traceIDStart      = versionEnd + 1
	traceIDEnd        = traceIDStart + idTextSize
	spanIDStart       = traceIDEnd + 1
	spanIDEnd         = spanIDStart + 16
	flagsStart        = spanIDEnd + 1
	traceparentLength = flagsStart + 2

	// maxTraceparentLength is the maximum accepted length of a header, in bytes. A header of a
	// later version may have more fields than version 00.
	maxTraceparentLength = 256

	traceparentVersion = "00"
	invalidVersion     = "ff" // forbidden by the specification
	sampledFlag        = 1
)

// ParseTraceparent parses a traceparent header. It reports false if the header is malformed, is
// longer than 256 bytes, has the version ff or contains an all-zero ID. In that case the caller
// must start a new trace. If the version is later than 00, ParseTraceparent reads only the
// fields that version 00 defines.
func ParseTraceparent(header string) (SpanContext, bool) {
	if !validTraceparentLayout(header) {
		return SpanContext{}, false
	}
	id, validID := ParseID(header[traceIDStart:traceIDEnd])
	span, validSpan := parseHex(header[spanIDStart:spanIDEnd])
	flags, validFlags := parseHex(header[flagsStart:traceparentLength])
	if !validID || !validSpan || !validFlags || span == 0 {
		return SpanContext{}, false
	}
	return SpanContext{Trace: id, Span: SpanID(span), Sampled: flags&sampledFlag != 0}, true
}

// validTraceparentLayout reports whether a header has a valid version, a valid length and dashes
// at the required positions.
func validTraceparentLayout(header string) bool {
	if len(header) < traceparentLength || len(header) > maxTraceparentLength {
		return false
	}
	if header[versionEnd] != '-' || header[traceIDEnd] != '-' || header[spanIDEnd] != '-' {
		return false
	}
	version := header[:versionEnd]
	if !isLowerHex(version) || version == invalidVersion {
		return false
	}
	if len(header) == traceparentLength {
		return true
	}
	return version != traceparentVersion && header[traceparentLength] == '-'
}

// parseHex parses a number of up to 16 lower-case hex digits. It reports false for other text.
func parseHex(digits string) (uint64, bool) {
	if !isLowerHex(digits) {
		return 0, false
	}
	value, err := strconv.ParseUint(digits, 16, 64)
	return value, err == nil
}

// String returns the context as a traceparent header of version 00.
func (c SpanContext) String() string {
	flags := 0
	if c.Sampled {
		flags = sampledFlag
	}
	return fmt.Sprintf(traceparentVersion+"-%s-%016x-%02x", c.Trace.String(), uint64(c.Span), flags)
}

// isLowerHex reports whether the text consists only of digits and the letters a to f.
func isLowerHex(text string) bool {
	for i := range len(text) {
		c := text[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
