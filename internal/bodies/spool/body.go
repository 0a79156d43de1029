package spool

import (
	"io"
	"sync"
)

// sealedBlock is a block of a body that has been encrypted and written.
type sealedBlock struct {
	blockAddress
	counter uint64 // number from which the nonce of the block is made
	size    int    // number of plaintext bytes
}

// Body is one body in a spool. It has a single writer. While further bytes are written, other
// goroutines may read the bytes up to Size. A Body must be closed.
type Body struct {
	spool *Spool

	mu      sync.Mutex
	blocks  []sealedBlock
	pending []byte // last bytes of the body, fewer than BlockSize, not written to a file yet
	size    int64
	err     error // if not nil, the body cannot be used any more
}

// NewBody returns a new, empty body.
func (s *Spool) NewBody() *Body { return &Body{spool: s} }

// Write appends data to the body. After an error no part of the body can be read.
func (b *Body) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := data
	for len(remaining) > 0 && b.err == nil {
		part := remaining[:min(len(remaining), BlockSize-len(b.pending))]
		remaining = remaining[len(part):]
		b.pending = append(b.pending, part...)
		b.size += int64(len(part))
		if len(b.pending) == BlockSize {
			b.err = b.sealPending()
		}
	}
	if b.err != nil {
		return 0, b.err
	}
	return len(data), nil
}

// sealPending encrypts the pending bytes and writes them as a block. The block is added to the body
// even if the write fails, so that Close frees it.
func (b *Body) sealPending() error {
	block, err := b.spool.allocateBlock()
	if err != nil {
		return err
	}
	sealed := b.spool.seal(b.pending, block.counter, len(b.blocks))
	b.blocks = append(b.blocks, sealedBlock{block.blockAddress, block.counter, len(b.pending)})
	b.pending = b.pending[:0]
	return writeSealed(block, sealed)
}

// Size returns the number of bytes that have been passed to Write so far.
func (b *Body) Size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size
}

// ReadAt implements io.ReaderAt for the bytes that have been written so far and returns io.EOF at
// their end. If a block cannot be read or decrypted, the body cannot be used any more.
func (b *Body) ReadAt(buffer []byte, offset int64) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n := 0
	for n < len(buffer) && offset < b.size {
		var block []byte
		block, b.err = b.block(int(offset / BlockSize))
		if b.err != nil {
			return 0, b.err
		}
		copied := copy(buffer[n:], block[offset%BlockSize:])
		n += copied
		offset += int64(copied)
	}
	if n < len(buffer) {
		return n, io.EOF
	}
	return n, nil
}

// block returns the plaintext of the block with the given index. The index after that of the last
// sealed block stands for the pending bytes.
func (b *Body) block(index int) ([]byte, error) {
	if index == len(b.blocks) {
		return b.pending, nil
	}
	block := b.blocks[index]
	file, err := b.spool.segmentFile(block.segment)
	if err != nil {
		return nil, err
	}
	sealed, err := readSealed(file, block)
	if err != nil {
		return nil, err
	}
	return b.spool.unseal(sealed, block.counter, index)
}

// Close ends the body and frees its blocks. Further calls have no effect.
func (b *Body) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spool.freeBlocks(b.blocks)
	b.blocks = nil
	b.pending = nil
	b.err = ErrClosed
}
