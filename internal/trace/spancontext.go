package trace

import (
	"fmt"
	"strconv"
)

// SpanContext is the content of a W3C traceparent header: the span that caused a request.
type SpanContext struct {
	Trace   ID
	Span    SpanID
	Sampled bool // the sender records the trace
}

// The layout of a traceparent header of version 00: version-traceid-spanid-flags. Each field
// is followed by a dash, but for the last one.
const (
	versionEnd        = 2
	traceIDStart      = versionEnd + 1
	traceIDEnd        = traceIDStart + idTextSize
	spanIDStart       = traceIDEnd + 1
	spanIDEnd         = spanIDStart + 16
	flagsStart        = spanIDEnd + 1
	traceparentLength = flagsStart + 2

	// maxTraceparentLength bounds the header of a later version, which may have more fields.
	maxTraceparentLength = 256

	traceparentVersion = "00"
	invalidVersion     = "ff" // which the specification reserves
	sampledFlag        = 1
)

// ParseTraceparent parses a traceparent header. It reports false for one that the
// specification has receivers ignore: malformed, longer than 256 bytes, of version ff, or with
// an ID of zeros. The request then starts a new trace. Of a later version it reads the fields
// of version 00.
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

// validTraceparentLayout checks the version, the length and the places of the dashes.
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

// parseHex parses up to 16 lower-case hex digits.
func parseHex(digits string) (uint64, bool) {
	if !isLowerHex(digits) {
		return 0, false
	}
	value, err := strconv.ParseUint(digits, 16, 64)
	return value, err == nil
}

// String returns the traceparent header of version 00.
func (c SpanContext) String() string {
	flags := 0
	if c.Sampled {
		flags = sampledFlag
	}
	return fmt.Sprintf(traceparentVersion+"-%s-%016x-%02x", c.Trace.String(), uint64(c.Span), flags)
}

// isLowerHex reports whether the text consists of lower-case hex digits.
func isLowerHex(text string) bool {
	for i := range len(text) {
		c := text[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
