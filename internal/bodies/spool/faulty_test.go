package spool

import (
	"bytes"
	"syscall"
)

// writeFault is the way in which a write fails.
type writeFault int

const (
	writeNothing  writeFault = iota // write nothing and return an error
	writeHalf                       // write the first half of the data and return no error
	writeFlipped                    // flip one bit of the data and return no error
	writeFaultEnd                   // number of write faults
)

// faultyFileSystem is a file system in which one call fails. It counts its own calls and those of
// its files. The call with the number failingCall fails.
type faultyFileSystem struct {
	OSFileSystem
	failingCall int // starting at 1; 0 means that no call fails
	calls       int
	writeFault  writeFault
}

func (f *faultyFileSystem) fails() bool {
	f.calls++
	return f.calls == f.failingCall
}

func (f *faultyFileSystem) Create(path string) (File, error) {
	if f.fails() {
		return nil, syscall.EMFILE
	}
	created, err := f.OSFileSystem.Create(path)
	return &faultyFile{created, f}, err
}

func (f *faultyFileSystem) Remove(path string) error {
	if f.fails() {
		return syscall.EIO
	}
	return f.OSFileSystem.Remove(path)
}

func (f *faultyFileSystem) List(directory string) ([]string, error) {
	if f.fails() {
		return nil, syscall.EIO
	}
	return f.OSFileSystem.List(directory)
}

func (f *faultyFileSystem) InUse(path string) (bool, error) {
	if f.fails() {
		return false, syscall.EIO
	}
	return f.OSFileSystem.InUse(path)
}

// faultyFile is a file of a faultyFileSystem.
type faultyFile struct {
	File
	fileSystem *faultyFileSystem
}

func (f *faultyFile) Truncate(size int64) error {
	if f.fileSystem.fails() {
		return syscall.ENOSPC
	}
	return f.File.Truncate(size)
}

func (f *faultyFile) WriteAt(data []byte, offset int64) (int, error) {
	if !f.fileSystem.fails() {
		return f.File.WriteAt(data, offset)
	}
	switch f.fileSystem.writeFault {
	case writeNothing:
		return 0, syscall.ENOSPC
	case writeHalf:
		return f.File.WriteAt(data[:len(data)/2], offset)
	}
	flipped := bytes.Clone(data)
	flipped[len(flipped)/3] ^= 1
	return f.File.WriteAt(flipped, offset)
}

func (f *faultyFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if f.fileSystem.fails() {
		return 0, syscall.EIO
	}
	return f.File.ReadAt(buffer, offset)
}
