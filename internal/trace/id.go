package trace

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	idSize     = 16         // bytes of an ID
	idTextSize = 2 * idSize // hex digits of an ID in text form
	// orderSteps is the number of values that Order can return. A float64 represents each of
	// these values exactly.
	orderSteps = 1 << 53
)

// ID identifies a trace. It is the trace-id of W3C Trace Context.
type ID [idSize]byte

// String returns the ID as 32 lower-case hex digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID parses the text that ID.String returns. It reports false for any other text, and for
// the all-zero ID, which W3C Trace Context forbids.
func ParseID(text string) (ID, bool) {
	if len(text) != idTextSize || !isLowerHex(text) {
		return ID{}, false
	}
	var id ID
	_, err := hex.Decode(id[:], []byte(text))
	return id, err == nil && id != ID{}
}

// Order returns a number in (0, 1] that depends only on the ID. The numbers are uniformly
// distributed over random IDs. All routers sample traces by Order, so that they choose the same
// traces.
func (id ID) Order() float64 {
	return (float64(xxhash.Sum64(id[:])>>11) + 1) / orderSteps
}

// Root returns the ID of the root span. The root span represents the client's request with all
// its retries. The ID depends only on the trace's ID, so that all routers derive the same ID
// without communication.
func (id ID) Root() SpanID { return id.Span(0) }

// Span returns a span ID that is derived from the trace's ID and the number n. The span ID is
// never zero.
func (id ID) Span(n uint64) SpanID {
	var seed [idSize + 8]byte
	copy(seed[:], id[:])
	binary.BigEndian.PutUint64(seed[idSize:], n)
	return SpanID(max(xxhash.Sum64(seed[:]), 1))
}

// SpanID identifies a span within its trace. Zero means no span.
type SpanID uint64
