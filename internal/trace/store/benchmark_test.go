package store

import (
	"fmt"
	"testing"

	"garnetline/internal/trace"
)

// BenchmarkQuery measures queries in folders of 10,000, 100,000 and 1,000,000 spans. "index" is
// a query that skips blocks by their headers. "scan" is a query that decodes and tests each
// trace. "read" measures reading the headers of all blocks.
func BenchmarkQuery(b *testing.B) {
	const spansPerTrace = 3
	for _, spanCount := range []int{10_000, 100_000, 1_000_000} {
		folder := b.TempDir()
		written := writeTraces(b, folder, spanCount/spansPerTrace+1, 8<<20)
		index := readIndex(b, folder)
		_, _, spans := index.Stat()
		for _, query := range []struct {
			name   string
			filter Filter
		}{
			{"id", Filter{ID: written[len(written)/2].ID}},
			{"failed", Filter{Outcomes: 1 << trace.Failed}},
			{"slow", Filter{MinDuration: slowDuration}},
			{"server", Filter{Server: failingServer}},
		} {
			visitAll := func(*trace.Trace) bool { return true }
			b.Run(fmt.Sprintf("spans=%d/%s/index", spans, query.name), func(b *testing.B) {
				for b.Loop() {
					if _, err := index.Query(query.filter, visitAll); err != nil {
						b.Fatal(err)
					}
				}
			})
			match := func(t *trace.Trace) bool {
				query.filter.Matches(t)
				return true
			}
			b.Run(fmt.Sprintf("spans=%d/%s/scan", spans, query.name), func(b *testing.B) {
				for b.Loop() {
					if _, err := index.Query(Filter{}, match); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
		b.Run(fmt.Sprintf("spans=%d/read", spans), func(b *testing.B) {
			for b.Loop() {
				readIndex(b, folder)
			}
		})
	}
}
