package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

const (
	folderMode  = 0o700
	segmentMode = 0o600
)

// segmentPaths returns the paths of a folder's segments, oldest first.
func segmentPaths(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), segmentSuffix) && entry.Type().IsRegular() {
			paths = append(paths, filepath.Join(folder, entry.Name()))
		}
	}
	slices.Sort(paths) // each name begins with the time of its segment, in a fixed number of digits
	return paths, nil
}

// scanSegment calls visit with each complete block of a segment, until visit returns false. The
// scan ends without an error at a block that is incomplete or has a corrupt header. If the file
// is not a segment, scanSegment returns an error that wraps ErrCorruptBlock.
func scanSegment(segment io.ReaderAt, visit func(blockRef) bool) error {
	if err := checkMagic(segment); err != nil {
		return err
	}
	offset := int64(len(segmentMagic))
	for {
		block, ok := readBlockRef(segment, offset)
		if !ok || !visit(block) {
			return nil
		}
		offset = block.end()
	}
}

// checkMagic checks that the file begins with segmentMagic. If it does not, checkMagic returns
// an error that wraps ErrCorruptBlock.
func checkMagic(segment io.ReaderAt) error {
	magic := make([]byte, len(segmentMagic))
	_, err := segment.ReadAt(magic, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if err != nil || string(magic) != segmentMagic {
		return fmt.Errorf("%w: file is not a trace segment: expected it to begin with %q, got %q", ErrCorruptBlock, segmentMagic, magic)
	}
	return nil
}

// lockSegment locks a segment against other processes. If another process holds the lock, it
// returns an error without waiting. The lock lasts until the file is closed.
func lockSegment(segment *os.File) error {
	return syscall.Flock(int(segment.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// repairSegment truncates a segment after its last intact block. It removes the file if the file
// does not begin with the magic line of a segment. It does nothing if another Writer holds the
// lock of the segment.
func repairSegment(path string) error {
	segment, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // removed by another process
	}
	if err != nil {
		return err
	}
	defer closeSegment(segment)
	if lockSegment(segment) != nil {
		return nil // the Writer of the segment is still running
	}
	info, err := segment.Stat()
	if err != nil {
		return err
	}
	intact, err := intactSize(segment)
	if err != nil {
		return os.Remove(path) // the writing process was killed before it wrote the magic line
	}
	if intact < info.Size() {
		return segment.Truncate(intact)
	}
	return nil
}

// intactSize returns the size, in bytes, of the intact part of a segment. The intact part ends
// before the first block that is incomplete or corrupt.
func intactSize(segment io.ReaderAt) (int64, error) {
	size := int64(len(segmentMagic))
	err := scanSegment(segment, func(block blockRef) bool {
		if _, err := block.readBody(segment); err != nil {
			return false
		}
		size = block.end()
		return true
	})
	return size, err
}

// closeSegment closes a segment and ignores errors. Written data has already been passed to the
// operating system, and a caller could not recover from an error of Close.
func closeSegment(segment *os.File) { _ = segment.Close() }
