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

// The key is changed in three steps; in each, each router opens what each other seals.
func TestKeyRotation(t *testing.T) {
	before := newKeyring(t, "f", firstSecret)
	both := newKeyring(t, "f", firstSecret, secondSecret)
	turned := newKeyring(t, "f", secondSecret, firstSecret)
	after := newKeyring(t, "f", secondSecret)
	packet := []byte("a packet")
	for _, pair := range [][2]*Keyring{{before, both}, {both, both}, {both, turned}, {turned, turned}, {turned, after}} {
		for i := range pair {
			sealed := pair[i].Seal(nil, packet)
			if got, err := pair[1-i].Open(nil, sealed); err != nil || !bytes.Equal(got, packet) || len(sealed) != len(packet)+Overhead {
				t.Errorf("%q, %v", got, err)
			}
		}
	}
	sealed := before.Seal(nil, packet)
	if _, err := after.Open(nil, sealed); !errors.Is(err, ErrNoMatchingKey) {
		t.Errorf("another key: %v", err)
	}
	if _, err := newKeyring(t, "g", firstSecret).Open(nil, sealed); !errors.Is(err, ErrFleetMismatch) {
		t.Errorf("another fleet: %v", err)
	}
	for i := range sealed { // no byte can be changed
		spoilt := bytes.Clone(sealed)
		spoilt[i] ^= 1
		if _, err := before.Open(nil, spoilt); err == nil {
			t.Errorf("byte %d changed: opened", i)
		}
	}
	if _, err := NewKeyring("f", []string{"short"}); err == nil {
		t.Error("a short key is accepted")
	}
	if _, err := NewKeyring("f", nil); err == nil {
		t.Error("no key is accepted")
	}
}

func FuzzOpen(f *testing.F) {
	keyring := newKeyring(f, "f", firstSecret)
	f.Add([]byte("gf\x01"))
	f.Add(keyring.Seal(nil, []byte("x"))[:Overhead])
	f.Fuzz(func(t *testing.T, sealed []byte) {
		if packet, err := keyring.Open(nil, sealed); err == nil {
			t.Fatalf("opened %q", packet)
		}
	})
}
