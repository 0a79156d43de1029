package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// BenchmarkRun answers 1000 batches. In each batch a client sends a request and disconnects.
func BenchmarkRun(b *testing.B) {
	var input strings.Builder
	input.WriteString(startedInstance + "END\n")
	for i := range 1000 {
		fmt.Fprintf(&input, "TURN %d\nSELECT 3\nINGRESS %d 1 6000000 0 0 0 91f03b7c55d20a64 100 0\nLEFT %d\nEND\n", 1_002_000+i, i, i)
	}
	b.SetBytes(int64(input.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if err := run(strings.NewReader(input.String()), io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
