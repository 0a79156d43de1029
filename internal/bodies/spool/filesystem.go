package spool

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// Disk is the file layer of the machine. A file is held by a lock that ends with its
// process.
type OSFileSystem struct{}

// Create makes a file for its owner alone.
func (OSFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return preallocatedFile{f}, nil
}

// allocated is a file whose room is taken when it is made, not when it is written.
type preallocatedFile struct{ *os.File }

// Truncate sets the size and takes the room for it. Where the file system cannot take
// it ahead, a disk that is full says so when blocks are written.
func (f preallocatedFile) Truncate(size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) {
		return f.File.Truncate(size)
	}
	return err
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// Names returns the names of a folder's files.
func (OSFileSystem) List(folder string) (names []string, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(folder)
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Held tries the lock.
func (OSFileSystem) InUse(path string) (bool, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil, nil
}
