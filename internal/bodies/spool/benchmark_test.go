package spool

import (
	"fmt"
	"io"
	"testing"
)

// benchmarkPart is the number of bytes of a body that are written at a time.
const benchmarkPart = 16 << 10

// BenchmarkWriteAndReadBack measures storing a body and reading it back, in a spool and, for
// comparison, in a slice that grows.
func BenchmarkWriteAndReadBack(b *testing.B) {
	spool := openSpool(b, Options{FileSystem: OSFileSystem{}, Directory: b.TempDir(), Name: "n", BlocksPerSegment: 64, MaxSegments: 64})
	defer func() {
		if err := spool.Close(); err != nil {
			b.Error(err)
		}
	}()
	for _, size := range []int{1 << 10, 48_000, 5 << 20, 60 << 20} {
		b.Run(fmt.Sprintf("%d/spool", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				writeToSpool(b, spool, size)
			}
		})
		b.Run(fmt.Sprintf("%d/memory", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				writeToMemory(b, size)
			}
		})
	}
}

var benchmarkData [benchmarkPart]byte

func writeToSpool(b *testing.B, spool *Spool, size int) {
	b.Helper()
	body := spool.NewBody()
	defer body.Close()
	for left := size; left > 0; left -= benchmarkPart {
		if _, err := body.Write(benchmarkData[:min(left, benchmarkPart)]); err != nil {
			b.Fatal(err)
		}
	}
	n, err := io.Copy(io.Discard, io.NewSectionReader(body, 0, body.Size()))
	if err != nil || n != int64(size) {
		b.Fatalf("read %d of %d bytes: %v", n, size, err)
	}
}

func writeToMemory(b *testing.B, size int) {
	b.Helper()
	var body []byte
	for left := size; left > 0; left -= benchmarkPart {
		body = append(body, benchmarkData[:min(left, benchmarkPart)]...)
	}
	if len(body) != size {
		b.Fatalf("got %d bytes, want %d", len(body), size)
	}
}
