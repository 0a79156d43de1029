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

const suffix = ".traces"

// Writer appends traces to the segments of a folder. It is not safe for concurrent
// use. Several processes may each have one on the same folder.
type Writer struct {
	folder        string
	segment, keep int64 // bytes of a segment, and of all
	b             builder
	f             *os.File
	size          int64
	n             int
	made          float64 // Unix ms that the latest segment's name holds
}

// Open makes a Writer, and cuts off what a killed process left torn.
func Open(folder string, segment, keep int64) (*Writer, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	paths, err := segments(folder)
	if err != nil {
		return nil, err
	}
	for _, p := range paths {
		if err := mend(p); err != nil {
			return nil, err
		}
	}
	return &Writer{folder: folder, segment: segment, keep: keep}, nil
}

// segments returns the paths of a folder's segments, the oldest first.
func segments(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suffix) && e.Type().IsRegular() {
			paths = append(paths, filepath.Join(folder, e.Name()))
		}
	}
	slices.Sort(paths) // names begin with the time, in digits of one number
	return paths, nil
}

// mend cuts a segment after its last whole block, unless another process writes it.
func mend(path string) error {
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
	err = scan(f, func(r ref) bool {
		_, err := r.read(f)
		if err == nil {
			whole = r.at + r.size
		}
		return err == nil
	})
	if err != nil {
		return os.Remove(path) // killed before its first words, or none of ours
	}
	whole = max(whole, int64(len(magic)))
	if whole < info.Size() {
		return f.Truncate(whole)
	}
	return nil
}

// Add keeps a trace. It is on disk after the next Flush, or when its block is full.
func (w *Writer) Add(t *trace.Trace) error {
	w.b.add(t)
	if len(w.b.raw) >= blockRaw {
		return w.Flush(t.End)
	}
	return nil
}

// Flush writes what was added. now, in Unix ms, names a segment that it begins. A
// write that fails ends its segment; what was to be written is lost.
func (w *Writer) Flush(now float64) error {
	if w.b.head.traces == 0 {
		return nil
	}
	block := w.b.bytes()
	if w.f != nil && w.size+int64(len(block)) > w.segment {
		w.end()
	}
	if w.f == nil {
		if err := w.begin(now); err != nil {
			return err
		}
	}
	n, err := w.f.Write(block)
	w.size += int64(n)
	if err != nil {
		w.end()
	}
	return err
}

// begin makes a segment, after removing the oldest ones where there is too much.
func (w *Writer) begin(now float64) error {
	if err := w.prune(); err != nil {
		return err
	}
	w.n++
	w.made = max(now, w.made)
	name := fmt.Sprintf("%015.0f-%d-%04d%s", w.made, os.Getpid(), w.n, suffix)
	f, err := os.OpenFile(filepath.Join(w.folder, name), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return err
	}
	if _, err := f.WriteString(magic); err != nil {
		f.Close()
		return err
	}
	w.f, w.size = f, int64(len(magic))
	return nil
}

// prune removes the oldest segments until one more fits.
func (w *Writer) prune() error {
	paths, err := segments(w.folder)
	if err != nil {
		return err
	}
	sizes, sum := make([]int64, len(paths)), w.segment
	for i, p := range paths {
		if info, err := os.Stat(p); err == nil {
			sizes[i] = info.Size()
			sum += sizes[i]
		}
	}
	for i, p := range paths {
		if sum <= w.keep {
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
func (w *Writer) end() {
	if w.f != nil {
		w.f.Close()
		w.f = nil
	}
}

// Close writes what was added and closes the segment.
func (w *Writer) Close(now float64) error {
	err := w.Flush(now)
	w.end()
	return err
}

// ref is where a block stands.
type ref struct {
	path     string
	at, size int64 // of the whole block
	body     int64 // where its body begins
	sum      uint32
	head     head
}

// scan calls f with each whole block of a segment until it returns false. A block that
// is torn ends it without an error; a file that is none is an error.
func scan(f io.ReaderAt, do func(ref) bool) error {
	b := make([]byte, len(magic))
	if _, err := f.ReadAt(b, 0); err != nil || string(b) != magic {
		if err == nil || errors.Is(err, io.EOF) {
			err = fmt.Errorf("%w: not a segment", ErrBlock)
		}
		return err
	}
	for at := int64(len(magic)); ; {
		r, ok := block(f, at)
		if !ok || !do(r) {
			return nil
		}
		at += r.size
	}
}

// block reads the head of the block at a place; its body is checked when it is read.
func block(f io.ReaderAt, at int64) (r ref, ok bool) {
	var lead [fixed]byte
	if _, err := f.ReadAt(lead[:], at); err != nil {
		return r, false
	}
	u := binary.BigEndian
	hn, bn := int64(u.Uint32(lead[:])), int64(u.Uint32(lead[4:]))
	if hn > maxHead || bn < 1 || bn > maxBody {
		return r, false
	}
	text := make([]byte, hn)
	if _, err := f.ReadAt(text, at+fixed); err != nil || crc32.Checksum(text, castagnoli) != u.Uint32(lead[8:]) {
		return r, false
	}
	var last [1]byte
	if _, err := f.ReadAt(last[:], at+fixed+hn+bn-1); err != nil {
		return r, false // cut short
	}
	head, err := parseHead(text)
	return ref{at: at, size: fixed + hn + bn, body: at + fixed + hn, sum: u.Uint32(lead[12:]), head: head}, err == nil
}

// read returns a block's body, or an error where it is not as it was written.
func (r *ref) read(f io.ReaderAt) ([]byte, error) {
	b := make([]byte, r.at+r.size-r.body)
	if _, err := f.ReadAt(b, r.body); err != nil {
		return nil, err
	}
	if crc32.Checksum(b, castagnoli) != r.sum {
		return nil, fmt.Errorf("%w: checksum", ErrBlock)
	}
	return b, nil
}
