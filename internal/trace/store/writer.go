package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"garnetline/internal/trace"
)

// Writer appends traces to the segments of a folder. It is not safe for concurrent use.
// Several processes may each have a Writer on the same folder.
type Writer struct {
	folder       string
	segmentLimit int64 // bytes of a segment
	folderLimit  int64 // bytes of all segments
	builder      blockBuilder

	segment      *os.File // nil: the next block begins one
	segmentSize  int64    // bytes
	segmentCount int      // begun by this Writer
	latestName   float64  // Unix ms, the time in the name of the latest segment
}

// Open returns a Writer on a folder, which it creates if it does not exist. It truncates
// segments that a killed process left incomplete. The limits are in bytes, of one segment and
// of all of them; the oldest segments are removed to stay within the second.
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

// Add adds a trace. It is on disk after the next Flush, or once its block is full. An error
// means that the block with the trace is lost.
func (w *Writer) Add(t *trace.Trace) error {
	w.builder.add(t)
	if w.builder.full() {
		return w.Flush(t.End)
	}
	return nil
}

// Flush writes the traces that were added. A segment that it begins is named for the time, in
// Unix ms. After an error those traces are lost, and the next block begins a segment.
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
		w.endSegment() // it ends in an incomplete block
	}
	return err
}

// Close flushes, and ends the segment. The time is that of Flush.
func (w *Writer) Close(now float64) error {
	err := w.Flush(now)
	w.endSegment()
	return err
}

// beginSegment creates a segment, after making space for it.
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

// nextPath returns the path of the next segment. Names sort in the order of their segments,
// also when the clock is set back.
func (w *Writer) nextPath(now float64) string {
	w.segmentCount++
	w.latestName = max(now, w.latestName)
	name := fmt.Sprintf("%015.0f-%d-%04d%s", w.latestName, os.Getpid(), w.segmentCount, segmentSuffix)
	return filepath.Join(w.folder, name)
}

// removeOldest removes the oldest segments until one more fits into the folder.
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
			continue // removed by another process
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

// endSegment closes the segment, if there is one. No other method closes it.
func (w *Writer) endSegment() {
	if w.segment != nil {
		closeSegment(w.segment)
		w.segment = nil
	}
}
