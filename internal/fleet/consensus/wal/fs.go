package wal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"garnetline/internal/failpoint"
)

// Permissions of the log and its directory: only the user that runs the router has access.
const (
	dirMode  fs.FileMode = 0o700
	fileMode fs.FileMode = 0o600
)

// File is an open file of a log.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the directory of a log. Each of its methods may fail.
type FS interface {
	// ReadFile reads a whole file. It returns fs.ErrNotExist if the file does not exist.
	ReadFile(name string) ([]byte, error)
	// Append opens a file for appending, and creates it if it does not exist.
	Append(name string) (File, error)
	Rename(from, to string) error
	// Remove removes a file. It returns no error if the file does not exist.
	Remove(name string) error
	// Sync syncs the directory, so that created and renamed files survive a crash.
	Sync() error
}

// Dir is a directory of the operating system's file system. Its value is the path.
type Dir string

// ReadFile implements FS.
func (d Dir) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(d.path(name))
}

// Append implements FS. It creates the directory if the directory does not exist.
func (d Dir) Append(name string) (File, error) {
	if err := os.MkdirAll(string(d), dirMode); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	return syncDelayFile{f}, err
}

// Rename implements FS.
func (d Dir) Rename(from, to string) error {
	return os.Rename(d.path(from), d.path(to))
}

// Remove implements FS.
func (d Dir) Remove(name string) error {
	if err := os.Remove(d.path(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Sync implements FS.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// syncDelayFile is a file of the operating system. In builds for tests, a failpoint can delay
// its Sync.
type syncDelayFile struct{ *os.File }

func (f syncDelayFile) Sync() error {
	failpoint.BeforeSync()
	return f.File.Sync()
}
