// Package spool stores request bodies in files; like package bodies it is not called by anything
// yet. Bodies are cut into blocks of a fixed size, in segment files that are preallocated and
// reused, and each block is sealed with a key that exists only in memory.
//
// So a stolen disk discloses nothing, and a block that was torn, changed, or is another body's
// does not open. Nothing is read back after the process has ended: the files that an ended
// process left behind are removed at the next start.
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

// BlockSize is how many bytes of a body a block holds; the last one of a body may hold fewer.
const BlockSize = 32 << 10

// fileSuffix is that of all segment files, also of other processes.
const fileSuffix = ".spool"

// Errors of a spool. Those of the file system are passed on besides.
var (
	// ErrFull reports that the spool has as many segments as it may, and no free block.
	ErrFull = errors.New("spool: full")
	// ErrCorruptBlock reports a block that is not as it was written.
	ErrCorruptBlock = errors.New("spool: block does not open")
	// ErrClosed reports that a body, or its spool, has been closed.
	ErrClosed = errors.New("spool: body has ended")
)

// Options is what a Spool is made with. All fields must be set.
type Options struct {
	FileSystem       FileSystem
	Directory        string
	Name             string // prefix of this process's files; no other process's may begin with it
	BlocksPerSegment int
	MaxSegments      int
}

// Spool owns the files of one process. It is safe for concurrent use.
type Spool struct {
	Options
	aead cipher.AEAD

	mu           sync.Mutex
	segments     []File
	free         []blockAddress
	sealedBlocks uint64 // so far, from which nonces are made: none is used twice
	usedBlocks   int
	staleFiles   []string // paths of files of ended processes
	closed       bool
}

// Usage is what a Spool holds.
type Usage struct {
	Blocks     int // held by open bodies
	StaleFiles int // of ended processes, not removed yet
}

// blockAddress is where a block is stored.
type blockAddress struct {
	segment int // index of the segment file
	block   int // index within it
}

func (a blockAddress) offset() int64 { return int64(a.block) * sealedSize }

// Open makes a Spool and lists the files of ended processes, which RemoveStaleFile removes.
func Open(options Options) (*Spool, error) {
	if options.BlocksPerSegment < 1 || options.MaxSegments < 1 || options.Name == "" {
		return nil, fmt.Errorf("spool: BlocksPerSegment %d, MaxSegments %d, Name %q: want some of each",
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

// listStaleFiles returns the paths of the directory's spool files that no process uses.
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

// RemoveStaleFile removes one file of an ended process, and reports whether more are left. It is
// background work: the caller decides when.
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

// Preallocate adds a segment ahead of need. It returns ErrFull if there are as many as there may
// be. It is background work: the caller decides when.
func (s *Spool) Preallocate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addSegment()
}

// addSegment preallocates a segment, so that a full disk is met here and not in the middle of a
// body. The caller holds mu.
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
		// The last free block is used first, so that a segment fills from its start.
		s.free = append(s.free, blockAddress{segment: segment, block: s.BlocksPerSegment - 1 - i})
	}
	return nil
}

func (s *Spool) segmentPath(segment int) string {
	return filepath.Join(s.Directory, fmt.Sprintf("%s-%d%s", s.Name, segment, fileSuffix))
}

// allocatedBlock is a block that is to be written.
type allocatedBlock struct {
	blockAddress
	file    File
	counter uint64 // unique within the spool
}

// allocateBlock returns a free block, in a new segment if need be.
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
	s.sealedBlocks++
	return allocatedBlock{blockAddress: address, file: s.segments[address.segment], counter: s.sealedBlocks}, nil
}

// freeBlocks frees the blocks of a body. Every block is freed here.
func (s *Spool) freeBlocks(blocks []sealedBlock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, block := range blocks {
		s.free = append(s.free, block.blockAddress)
		s.usedBlocks--
	}
}

// segmentFile returns the file of a segment, or ErrClosed.
func (s *Spool) segmentFile(segment int) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	return s.segments[segment], nil
}

// Usage returns what the spool holds now.
func (s *Spool) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Blocks: s.usedBlocks, StaleFiles: len(s.staleFiles)}
}

// Close removes the spool's own files. Bodies that are open fail from then on.
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
