package packetcrypto

import (
	"bytes"
	"errors"
	"testing"
)

const (
	firstSecret  = "the first key of a ring"
	secondSecret = "the second key of a ring"
)

func newKeyring(tb testing.TB, fleet string, secrets ...string) *Keyring {
	tb.Helper()
	keyring, err := NewKeyring(fleet, secrets)
	if err != nil {
		tb.Fatal(err)
	}
	return keyring
}

// A key is replaced in three steps: the new key is added, then it becomes the first key, then the
// old key is removed. Routers that are at most one step apart decrypt each other's packets.
func TestKeyRotation(t *testing.T) {
	before := newKeyring(t, "f", firstSecret)
	both := newKeyring(t, "f", firstSecret, secondSecret)
	reordered := newKeyring(t, "f", secondSecret, firstSecret)
	after := newKeyring(t, "f", secondSecret)
	packet := []byte("a packet")
	for _, pair := range [][2]*Keyring{{before, both}, {both, both}, {both, reordered}, {reordered, reordered}, {reordered, after}} {
		for i := range pair {
			sealed := pair[i].Seal(nil, packet)
			if got, err := pair[1-i].Open(nil, sealed); err != nil || !bytes.Equal(got, packet) || len(sealed) != len(packet)+Overhead {
				t.Errorf("got packet %q, error %v, want the packet that was sealed, with Overhead bytes added", got, err)
			}
		}
	}
	sealed := before.Seal(nil, packet)
	if _, err := after.Open(nil, sealed); !errors.Is(err, ErrNoMatchingKey) {
		t.Errorf("keyring without the packet's key: got error %v, want ErrNoMatchingKey", err)
	}
	if _, err := newKeyring(t, "g", firstSecret).Open(nil, sealed); !errors.Is(err, ErrFleetMismatch) {
		t.Errorf("keyring of another fleet: got error %v, want ErrFleetMismatch", err)
	}
	for i := range sealed { // a change of any byte is detected
		modified := bytes.Clone(sealed)
		modified[i] ^= 1
		if _, err := before.Open(nil, modified); err == nil {
			t.Errorf("Open accepted a packet with byte %d modified", i)
		}
	}
	if _, err := NewKeyring("f", []string{"short"}); err == nil {
		t.Error("NewKeyring returned no error for a secret shorter than MinSecretLen")
	}
	if _, err := NewKeyring("f", nil); err == nil {
		t.Error("NewKeyring returned no error for an empty list of secrets")
	}
}

func FuzzOpen(f *testing.F) {
	keyring := newKeyring(f, "f", firstSecret)
	f.Add([]byte("gf\x01"))
	f.Add(keyring.Seal(nil, []byte("x"))[:Overhead])
	f.Fuzz(func(t *testing.T, sealed []byte) {
		if packet, err := keyring.Open(nil, sealed); err == nil {
			t.Fatalf("Open accepted a packet that was not sealed with the key: %q", packet)
		}
	})
}
