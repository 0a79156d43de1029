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
	BlockSize = 32 << 10 // of a body, in one block; the last may be shorter
	overhead  = 16       // the seal
	suffix    = ".spool"
)

var (
	// ErrFull reports that the spool has as many segments as it may, and no free block.
	ErrFull = errors.New("spool: full")
	// ErrSeal reports a block that is not as it was written.
	ErrSeal = errors.New("spool: block does not open")
	// ErrEnded reports a body that has been given back, or failed before.
	ErrEnded = errors.New("spool: body has ended")
)

// File is what the spool needs of a file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
}

// FS is the file layer. Its errors are passed on.
type FS interface {
	// Create makes a file that this process holds until it is closed.
	Create(path string) (File, error)
	Remove(path string) error
	// Names returns the names in a folder, which it makes where there is none.
	Names(folder string) ([]string, error)
	// Held tells whether a living process holds a file.
	Held(path string) (bool, error)
}

// Options are what a Spool is made with.
type Options struct {
	FS       FS
	Folder   string
	Name     string // of this process's files; no other's may begin with it
	Blocks   int    // in a segment
	Segments int    // at the most
}

// Spool owns the files of one process. It is safe for concurrent use.
type Spool struct {
	Options
	seal cipher.AEAD

	mu       sync.Mutex
	segments []File
	free     []place
	writes   uint64 // sealed so far: no nonce is used twice
	used     int
	dead     []string // files of dead processes, not removed yet
	closed   bool
}

// place is where a block is.
type place struct{ segment, block int }

// Open makes a Spool. The files of dead processes are counted, and removed by Sweep.
func Open(o Options) (*Spool, error) {
	if o.Blocks < 1 || o.Segments < 1 || o.Name == "" {
		return nil, fmt.Errorf("spool: Blocks %d, Segments %d, Name %q: want some of each", o.Blocks, o.Segments, o.Name)
	}
	names, err := o.FS.Names(o.Folder)
	if err != nil {
		return nil, err
	}
	s := &Spool{Options: o}
	for _, n := range names {
		if !strings.HasSuffix(n, suffix) || strings.HasPrefix(n, o.Name+"-") {
			continue
		}
		path := filepath.Join(o.Folder, n)
		held, err := o.FS.Held(path)
		if err != nil {
			return nil, err
		}
		if !held {
			s.dead = append(s.dead, path)
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
	s.seal, err = cipher.NewGCM(c)
	return s, err
}

// Sweep removes one file of a dead process, and tells whether more are left. It is
// background work: the caller says when.
func (s *Spool) Sweep() (more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.dead) > 0 {
		if err = s.FS.Remove(s.dead[0]); err == nil || errors.Is(err, os.ErrNotExist) {
			s.dead, err = s.dead[1:], nil
		}
	}
	return len(s.dead) > 0, err
}

// Room makes a segment ahead of need, where there may be one more; also background work.
func (s *Spool) Room() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.more()
}

// more preallocates one segment. A disk that is full says so here, and not in the middle
// of a body.
func (s *Spool) more() error {
	if s.closed || len(s.segments) >= s.Segments {
		return ErrFull
	}
	path := filepath.Join(s.Folder, fmt.Sprintf("%s-%d%s", s.Name, len(s.segments), suffix))
	f, err := s.FS.Create(path)
	if err != nil {
		return err
	}
	if err := f.Truncate(int64(s.Blocks) * (BlockSize + overhead)); err != nil {
		return errors.Join(err, f.Close(), s.FS.Remove(path))
	}
	s.segments = append(s.segments, f)
	for b := range s.Blocks {
		s.free = append(s.free, place{len(s.segments) - 1, s.Blocks - 1 - b})
	}
	return nil
}

// take returns a free block, its file, and a number that no other write has.
func (s *Spool) take() (p place, f File, n uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return p, nil, 0, ErrEnded
	}
	if len(s.free) == 0 {
		if err := s.more(); err != nil {
			return p, nil, 0, err
		}
	}
	p = s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.used++
	s.writes++
	return p, s.segments[p.segment], s.writes, nil
}

// give takes blocks back. It is the one place for that.
func (s *Spool) give(blocks []block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range blocks {
		s.free = append(s.free, b.place)
		s.used--
	}
}

// Used returns how many blocks bodies hold, and how many files of dead processes are left.
func (s *Spool) Used() (blocks, dead int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.dead)
}

// Close removes the spool's own files. Bodies that are open fail from then on.
func (s *Spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	for i, f := range s.segments {
		err = errors.Join(err, f.Close(), s.FS.Remove(filepath.Join(s.Folder, fmt.Sprintf("%s-%d%s", s.Name, i, suffix))))
	}
	s.segments, s.free, s.closed = nil, nil, true
	return err
}

// block is a written block of a body.
type block struct {
	place
	nonce uint64
	size  int
}

// Body is one body in the spool. It has one writer; it may be read while it is written,
// up to what Size tells.
type Body struct {
	s *Spool

	mu     sync.Mutex
	blocks []block
	tail   []byte // not yet a block
	size   int64
	err    error // after it the body cannot be used
}

// New begins a body.
func (s *Spool) New() *Body { return &Body{s: s} }

// Write keeps more of the body. After an error nothing of it can be read.
func (b *Body) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := 0; n < len(p) && b.err == nil; {
		part := p[n:min(len(p), n+BlockSize-len(b.tail))]
		b.tail = append(b.tail, part...)
		n, b.size = n+len(part), b.size+int64(len(part))
		if len(b.tail) == BlockSize {
			b.err = b.flush()
		}
	}
	if b.err != nil {
		return 0, b.err
	}
	return len(p), nil
}

// flush writes the tail as a block.
func (b *Body) flush() error {
	p, f, n, err := b.s.take()
	if err != nil {
		return err
	}
	text := b.s.seal.Seal(nil, nonce(n), b.tail, b.label(len(b.blocks)))
	b.blocks = append(b.blocks, block{p, n, len(b.tail)})
	b.tail = b.tail[:0]
	w, err := f.WriteAt(text, int64(p.block)*(BlockSize+overhead))
	if err == nil && w != len(text) {
		err = io.ErrShortWrite
	}
	return err
}

func nonce(n uint64) []byte {
	b := make([]byte, 12)
	binary.BigEndian.PutUint64(b[4:], n)
	return b
}

// label binds a block to its place in the body.
func (b *Body) label(i int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(i)) }

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
		text := b.tail
		if i < len(b.blocks) {
			if text, b.err = b.open(i); b.err != nil {
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
func (b *Body) open(i int) ([]byte, error) {
	k := b.blocks[i]
	b.s.mu.Lock()
	if b.s.closed {
		b.s.mu.Unlock()
		return nil, ErrEnded
	}
	f := b.s.segments[k.segment]
	b.s.mu.Unlock()
	text := make([]byte, k.size+overhead)
	if _, err := f.ReadAt(text, int64(k.block)*(BlockSize+overhead)); err != nil {
		return nil, err
	}
	plain, err := b.s.seal.Open(text[:0], nonce(k.nonce), text, b.label(i))
	if err != nil {
		return nil, ErrSeal
	}
	return plain, nil
}

// Close ends the body and gives its blocks back, once.
func (b *Body) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.s.give(b.blocks)
	b.blocks, b.tail, b.err = nil, nil, ErrEnded
}
