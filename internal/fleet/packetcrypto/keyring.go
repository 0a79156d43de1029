// Package seal closes packets between routers with a key of the operators' file, so that
// nobody without it can write or read them, and tells apart what does not belong here:
// bytes of strangers, of other versions of the protocol, of other fleets.
package packetcrypto

import (
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/crypto/chacha20poly1305"
)

// Version is the protocol's. Routers of different ones do not hear each other.
const Version = 1

// What a packet that is not taken is.
var (
	ErrForeignPacket   = errors.New("no packet of a router")
	ErrVersionMismatch = errors.New("another version of the protocol")
	ErrFleetMismatch   = errors.New("another fleet")
	ErrNoMatchingKey   = errors.New("sealed with no key that is held, or changed on its way")
)

// headerLen is what stands in clear: two letters, the version, the fleet and the key.
const headerLen = 2 + 1 + 4 + 1

// Overhead is how many bytes sealing adds.
const Overhead = headerLen + chacha20poly1305.NonceSizeX + chacha20poly1305.Overhead

// MinSecretLen is the least length of a secret, in bytes.
const MinSecretLen = 16

// Keyring seals with its first key and opens with each of them. It does not change.
type Keyring struct {
	fleetHash [4]byte
	keys      []key
}

type key struct {
	hint   byte // tells which of the keys it may be
	secret [chacha20poly1305.KeySize]byte
}

// NewKeyring returns the ring of a fleet. Each secret is text of MinSecret bytes or more.
func NewKeyring(fleet string, secrets []string) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, errors.New("keys: there is none")
	}
	h := xxhash.Sum64String(fleet)
	r := &Keyring{fleetHash: [4]byte{byte(h), byte(h >> 8), byte(h >> 16), byte(h >> 24)}}
	for i, s := range secrets {
		if len(s) < MinSecretLen {
			return nil, fmt.Errorf("keys: the one in place %d has %d bytes, want %d or more", i+1, len(s), MinSecretLen)
		}
		text := sha256.Sum256([]byte("garnetline fleet\x00" + fleet + "\x00" + s))
		r.keys = append(r.keys, key{text[0] ^ text[31], sha256.Sum256(text[:])})
	}
	return r, nil
}

// Seal appends a sealed packet to b.
func (r *Keyring) Seal(b, packet []byte) []byte {
	k := &r.keys[0]
	start := len(b)
	b = append(b, 'g', 'f', Version, r.fleetHash[0], r.fleetHash[1], r.fleetHash[2], r.fleetHash[3], k.hint)
	var nonce [chacha20poly1305.NonceSizeX]byte
	rand.Read(nonce[:]) // never fails: it ends the program instead
	b = append(b, nonce[:]...)
	a, _ := chacha20poly1305.NewX(k.secret[:]) // fails for another length of key alone
	return a.Seal(b, nonce[:], packet, b[start:start+headerLen])
}

// Open returns what a sealed packet holds, appended to b.
func (r *Keyring) Open(b, sealed []byte) ([]byte, error) {
	switch {
	case len(sealed) < Overhead || sealed[0] != 'g' || sealed[1] != 'f':
		return nil, ErrForeignPacket
	case sealed[2] != Version:
		return nil, ErrVersionMismatch
	case [4]byte(sealed[3:7]) != r.fleetHash:
		return nil, ErrFleetMismatch
	}
	body := sealed[headerLen+chacha20poly1305.NonceSizeX:]
	for i := range r.keys {
		if r.keys[i].hint != sealed[7] {
			continue
		}
		a, _ := chacha20poly1305.NewX(r.keys[i].secret[:])
		if p, err := a.Open(b, sealed[headerLen:headerLen+chacha20poly1305.NonceSizeX], body, sealed[:headerLen]); err == nil {
			return p, nil
		}
	}
	return nil, ErrNoMatchingKey
}
