package spool

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// Permissions of the files and directories that a spool creates. Only their owner has access.
const (
	filePermissions      = 0o600
	directoryPermissions = 0o700
)

// File is the set of file operations that a spool needs.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the size in bytes. If the file system can preallocate, Truncate also allocates
	// that much disk space.
	Truncate(size int64) error
}

// FileSystem is the set of file system operations that a spool needs. The spool returns the errors of
// these operations to its caller.
type FileSystem interface {
	// Create creates a file. The file is in use by this process until it is closed.
	Create(path string) (File, error)
	Remove(path string) error
	// List returns the names of the files in a directory. It creates a missing directory.
	List(directory string) ([]string, error)
	// InUse reports whether a running process uses the file.
	InUse(path string) (bool, error)
}

// OSFileSystem is the FileSystem of the operating system. A file is in use while a process holds
// its lock. The operating system releases the lock when the process ends.
type OSFileSystem struct{}

// Create creates a file that only its owner can access, or truncates an existing one, and locks it.
func (OSFileSystem) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := lock(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return preallocatedFile{file}, nil
}

// lock locks a file until the file is closed. If another process holds the lock, it returns an error
// without waiting.
func lock(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// preallocatedFile is a file whose disk space is allocated when its size is set rather than when its
// bytes are written.
type preallocatedFile struct{ *os.File }

// Truncate sets the size and allocates the disk space. If the file system cannot preallocate, a full
// disk is noticed only when blocks are written.
func (f preallocatedFile) Truncate(size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) {
		return f.File.Truncate(size)
	}
	return err
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// List returns the names of the regular files in a directory. It creates a missing directory.
func (OSFileSystem) List(directory string) ([]string, error) {
	if err := os.MkdirAll(directory, directoryPermissions); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(directory)
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// InUse reports whether a process holds the lock of the file. A missing file is not in use.
func (OSFileSystem) InUse(path string) (bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }() // nothing was written, so a failed close loses no data
	return lock(file) != nil, nil
}
