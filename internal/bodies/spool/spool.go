// Package spool keeps bodies in files: blocks of a fixed size in segments that are
// preallocated and used again, each block sealed with a key that lives only in memory.
// A stolen disk tells nothing, and a block that was torn, changed, or is another's does
// not open. Nothing is read back after the process has ended: what a dead one left is
// removed at the next start.
package spool

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Sizes of what is written.
const (
	BlockSize    = 32 << 10 // of a body, in one block; the last may be shorter
	sealOverhead = 16       // the seal
	fileSuffix   = ".spool"
)

var (
	// ErrFull reports that the spool has as many segments as it may, and no free block.
	ErrFull = errors.New("spool: full")
	// ErrSeal reports a block that is not as it was written.
	ErrCorruptBlock = errors.New("spool: block does not open")
	// ErrEnded reports a body that has been given back, or failed before.
	ErrClosed = errors.New("spool: body has ended")
)

// File is what the spool needs of a file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
}

// FS is the file layer. Its errors are passed on.
type FileSystem interface {
	// Create makes a file that this process holds until it is closed.
	Create(path string) (File, error)
	Remove(path string) error
	// Names returns the names in a folder, which it makes where there is none.
	List(folder string) ([]string, error)
	// Held tells whether a living process holds a file.
	InUse(path string) (bool, error)
}

// Options are what a Spool is made with.
type Options struct {
	FileSystem       FileSystem
	Directory        string
	Name             string // of this process's files; no other's may begin with it
	BlocksPerSegment int    // in a segment
	MaxSegments      int    // at the most
}

// Spool owns the files of one process. It is safe for concurrent use.
type Spool struct {
	Options
	aead cipher.AEAD

	mu           sync.Mutex
	segments     []File
	free         []blockAddress
	sealedBlocks uint64 // sealed so far: no nonce is used twice
	usedBlocks   int
	staleFiles   []string // files of dead processes, not removed yet
	closed       bool
}

// place is where a block is.
type blockAddress struct{ segment, block int }

// Open makes a Spool. The files of dead processes are counted, and removed by Sweep.
func Open(o Options) (*Spool, error) {
	if o.BlocksPerSegment < 1 || o.MaxSegments < 1 || o.Name == "" {
		return nil, fmt.Errorf("spool: BlocksPerSegment %d, MaxSegments %d, Name %q: want some of each", o.BlocksPerSegment, o.MaxSegments, o.Name)
	}
	names, err := o.FileSystem.List(o.Directory)
	if err != nil {
		return nil, err
	}
	s := &Spool{Options: o}
	for _, n := range names {
		if !strings.HasSuffix(n, fileSuffix) || strings.HasPrefix(n, o.Name+"-") {
			continue
		}
		path := filepath.Join(o.Directory, n)
		held, err := o.FileSystem.InUse(path)
		if err != nil {
			return nil, err
		}
		if !held {
			s.staleFiles = append(s.staleFiles, path)
		}
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	c, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	s.aead, err = cipher.NewGCM(c)
	return s, err
}

// Sweep removes one file of a dead process, and tells whether more are left. It is
// background work: the caller says when.
func (s *Spool) RemoveStaleFile() (more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.staleFiles) > 0 {
		if err = s.FileSystem.Remove(s.staleFiles[0]); err == nil || errors.Is(err, os.ErrNotExist) {
			s.staleFiles, err = s.staleFiles[1:], nil
		}
	}
	return len(s.staleFiles) > 0, err
}

// Room makes a segment ahead of need, where there may be one more; also background work.
func (s *Spool) Preallocate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addSegment()
}

// more preallocates one segment. A disk that is full says so here, and not in the middle
// of a body.
func (s *Spool) addSegment() error {
	if s.closed || len(s.segments) >= s.MaxSegments {
		return ErrFull
	}
	path := filepath.Join(s.Directory, fmt.Sprintf("%s-%d%s", s.Name, len(s.segments), fileSuffix))
	f, err := s.FileSystem.Create(path)
	if err != nil {
		return err
	}
	if err := f.Truncate(int64(s.BlocksPerSegment) * (BlockSize + sealOverhead)); err != nil {
		return errors.Join(err, f.Close(), s.FileSystem.Remove(path))
	}
	s.segments = append(s.segments, f)
	for b := range s.BlocksPerSegment {
		s.free = append(s.free, blockAddress{len(s.segments) - 1, s.BlocksPerSegment - 1 - b})
	}
	return nil
}

