package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"garnetline/internal/trace"
)

const segmentSuffix = ".traces"

// Writer appends traces to the segments of a folder. It is not safe for concurrent
// use. Several processes may each have one on the same folder.
type Writer struct {
	folder                    string
	segmentLimit, folderLimit int64 // bytes of a segment, and of all
	builder                   blockBuilder
	segment                   *os.File
	segmentSize               int64
	segmentCount              int
	latestName                float64 // Unix ms that the latest segment's name holds
}

// Open makes a Writer, and cuts off what a killed process left torn.
func Open(folder string, segment, keep int64) (*Writer, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	paths, err := segmentPaths(folder)
	if err != nil {
		return nil, err
	}
	for _, p := range paths {
		if err := repairSegment(p); err != nil {
			return nil, err
		}
	}
	return &Writer{folder: folder, segmentLimit: segment, folderLimit: keep}, nil
}

// segments returns the paths of a folder's segments, the oldest first.
func segmentPaths(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), segmentSuffix) && e.Type().IsRegular() {
			paths = append(paths, filepath.Join(folder, e.Name()))
		}
	}
	slices.Sort(paths) // names begin with the time, in digits of one number
	return paths, nil
}

// mend cuts a segment after its last whole block, unless another process writes it.
func repairSegment(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return nil // its writer lives
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	whole := int64(0)
	err = scanSegment(f, func(r blockRef) bool {
		_, err := r.readBody(f)
		if err == nil {
			whole = r.offset + r.size
		}
		return err == nil
	})
	if err != nil {
		return os.Remove(path) // killed before its first words, or none of ours
	}
	whole = max(whole, int64(len(segmentMagic)))
	if whole < info.Size() {
		return f.Truncate(whole)
	}
	return nil
}

// Add keeps a trace. It is on disk after the next Flush, or when its block is full.
func (w *Writer) Add(t *trace.Trace) error {
	w.builder.add(t)
	if len(w.builder.records) >= blockTarget {
		return w.Flush(t.End)
	}
	return nil
}

// Flush writes what was added. now, in Unix ms, names a segment that it begins. A
// write that fails ends its segment; what was to be written is lost.
func (w *Writer) Flush(now float64) error {
	if w.builder.header.traceCount == 0 {
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
	n, err := w.segment.Write(block)
	w.segmentSize += int64(n)
	if err != nil {
		w.endSegment()
	}
	return err
}

// begin makes a segment, after removing the oldest ones where there is too much.
func (w *Writer) beginSegment(now float64) error {
	if err := w.removeOldest(); err != nil {
		return err
	}
	w.segmentCount++
	w.latestName = max(now, w.latestName)
	name := fmt.Sprintf("%015.0f-%d-%04d%s", w.latestName, os.Getpid(), w.segmentCount, segmentSuffix)
	f, err := os.OpenFile(filepath.Join(w.folder, name), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return err
	}
	if _, err := f.WriteString(segmentMagic); err != nil {
		f.Close()
		return err
	}
	w.segment, w.segmentSize = f, int64(len(segmentMagic))
	return nil
}

// prune removes the oldest segments until one more fits.
func (w *Writer) removeOldest() error {
	paths, err := segmentPaths(w.folder)
	if err != nil {
		return err
	}
	sizes, sum := make([]int64, len(paths)), w.segmentLimit
	for i, p := range paths {
		if info, err := os.Stat(p); err == nil {
			sizes[i] = info.Size()
			sum += sizes[i]
		}
	}
	for i, p := range paths {
		if sum <= w.folderLimit {
			break
		}
		if err := os.Remove(p); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		sum -= sizes[i]
	}
	return nil
}

// end closes the segment that is written. It is the one place where its file is given
// back.
func (w *Writer) endSegment() {
	if w.segment != nil {
		w.segment.Close()
		w.segment = nil
	}
}

// Close writes what was added and closes the segment.
func (w *Writer) Close(now float64) error {
	err := w.Flush(now)
	w.endSegment()
	return err
}

// ref is where a block stands.
type blockRef struct {
	path         string
	offset, size int64 // of the whole block
	bodyOffset   int64 // where its body begins
	bodyChecksum uint32
	header       blockHeader
}

// scan calls f with each whole block of a segment until it returns false. A block that
// is torn ends it without an error; a file that is none is an error.
func scanSegment(f io.ReaderAt, do func(blockRef) bool) error {
	b := make([]byte, len(segmentMagic))
	if _, err := f.ReadAt(b, 0); err != nil || string(b) != segmentMagic {
		if err == nil || errors.Is(err, io.EOF) {
			err = fmt.Errorf("%w: not a segment", ErrCorruptBlock)
		}
		return err
	}
	for at := int64(len(segmentMagic)); ; {
		r, ok := readBlockRef(f, at)
		if !ok || !do(r) {
			return nil
		}
		at += r.size
	}
}

// block reads the head of the block at a place; its body is checked when it is read.
func readBlockRef(f io.ReaderAt, at int64) (r blockRef, ok bool) {
	var lead [preambleSize]byte
	if _, err := f.ReadAt(lead[:], at); err != nil {
		return r, false
	}
	u := binary.BigEndian
	hn, bn := int64(u.Uint32(lead[:])), int64(u.Uint32(lead[4:]))
	if hn > maxHeaderSize || bn < 1 || bn > maxBodySize {
		return r, false
	}
	text := make([]byte, hn)
	if _, err := f.ReadAt(text, at+preambleSize); err != nil || crc32.Checksum(text, castagnoli) != u.Uint32(lead[8:]) {
		return r, false
	}
	var last [1]byte
	if _, err := f.ReadAt(last[:], at+preambleSize+hn+bn-1); err != nil {
		return r, false // cut short
	}
	head, err := parseHeader(text)
	return blockRef{offset: at, size: preambleSize + hn + bn, bodyOffset: at + preambleSize + hn, bodyChecksum: u.Uint32(lead[12:]), header: head}, err == nil
}

// read returns a block's body, or an error where it is not as it was written.
func (r *blockRef) readBody(f io.ReaderAt) ([]byte, error) {
	b := make([]byte, r.offset+r.size-r.bodyOffset)
	if _, err := f.ReadAt(b, r.bodyOffset); err != nil {
		return nil, err
	}
	if crc32.Checksum(b, castagnoli) != r.bodyChecksum {
		return nil, fmt.Errorf("%w: checksum", ErrCorruptBlock)
	}
	return b, nil
}
