// Package spool stores request bodies in files. Like package bodies, it is not used by other
// packages yet. Bodies are split into blocks of a fixed size. The blocks are stored in segment files
// that are preallocated and reused, and each block is sealed, that is, encrypted and authenticated,
// with a key that exists only in memory.
//
// A stolen disk therefore discloses no body. A block that was partially written, was modified, or
// belongs to another body fails authentication. No process reads the files of an ended process. A
// later process lists these files when it opens its spool, and removes them.
package spool

import (
	"crypto/cipher"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// BlockSize is the number of bytes of a body in a block. The last block of a body may be smaller.
const BlockSize = 32 << 10

// fileSuffix is the file name suffix of the segment files of all processes.
const fileSuffix = ".spool"

// Errors of a spool. Methods also return the errors of the FileSystem.
var (
	// ErrFull reports that the spool has no free block and may not add another segment.
	ErrFull = errors.New("spool: no free block, and no segment can be added")
	// ErrCorruptBlock reports a stored block that differs from the block that was written.
	ErrCorruptBlock = errors.New("spool: stored block failed authentication")
	// ErrClosed reports that a body, or its spool, has been closed.
	ErrClosed = errors.New("spool: body or spool is closed")
)

// Options configures a Spool. All fields must be set.
type Options struct {
	FileSystem       FileSystem
	Directory        string
	Name             string // prefix of this process's file names; file names of other processes must not begin with it
	BlocksPerSegment int
	MaxSegments      int // limit of the number of segment files
}

// Spool owns the files of one process. It is safe for concurrent use.
type Spool struct {
	Options
	aead cipher.AEAD

	mu           sync.Mutex
	segments     []File
	free         []blockAddress
	blockCounter uint64 // number of blocks allocated since Open; each block's nonce is made from its current value
	usedBlocks   int
	staleFiles   []string // paths of the files of ended processes
	closed       bool
}

// Usage reports the blocks and files of a Spool.
type Usage struct {
	Blocks     int // blocks of open bodies
	StaleFiles int // files of ended processes that are not removed yet
}

// blockAddress is the location of a block.
type blockAddress struct {
	segment int // index of the segment file
	block   int // index of the block within the segment
}

func (a blockAddress) offset() int64 { return int64(a.block) * sealedSize }

// Open returns a new Spool. It also lists the files of ended processes, which RemoveStaleFile
// removes.
func Open(options Options) (*Spool, error) {
	if options.BlocksPerSegment < 1 || options.MaxSegments < 1 || options.Name == "" {
		return nil, fmt.Errorf("spool: expected BlocksPerSegment and MaxSegments of at least 1 and a non-empty Name, got %d, %d and %q",
			options.BlocksPerSegment, options.MaxSegments, options.Name)
	}
	staleFiles, err := listStaleFiles(options)
	if err != nil {
		return nil, err
	}
	aead, err := newCipher()
	if err != nil {
		return nil, err
	}
	return &Spool{Options: options, aead: aead, staleFiles: staleFiles}, nil
}

// listStaleFiles returns the paths of the spool files in the directory that no process uses.
func listStaleFiles(options Options) ([]string, error) {
	names, err := options.FileSystem.List(options.Directory)
	if err != nil {
		return nil, err
	}
	var stale []string
	for _, name := range names {
		if !strings.HasSuffix(name, fileSuffix) || strings.HasPrefix(name, options.Name+"-") {
			continue
		}
		path := filepath.Join(options.Directory, name)
		inUse, err := options.FileSystem.InUse(path)
		if err != nil {
			return nil, err
		}
		if !inUse {
			stale = append(stale, path)
		}
	}
	return stale, nil
}

// RemoveStaleFile removes one file of an ended process and reports whether other such files are left.
// The spool never calls RemoveStaleFile itself. The caller schedules it as background work.
func (s *Spool) RemoveStaleFile() (more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.staleFiles) == 0 {
		return false, nil
	}
	err = s.FileSystem.Remove(s.staleFiles[0])
	if err == nil || errors.Is(err, os.ErrNotExist) {
		s.staleFiles = s.staleFiles[1:]
		err = nil
	}
	return len(s.staleFiles) > 0, err
}

// Preallocate adds a segment before its blocks are needed. It returns ErrFull if the spool is closed
// or has MaxSegments segments. The caller schedules Preallocate as background work.
func (s *Spool) Preallocate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addSegment()
}

// addSegment creates a segment and preallocates its disk space. A full disk therefore causes an error
// when the segment is added, rather than when a block is written. The caller holds mu.
func (s *Spool) addSegment() error {
	if s.closed || len(s.segments) >= s.MaxSegments {
		return ErrFull
	}
	segment := len(s.segments)
	path := s.segmentPath(segment)
	file, err := s.FileSystem.Create(path)
	if err != nil {
		return err
	}
	if err := file.Truncate(int64(s.BlocksPerSegment) * sealedSize); err != nil {
		return errors.Join(err, file.Close(), s.FileSystem.Remove(path))
	}
	s.segments = append(s.segments, file)
	for i := range s.BlocksPerSegment {
		// Blocks are taken from the end of free. The blocks of a segment are appended in descending
		// order, so that the segment fills from its start.
		s.free = append(s.free, blockAddress{segment: segment, block: s.BlocksPerSegment - 1 - i})
	}
	return nil
}

func (s *Spool) segmentPath(segment int) string {
	return filepath.Join(s.Directory, fmt.Sprintf("%s-%d%s", s.Name, segment, fileSuffix))
}

// allocatedBlock is a block that is allocated to a body but not written yet.
type allocatedBlock struct {
	blockAddress
	file    File
	counter uint64 // number from which the nonce of the block is made; unique within the spool
}

// allocateBlock returns a free block. It adds a segment if there is no free block.
func (s *Spool) allocateBlock() (allocatedBlock, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return allocatedBlock{}, ErrClosed
	}
	if len(s.free) == 0 {
		if err := s.addSegment(); err != nil {
			return allocatedBlock{}, err
		}
	}
	last := len(s.free) - 1
	address := s.free[last]
	s.free = s.free[:last]
	s.usedBlocks++
	s.blockCounter++
	return allocatedBlock{blockAddress: address, file: s.segments[address.segment], counter: s.blockCounter}, nil
}

// freeBlocks returns the blocks of a body to the free list. No other function frees blocks.
func (s *Spool) freeBlocks(blocks []sealedBlock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, block := range blocks {
		s.free = append(s.free, block.blockAddress)
		s.usedBlocks--
	}
}

// segmentFile returns the file of a segment. It returns ErrClosed after the spool is closed.
func (s *Spool) segmentFile(segment int) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	return s.segments[segment], nil
}

// Usage returns the current numbers of used blocks and stale files.
func (s *Spool) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Blocks: s.usedBlocks, StaleFiles: len(s.staleFiles)}
}

// Close closes and removes the spool's own files. After Close, methods of open bodies that need a
// file return ErrClosed.
func (s *Spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	for i, file := range s.segments {
		err = errors.Join(err, file.Close(), s.FileSystem.Remove(s.segmentPath(i)))
	}
	s.segments = nil
	s.free = nil
	s.closed = true
	return err
}
