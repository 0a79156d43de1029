package trace

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/golden"
)

// Routers of several releases agree on the root of a trace, on the place of a trace in the
// order by which they sample, and on the header. UPDATE_GOLDEN=1 rewrites testdata.
func TestDerivedValuesMatchGolden(t *testing.T) {
	var text bytes.Buffer
	for n := range byte(8) {
		id := ID{n, 1, 2, 15: 255 - n}
		fmt.Fprintf(&text, "%v root %016x span %016x order %.17g header %s\n", id, uint64(id.Root()), uint64(id.Span(uint64(n)+7)),
			id.Order(), SpanContext{Trace: id, Span: SpanID(n) + 1, Sampled: n%2 == 1})
	}
	for kind := range kindCount + 1 {
		fmt.Fprintf(&text, "kind %v\n", kind)
	}
	for outcome := range outcomeCount + 1 {
		fmt.Fprintf(&text, "outcome %v\n", outcome)
	}
	golden.Compare(t, "derived.txt", text.Bytes())
}
