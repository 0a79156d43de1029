package store

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"garnetline/internal/golden"
	"garnetline/internal/trace"
)

// Segments are read by later releases, and written as they always were.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestSegmentMatchesGolden(t *testing.T) {
	folder := t.TempDir()
	w, err := Open(folder, 1<<20, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(11, 1))
	var all []*trace.Trace
	for i := range 12 {
		x := newTrace(rng, i)
		all = append(all, x)
		if err := w.Add(x); err != nil {
			t.Fatal(err)
		}
		if i == 7 { // a second block
			if err := w.Flush(x.End); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := w.Close(all[11].End); err != nil {
		t.Fatal(err)
	}
	paths, err := segmentPaths(folder)
	if err != nil || len(paths) != 1 {
		t.Fatal(paths, err)
	}
	written, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "segment.bin", written)

	old := t.TempDir()
	if err := os.WriteFile(filepath.Join(old, "001700000000000-1-0001.traces"), golden.Read(t, "segment.bin"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, _ := queryFolder(t, old, Filter{})
	if len(got) != len(all) {
		t.Fatalf("%d traces read back, want %d", len(got), len(all))
	}
	for i := range got {
		if !bytes.Equal(trace.Append(nil, got[i]), trace.Append(nil, all[i])) {
			t.Errorf("trace %d read back: %+v", i, got[i])
		}
	}
}
