package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"garnetline/internal/trace"
)

// Writer appends traces to the segments of a folder. It is not safe for concurrent use. Several
// processes may each have a Writer on the same folder, because each Writer creates its own
// segments.
type Writer struct {
	folder       string
	segmentLimit int64 // maximum size of a segment, in bytes
	folderLimit  int64 // maximum size of all segments together, in bytes
	builder      blockBuilder

	segment      *os.File // open segment; nil if the next block begins a new segment
	segmentSize  int64    // bytes
	segmentCount int      // number of segments that this Writer has begun
	latestName   float64  // time in the name of the latest segment, in Unix ms
}

// Open returns a Writer on a folder and creates the folder if it does not exist. If a process
// was killed while it wrote a segment, Open removes the incomplete block of that segment.
// segmentLimit is the maximum size of one segment, in bytes. folderLimit is the maximum total
// size of all segments, in bytes. The Writer removes the oldest segments to stay within
// folderLimit.
func Open(folder string, segmentLimit, folderLimit int64) (*Writer, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, err
	}
	paths, err := segmentPaths(folder)
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		if err := repairSegment(path); err != nil {
			return nil, err
		}
	}
	return &Writer{folder: folder, segmentLimit: segmentLimit, folderLimit: folderLimit}, nil
}

// Add adds a trace to the current block and writes the block if it is full. A block that is not
// full is written by the next Flush. After an error, all traces of the block are lost.
func (w *Writer) Add(t *trace.Trace) error {
	w.builder.add(t)
	if w.builder.full() {
		return w.Flush(t.End)
	}
	return nil
}

// Flush writes the traces that were added but not written yet. If Flush begins a segment, the
// name of the segment contains the time now, in Unix ms. After an error, the unwritten traces
// are lost, and the next block begins a new segment.
func (w *Writer) Flush(now float64) error {
	if w.builder.empty() {
		return nil
	}
	block := w.builder.finish()
	if w.segment != nil && w.segmentSize+int64(len(block)) > w.segmentLimit {
		w.endSegment()
	}
	if w.segment == nil {
		if err := w.beginSegment(now); err != nil {
			return err
		}
	}
	written, err := w.segment.Write(block)
	w.segmentSize += int64(written)
	if err != nil {
		w.endSegment() // the segment may now end with an incomplete block
	}
	return err
}

// Close writes the added traces as Flush does, and closes the segment. now is in Unix ms.
func (w *Writer) Close(now float64) error {
	err := w.Flush(now)
	w.endSegment()
	return err
}

// beginSegment creates a segment. Before that, it removes old segments if the folder would
// exceed its limit. The argument now is in Unix ms.
func (w *Writer) beginSegment(now float64) error {
	if err := w.removeOldest(); err != nil {
		return err
	}
	segment, err := os.OpenFile(w.nextPath(now), os.O_CREATE|os.O_EXCL|os.O_RDWR, segmentMode)
	if err != nil {
		return err
	}
	if err := lockSegment(segment); err != nil {
		closeSegment(segment)
		return err
	}
	if _, err := segment.WriteString(segmentMagic); err != nil {
		closeSegment(segment)
		return err
	}
	w.segment = segment
	w.segmentSize = int64(len(segmentMagic))
	return nil
}

// nextPath returns the path of the next segment. The argument now is in Unix ms. The names of a
// Writer's segments sort in the order in which the segments were created, even if the clock was set
// back.
func (w *Writer) nextPath(now float64) string {
	w.segmentCount++
	w.latestName = max(now, w.latestName)
	name := fmt.Sprintf("%015.0f-%d-%04d%s", w.latestName, os.Getpid(), w.segmentCount, segmentSuffix)
	return filepath.Join(w.folder, name)
}

// removeOldest removes the oldest segments until the folder has room for another segment of the
// maximum size.
func (w *Writer) removeOldest() error {
	paths, err := segmentPaths(w.folder)
	if err != nil {
		return err
	}
	sizes := make([]int64, len(paths))
	total := w.segmentLimit
	for i, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			continue // for example, another process removed the segment
		}
		sizes[i] = info.Size()
		total += sizes[i]
	}
	for i, path := range paths {
		if total <= w.folderLimit {
			break
		}
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		total -= sizes[i]
	}
	return nil
}

// endSegment closes the open segment, if there is one, so that the next block begins a new
// segment.
func (w *Writer) endSegment() {
	if w.segment != nil {
		closeSegment(w.segment)
		w.segment = nil
	}
}