// take returns a free block, its file, and a number that no other write has.
func (s *Spool) allocateBlock() (p blockAddress, f File, n uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return p, nil, 0, ErrClosed
	}
	if len(s.free) == 0 {
		if err := s.addSegment(); err != nil {
			return p, nil, 0, err
		}
	}
	p = s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.usedBlocks++
	s.sealedBlocks++
	return p, s.segments[p.segment], s.sealedBlocks, nil
}

// give takes blocks back. It is the one place for that.
func (s *Spool) freeBlocks(blocks []sealedBlock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range blocks {
		s.free = append(s.free, b.blockAddress)
		s.usedBlocks--
	}
}

// Used returns how many blocks bodies hold, and how many files of dead processes are left.
func (s *Spool) Used() (blocks, dead int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedBlocks, len(s.staleFiles)
}

// Close removes the spool's own files. Bodies that are open fail from then on.
func (s *Spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	for i, f := range s.segments {
		err = errors.Join(err, f.Close(), s.FileSystem.Remove(filepath.Join(s.Directory, fmt.Sprintf("%s-%d%s", s.Name, i, fileSuffix))))
	}
	s.segments, s.free, s.closed = nil, nil, true
	return err
}

// block is a written block of a body.
type sealedBlock struct {
	blockAddress
	nonce uint64
	size  int
}

// Body is one body in the spool. It has one writer; it may be read while it is written,
// up to what Size tells.
type Body struct {
	spool *Spool

	mu      sync.Mutex
	blocks  []sealedBlock
	pending []byte // not yet a block
	size    int64
	err     error // after it the body cannot be used
}

// New begins a body.
func (s *Spool) NewBody() *Body { return &Body{spool: s} }

// Write keeps more of the body. After an error nothing of it can be read.
func (b *Body) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := 0; n < len(p) && b.err == nil; {
		part := p[n:min(len(p), n+BlockSize-len(b.pending))]
		b.pending = append(b.pending, part...)
		n, b.size = n+len(part), b.size+int64(len(part))
		if len(b.pending) == BlockSize {
			b.err = b.sealPending()
		}
	}
	if b.err != nil {
		return 0, b.err
	}
	return len(p), nil
}

// flush writes the tail as a block.
func (b *Body) sealPending() error {
	p, f, n, err := b.spool.allocateBlock()
	if err != nil {
		return err
	}
	text := b.spool.aead.Seal(nil, encodeNonce(n), b.pending, b.additionalData(len(b.blocks)))
	b.blocks = append(b.blocks, sealedBlock{p, n, len(b.pending)})
	b.pending = b.pending[:0]
	w, err := f.WriteAt(text, int64(p.block)*(BlockSize+sealOverhead))
	if err == nil && w != len(text) {
		err = io.ErrShortWrite
	}
	return err
}

func encodeNonce(n uint64) []byte {
	b := make([]byte, 12)
	binary.BigEndian.PutUint64(b[4:], n)
	return b
}

// label binds a block to its place in the body.
func (b *Body) additionalData(i int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(i)) }

// Size returns how much has been kept.
func (b *Body) Size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size
}

// ReadAt reads from a place on. Fewer bytes than wanted come with io.EOF at the end of
// what has been kept so far. A block that does not open fails the body for good.
func (b *Body) ReadAt(p []byte, at int64) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	for n < len(p) && at+int64(n) < b.size {
		i, off := int((at+int64(n))/BlockSize), int((at+int64(n))%BlockSize)
		text := b.pending
		if i < len(b.blocks) {
			if text, b.err = b.openBlock(i); b.err != nil {
				return 0, b.err
			}
		}
		n += copy(p[n:], text[off:])
	}
	if n < len(p) {
		err = io.EOF
	}
	return n, err
}

// open reads one block.
func (b *Body) openBlock(i int) ([]byte, error) {
	k := b.blocks[i]
	b.spool.mu.Lock()
	if b.spool.closed {
		b.spool.mu.Unlock()
		return nil, ErrClosed
	}
	f := b.spool.segments[k.segment]
	b.spool.mu.Unlock()
	text := make([]byte, k.size+sealOverhead)
	if _, err := f.ReadAt(text, int64(k.block)*(BlockSize+sealOverhead)); err != nil {
		return nil, err
	}
	plain, err := b.spool.aead.Open(text[:0], encodeNonce(k.nonce), text, b.additionalData(i))
	if err != nil {
		return nil, ErrCorruptBlock
	}
	return plain, nil
}

// Close ends the body and gives its blocks back, once.
func (b *Body) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spool.freeBlocks(b.blocks)
	b.blocks, b.pending, b.err = nil, nil, ErrClosed
}
