// Package packetcrypto encrypts packets between routers with a key of the operators' file,
// so that nobody without it can write or read them, and tells apart what does not belong
// here: foreign bytes, other versions of the protocol, other fleets.
//
// A Keyring does not change and may be used by several goroutines at a time.
package packetcrypto

import (
	"crypto/rand"
	"crypto/sha256"
	"errors"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/crypto/chacha20poly1305"

	"garnetline/internal/fielderror"
)

// Version is the version of the protocol. Routers of different versions do not talk.
const Version = 1

// Errors that tell why a packet was not opened.
var (
	ErrForeignPacket   = errors.New("not a packet of a router")
	ErrVersionMismatch = errors.New("packet of another protocol version")
	ErrFleetMismatch   = errors.New("packet of another fleet")
	ErrNoMatchingKey   = errors.New("packet encrypted with an unknown key, or modified")
)

// The header is in clear and authenticated: two bytes of magic, the version, the hash of the
// fleet's name and the hint of the key.
const (
	magic0 = 'g'
	magic1 = 'f'

	versionOffset = 2
	fleetOffset   = 3
	hintOffset    = fleetOffset + fleetHashLen
	headerLen     = hintOffset + 1

	fleetHashLen = 4
	nonceEnd     = headerLen + chacha20poly1305.NonceSizeX
)

// Overhead is how many bytes sealing adds to a packet.
const Overhead = nonceEnd + chacha20poly1305.Overhead

// MinSecretLen is the least length of a secret, in bytes.
const MinSecretLen = 16

// Keyring seals with its first key and opens with each of them.
type Keyring struct {
	fleetHash [fleetHashLen]byte
	keys      []key
}

type key struct {
	hint   byte // tells which of the keys it may be
	secret [chacha20poly1305.KeySize]byte
}

// NewKeyring returns the keyring of a fleet. Each secret is text of MinSecretLen bytes or
// more.
func NewKeyring(fleet string, secrets []string) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, fielderror.Errorf("keys", "none given")
	}
	hash := xxhash.Sum64String(fleet)
	ring := &Keyring{fleetHash: [fleetHashLen]byte{byte(hash), byte(hash >> 8), byte(hash >> 16), byte(hash >> 24)}}
	for i, secret := range secrets {
		if len(secret) < MinSecretLen {
			return nil, fielderror.Errorf("keys", "key %d has %d bytes, want at least %d", i+1, len(secret), MinSecretLen)
		}
		ring.keys = append(ring.keys, deriveKey(fleet, secret))
	}
	return ring, nil
}

func deriveKey(fleet, secret string) key {
	sum := sha256.Sum256([]byte("garnetline fleet\x00" + fleet + "\x00" + secret))
	return key{
		hint:   sum[0] ^ sum[len(sum)-1],
		secret: sha256.Sum256(sum[:]),
	}
}

// Seal appends the encrypted packet to b.
func (r *Keyring) Seal(b, packet []byte) []byte {
	sealingKey := &r.keys[0]
	start := len(b)
	b = append(b, magic0, magic1, Version)
	b = append(b, r.fleetHash[:]...)
	b = append(b, sealingKey.hint)
	var nonce [chacha20poly1305.NonceSizeX]byte
	rand.Read(nonce[:]) // never fails: it ends the program instead
	b = append(b, nonce[:]...)
	cipher, _ := chacha20poly1305.NewX(sealingKey.secret[:]) // fails only for another length of key
	return cipher.Seal(b, nonce[:], packet, b[start:start+headerLen])
}

// Open appends the decrypted packet to b. The error is one of ErrForeignPacket,
// ErrVersionMismatch, ErrFleetMismatch and ErrNoMatchingKey.
func (r *Keyring) Open(b, sealed []byte) ([]byte, error) {
	switch {
	case len(sealed) < Overhead || sealed[0] != magic0 || sealed[1] != magic1:
		return nil, ErrForeignPacket
	case sealed[versionOffset] != Version:
		return nil, ErrVersionMismatch
	case [fleetHashLen]byte(sealed[fleetOffset:hintOffset]) != r.fleetHash:
		return nil, ErrFleetMismatch
	}
	header, nonce, ciphertext := sealed[:headerLen], sealed[headerLen:nonceEnd], sealed[nonceEnd:]
	for i := range r.keys {
		if r.keys[i].hint != sealed[hintOffset] {
			continue
		}
		cipher, _ := chacha20poly1305.NewX(r.keys[i].secret[:])
		if packet, err := cipher.Open(b, nonce, ciphertext, header); err == nil {
			return packet, nil
		}
	}
	return nil, ErrNoMatchingKey
}
