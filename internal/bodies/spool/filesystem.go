package spool

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// Permissions of what a spool makes: for its owner alone.
const (
	filePermissions      = 0o600
	directoryPermissions = 0o700
)

// File is what a spool needs of a file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the size in bytes and allocates as much on disk, as far as possible.
	Truncate(size int64) error
}

// FileSystem is what a spool needs of a file system. Its errors are passed on.
type FileSystem interface {
	// Create makes a file that is in use by this process until it is closed.
	Create(path string) (File, error)
	Remove(path string) error
	// List returns the names of the files in a directory, which it makes if there is none.
	List(directory string) ([]string, error)
	// InUse reports whether a running process uses a file.
	InUse(path string) (bool, error)
}

// OSFileSystem is the FileSystem of the operating system. A file is in use while a process holds
// its lock, which ends with the process.
type OSFileSystem struct{}

// Create makes a file for its owner alone, or empties it, and locks it.
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

// lock locks a file until it is closed, or fails at once if another process has it locked.
func lock(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// preallocatedFile is a file whose disk space is allocated when its size is set, not when it is
// written.
type preallocatedFile struct{ *os.File }

// Truncate sets the size and allocates the disk space. Where the file system cannot allocate it
// ahead, a full disk is met when blocks are written.
func (f preallocatedFile) Truncate(size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) {
		return f.File.Truncate(size)
	}
	return err
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// List returns the names of the regular files in a directory, which it makes if there is none.
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

// InUse reports whether a process has the file locked. A file that does not exist is not in use.
func (OSFileSystem) InUse(path string) (bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }() // only read, so that nothing can be lost
	return lock(file) != nil, nil
}
