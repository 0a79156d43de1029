package store

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
)

// blockEnds returns the end offset of each block of a segment.
func blockEnds(t *testing.T, path string) []int64 {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer closeSegment(file)
	var ends []int64
	err = scanSegment(file, func(block blockRef) bool {
		ends = append(ends, block.end())
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return ends
}

// truncations returns the sizes, in bytes, to which TestOpenTruncatesIncompleteBlock truncates a
// segment. They are zero, a size within the magic line, a size within the first block, and
// random sizes.
func truncations(segmentSize int, ends []int64) []int64 {
	const count = 60
	cuts := []int64{0, int64(len(segmentMagic)) - 1, ends[0] - 1}
	rng := rand.New(rand.NewPCG(2, 2))
	for len(cuts) < count {
		cuts = append(cuts, int64(rng.IntN(segmentSize)))
	}
	return cuts
}

// TestOpenTruncatesIncompleteBlock checks the repair of a segment that is incomplete because its
// router was killed. Open must remove an incomplete last block. The complete blocks must stay
// readable.
func TestOpenTruncatesIncompleteBlock(t *testing.T) {
	folder := t.TempDir()
	writeTraces(t, folder, 2000, 1<<30)
	path := listSegments(t, folder)[0]
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ends := blockEnds(t, path)
	if len(ends) < 3 {
		t.Fatalf("got %d blocks, want 3 or more", len(ends))
	}
	for _, cut := range truncations(len(whole), ends) {
		t.Run(fmt.Sprintf("after %d bytes", cut), func(t *testing.T) {
			checkRepaired(t, filepath.Base(path), whole[:cut], ends)
		})
	}
}

// checkRepaired opens and closes a Writer on a folder with a truncated segment. It checks that
// the complete blocks of the segment are readable both before and after the repair. The argument
// ends contains the end offsets of the blocks of the untruncated segment.
func checkRepaired(t *testing.T, name string, incomplete []byte, ends []int64) {
	t.Helper()
	cut := int64(len(incomplete))
	lastEnd := int64(0)
	for _, end := range ends {
		if end <= cut {
			lastEnd = end
		}
	}
	folder := t.TempDir()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, incomplete, segmentMode); err != nil {
		t.Fatal(err)
	}
	before, _ := queryFolder(t, folder, Filter{})
	closeWriter(t, openWriter(t, folder, 1<<20, 1<<30), 1)
	after, _ := queryFolder(t, folder, Filter{})
	if len(before) != len(after) || (lastEnd > 0) != (len(after) > 0) {
		t.Errorf("got %d traces before the repair and %d after it, want both times all traces of the blocks that end at or before offset %d", len(before), len(after), lastEnd)
	}
	info, err := os.Stat(path)
	if cut < int64(len(segmentMagic)) {
		if err == nil {
			t.Errorf("got a file of %d bytes that is not a segment, want it removed", info.Size())
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if want := max(lastEnd, int64(len(segmentMagic))); info.Size() != want {
		t.Errorf("got a segment of %d bytes after the repair, want %d", info.Size(), want)
	}
}

// TestOpenLeavesSegmentOfRunningWriter checks that opening a second Writer on a folder does not
// truncate the segment to which the first Writer is writing.
func TestOpenLeavesSegmentOfRunningWriter(t *testing.T) {
	const incompleteBlock = "half a block"
	const flushTime = testClose + 1e12 // Unix ms, after the finished segment
	folder := t.TempDir()
	writeTraces(t, folder, 1, 1<<20)
	writer := openWriter(t, folder, 1<<20, 1<<30)
	addTrace(t, writer, newTrace(rand.New(rand.NewPCG(2, 2)), 1))
	if err := writer.Flush(flushTime); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.segment.WriteString(incompleteBlock); err != nil {
		t.Fatal(err)
	}
	openWriter(t, folder, 1<<20, 1<<30)
	segments := listSegments(t, folder)
	content, err := os.ReadFile(segments[len(segments)-1])
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(string(content), incompleteBlock) {
		t.Errorf("the segment of a running Writer was truncated to %d bytes, want it unchanged", len(content))
	}
	closeWriter(t, writer, flushTime)
}

// FuzzSegment checks that neither reading nor repairing a segment with arbitrary content panics.
func FuzzSegment(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 8, 200)
	folder := f.TempDir()
	writeTraces(f, folder, 30, 1<<20)
	whole, err := os.ReadFile(listSegments(f, folder)[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Fuzz(func(t *testing.T, input []byte) {
		content := input
		if len(input)%2 == 1 {
			content = corruptSegment(whole, input)
		}
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "1"+segmentSuffix), content, segmentMode); err != nil {
			t.Fatal(err)
		}
		// Errors of the query are expected, because blocks are corrupt.
		_, _ = readIndex(t, folder).Query(Filter{}, func(*trace.Trace) bool { return true })
		closeWriter(t, openWriter(t, folder, 1<<20, 1<<30), 1)
	})
}

// corruptSegment returns a copy of a segment with changed bytes. The input determines which
// bytes change and how.
func corruptSegment(segment, input []byte) []byte {
	corrupted := append([]byte(nil), segment...)
	for i, c := range input {
		corrupted[(i*997+int(c)*31)%len(corrupted)] ^= c
	}
	return corrupted
}
