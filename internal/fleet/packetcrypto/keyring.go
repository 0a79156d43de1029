// Package packetcrypto encrypts packets between routers with a key from the operators' settings
// file. Only those who have the key can write or read packets. The package distinguishes the
// reasons for which a received packet is rejected: foreign bytes, another version of the
// protocol, another fleet, or an unknown key.
//
// A Keyring is immutable and may be used by several goroutines at a time.
package packetcrypto

import (
	"crypto/rand"
	"crypto/sha256"
	"errors"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/crypto/chacha20poly1305"

	"garnetline/internal/fielderror"
)

// Version is the version of the protocol. Routers reject packets of other versions.
const Version = 1

// Errors of Keyring.Open: the reasons why a packet is rejected.
var (
	ErrForeignPacket   = errors.New("not a fleet packet: expected a header with the magic bytes \"gf\", a nonce and a ciphertext")
	ErrVersionMismatch = errors.New("protocol version of the fleet packet differs from that of this router")
	ErrFleetMismatch   = errors.New("fleet packet belongs to a different fleet than this router")
	ErrNoMatchingKey   = errors.New("fleet packet cannot be decrypted: it was modified, or encrypted with a key that this router does not have")
)

// Layout of a packet. The header is authenticated but not encrypted: two magic bytes, the
// version, a hash of the fleet's name, and the key hint, by which the receiver selects the keys
// to try. The nonce and the ciphertext follow.
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

// Overhead is the number of bytes that Seal adds to a packet.
const Overhead = nonceEnd + chacha20poly1305.Overhead

// MinSecretLen is the minimum length of a secret, in bytes.
const MinSecretLen = 16

// Keyring encrypts packets with its first key. It decrypts packets that were encrypted with any
// of its keys.
type Keyring struct {
	fleetHash [fleetHashLen]byte
	keys      []key
}

type key struct {
	hint   byte // sent in the header, so that the receiver tries only keys with the same hint
	secret [chacha20poly1305.KeySize]byte
}

// NewKeyring returns the keyring of a fleet with a key for each secret. It returns a
// fielderror.Error if there is no secret, or if a secret is shorter than MinSecretLen.
func NewKeyring(fleet string, secrets []string) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, fielderror.Errorf("keys", "expected at least one key, got none")
	}
	hash := xxhash.Sum64String(fleet)
	ring := &Keyring{fleetHash: [fleetHashLen]byte{byte(hash), byte(hash >> 8), byte(hash >> 16), byte(hash >> 24)}}
	for i, secret := range secrets {
		if len(secret) < MinSecretLen {
			return nil, fielderror.Errorf("keys", "key %d has %d bytes, expected at least %d", i+1, len(secret), MinSecretLen)
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
	rand.Read(nonce[:]) // returns no error: it ends the program if the system has no randomness
	b = append(b, nonce[:]...)
	cipher, _ := chacha20poly1305.NewX(sealingKey.secret[:]) // fails only for a key of the wrong length
	return cipher.Seal(b, nonce[:], packet, b[start:start+headerLen])
}

// Open authenticates and decrypts a packet, and appends the decrypted packet to b. If it rejects
// the packet, it returns ErrForeignPacket, ErrVersionMismatch, ErrFleetMismatch or
// ErrNoMatchingKey.
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
