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

// writeGoldenSegment writes twelve traces to two blocks of one segment and returns the traces.
func writeGoldenSegment(t *testing.T, folder string) []*trace.Trace {
	t.Helper()
	const (
		traces           = 12
		lastOfFirstBlock = 7
	)
	writer := openWriter(t, folder, 1<<20, 1<<30)
	rng := rand.New(rand.NewPCG(11, 1))
	var written []*trace.Trace
	for i := range traces {
		added := newTrace(rng, i)
		written = append(written, added)
		addTrace(t, writer, added)
		if i != lastOfFirstBlock {
			continue
		}
		if err := writer.Flush(added.End); err != nil {
			t.Fatal(err)
		}
	}
	closeWriter(t, writer, written[traces-1].End)
	return written
}

// TestSegmentMatchesGolden checks that the segment format does not change. Retained traces stay
// on disk when a router is updated, and the new version must be able to read them.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestSegmentMatchesGolden(t *testing.T) {
	folder := t.TempDir()
	written := writeGoldenSegment(t, folder)
	segments := listSegments(t, folder)
	if len(segments) != 1 {
		t.Fatalf("got %d segments, want 1", len(segments))
	}
	content, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "segment.bin", content)

	goldenFolder := t.TempDir()
	path := filepath.Join(goldenFolder, "001700000000000-1-0001.traces")
	if err := os.WriteFile(path, golden.Read(t, "segment.bin"), segmentMode); err != nil {
		t.Fatal(err)
	}
	found, _ := queryFolder(t, goldenFolder, Filter{})
	if len(found) != len(written) {
		t.Fatalf("got %d traces from the golden segment, want %d", len(found), len(written))
	}
	for i := range found {
		got := trace.Append(nil, found[i])
		want := trace.Append(nil, written[i])
		if !bytes.Equal(got, want) {
			t.Errorf("trace %d: got %+v, want %+v", i, found[i], written[i])
		}
	}
}
