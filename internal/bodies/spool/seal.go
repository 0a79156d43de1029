package spool

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"io"
)

const (
	sealOverhead  = 16 // bytes that sealing adds to a block, the tag of AES-GCM
	sealedSize    = BlockSize + sealOverhead
	keySize       = 32 // bytes, AES-256
	nonceSize     = 12 // bytes, as AES-GCM wants
	counterOffset = 4  // of the block counter in a nonce; the bytes before it are zero
)

// newCipher returns a cipher with a new random key, which is stored nowhere.
func newCipher() (cipher.AEAD, error) {
	key := make([]byte, keySize)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// seal returns the sealed form of a block, which is bound to its index in the body.
func (s *Spool) seal(plain []byte, counter uint64, index int) []byte {
	return s.aead.Seal(nil, encodeNonce(counter), plain, additionalData(index))
}

// unseal opens a sealed block in place, or returns ErrCorruptBlock.
func (s *Spool) unseal(sealed []byte, counter uint64, index int) ([]byte, error) {
	plain, err := s.aead.Open(sealed[:0], encodeNonce(counter), sealed, additionalData(index))
	if err != nil {
		return nil, ErrCorruptBlock
	}
	return plain, nil
}

func encodeNonce(counter uint64) []byte {
	nonce := make([]byte, nonceSize)
	binary.BigEndian.PutUint64(nonce[counterOffset:], counter)
	return nonce
}

// additionalData binds a block to its index in the body, so that blocks cannot be swapped.
func additionalData(index int) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(index))
}

// readSealed reads a sealed block of so many plain bytes.
func readSealed(file File, block sealedBlock) ([]byte, error) {
	sealed := make([]byte, block.size+sealOverhead)
	if _, err := file.ReadAt(sealed, block.offset()); err != nil {
		return nil, err
	}
	return sealed, nil
}

// writeSealed writes a sealed block. A short write is an error.
func writeSealed(block allocatedBlock, sealed []byte) error {
	written, err := block.file.WriteAt(sealed, block.offset())
	if err == nil && written != len(sealed) {
		err = io.ErrShortWrite
	}
	return err
}
