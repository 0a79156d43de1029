package spool

import (
	"fmt"
	"io"
	"testing"
)

// BenchmarkKeep measures keeping a body and reading it back, in the spool and in memory
// alone, as growing a slice does.
func BenchmarkWriteAndReadBack(b *testing.B) {
	s, err := Open(Options{FileSystem: OSFileSystem{}, Directory: b.TempDir(), Name: "n", BlocksPerSegment: 64, MaxSegments: 64})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	piece := make([]byte, 16<<10)
	for _, size := range []int{1 << 10, 48_000, 5 << 20, 60 << 20} {
		b.Run(fmt.Sprintf("%d/spool", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				x := s.NewBody()
				for left := size; left > 0; left -= len(piece) {
					if _, err := x.Write(piece[:min(left, len(piece))]); err != nil {
						b.Fatal(err)
					}
				}
				if n, err := io.Copy(io.Discard, io.NewSectionReader(x, 0, x.Size())); err != nil || n != int64(size) {
					b.Fatal(n, err)
				}
				x.Close()
			}
		})
		b.Run(fmt.Sprintf("%d/memory", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				var x []byte
				for left := size; left > 0; left -= len(piece) {
					x = append(x, piece[:min(left, len(piece))]...)
				}
				if len(x) != size {
					b.Fatal(len(x))
				}
			}
		})
	}
}
