package spool

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"io"
)

const (
	sealOverhead  = 16 // bytes that encryption adds to a block: the AES-GCM tag
	sealedSize    = BlockSize + sealOverhead
	keySize       = 32 // bytes, AES-256
	nonceSize     = 12 // bytes, the standard nonce size of AES-GCM
	counterOffset = 4  // offset of the block counter in a nonce; the bytes before it are zero
)

// newCipher returns an AES-256-GCM cipher with a new random key. The key is never stored.
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

// seal encrypts a block and authenticates it together with its index in the body. The argument
// counter must be different for each block of the spool, because a nonce must not be used twice.
func (s *Spool) seal(plain []byte, counter uint64, index int) []byte {
	return s.aead.Seal(nil, encodeNonce(counter), plain, additionalData(index))
}

// unseal decrypts a sealed block in place. It returns ErrCorruptBlock if the authentication fails.
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

// additionalData returns the additional authenticated data of the block with the given index in its
// body. Including the index makes unseal fail for a block that was moved to another position.
func additionalData(index int) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(index))
}

// readSealed reads a sealed block from its segment file.
func readSealed(file File, block sealedBlock) ([]byte, error) {
	sealed := make([]byte, block.size+sealOverhead)
	if _, err := file.ReadAt(sealed, block.offset()); err != nil {
		return nil, err
	}
	return sealed, nil
}

// writeSealed writes a sealed block to its segment file. A short write is an error.
func writeSealed(block allocatedBlock, sealed []byte) error {
	written, err := block.file.WriteAt(sealed, block.offset())
	if err == nil && written != len(sealed) {
		err = io.ErrShortWrite
	}
	return err
}
