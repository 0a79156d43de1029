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

// segmentPaths returns the paths of a folder's segments, the oldest first.
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
	slices.Sort(paths) // names begin with the time, in a fixed number of digits
	return paths, nil
}

// scanSegment calls visit with each complete block of a segment until it returns false. An
// incomplete block ends the scan without an error. A file that is not a segment is
// ErrCorruptBlock.
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

func checkMagic(segment io.ReaderAt) error {
	magic := make([]byte, len(segmentMagic))
	_, err := segment.ReadAt(magic, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if err != nil || string(magic) != segmentMagic {
		return fmt.Errorf("%w: not a segment", ErrCorruptBlock)
	}
	return nil
}

// lockSegment locks a segment against other processes, without waiting. The lock lasts until
// the file is closed.
func lockSegment(segment *os.File) error {
	return syscall.Flock(int(segment.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// repairSegment truncates a segment after its last intact block, and removes a file that is
// not a segment. It does nothing while another process writes the segment.
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
		return nil // its writer is running
	}
	info, err := segment.Stat()
	if err != nil {
		return err
	}
	intact, err := intactSize(segment)
	if err != nil {
		return os.Remove(path) // its writer was killed before it wrote the format's line
	}
	if intact < info.Size() {
		return segment.Truncate(intact)
	}
	return nil
}

// intactSize returns the offset after the last block before which all blocks are intact.
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

// closeSegment closes a segment. What was written is with the system already, and nothing
// can be done about an error of closing.
func closeSegment(segment *os.File) { _ = segment.Close() }
