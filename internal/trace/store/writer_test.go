package store

import (
	"math/rand/v2"
	"os"
	"testing"
)

// TestWriterRemovesOldestSegments checks that the total size of a folder's segments stays within
// the limit. The Writer must remove the oldest traces and keep the newest traces.
func TestWriterRemovesOldestSegments(t *testing.T) {
	const (
		traces      = 8000
		folderLimit = 200 << 10 // bytes
	)
	folder := t.TempDir()
	writer := openWriter(t, folder, 50<<10, folderLimit)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range traces {
		addTrace(t, writer, newTrace(rng, i))
	}
	closeWriter(t, writer, testClose)
	total := int64(0)
	for _, path := range listSegments(t, folder) {
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		total += info.Size()
	}
	if total > folderLimit {
		t.Errorf("got segments of %d bytes in total, want at most %d", total, folderLimit)
	}
	found, _ := queryFolder(t, folder, Filter{})
	oldest := found[0].Start
	newest := found[len(found)-1].Start
	if want := testStart + 1000.0*testInterval; oldest < want {
		t.Errorf("got an oldest trace that started at %v, want %v or later", oldest, want)
	}
	if want := testStart + (traces-10.0)*testInterval; newest < want {
		t.Errorf("got a newest trace that started at %v, want %v or later", newest, want)
	}
}
