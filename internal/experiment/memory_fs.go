package experiment

import (
	"io/fs"
	"slices"

	"garnetline/internal/fleet/consensus/wal"
)

// memoryFS is a voter's directory in memory. It counts the syncs, and the bytes that the files would
// take on a disk. It is not safe for concurrent use.
type memoryFS struct {
	files    map[string][]byte
	syncs    int
	maxBytes int // largest total size of all files so far
}

func newMemoryFS() *memoryFS { return &memoryFS{files: map[string][]byte{}} }

// ReadFile returns a copy of a file's content, or fs.ErrNotExist.
func (m *memoryFS) ReadFile(name string) ([]byte, error) {
	content, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(content), nil
}

// Append opens a file for appending, and creates it if it does not exist.
func (m *memoryFS) Append(name string) (wal.File, error) {
	m.files[name] = append(m.files[name], []byte{}...)
	return &memoryFile{directory: m, name: name}, nil
}

// Rename renames a file, and replaces a file that has the new name.
func (m *memoryFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

// Remove removes a file.
func (m *memoryFS) Remove(name string) error {
	delete(m.files, name)
	return nil
}

// Sync counts a sync of the directory.
func (m *memoryFS) Sync() error {
	m.syncs++
	return nil
}

func (m *memoryFS) size() int {
	total := 0
	for _, content := range m.files {
		total += len(content)
	}
	return total
}

// memoryFile is a file of a memoryFS that is open for appending.
type memoryFile struct {
	directory *memoryFS
	name      string
}

// Write appends to the file.
func (f *memoryFile) Write(b []byte) (int, error) {
	f.directory.files[f.name] = append(f.directory.files[f.name], b...)
	f.directory.maxBytes = max(f.directory.maxBytes, f.directory.size())
	return len(b), nil
}

// Sync counts a sync of the file.
func (f *memoryFile) Sync() error {
	f.directory.syncs++
	return nil
}

// Truncate cuts the file to the given length in bytes.
func (f *memoryFile) Truncate(length int64) error {
	f.directory.files[f.name] = f.directory.files[f.name][:length]
	return nil
}

// Close does nothing.
func (f *memoryFile) Close() error { return nil }
