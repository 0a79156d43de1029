package packetcrypto

import (
	"bytes"
	"errors"
	"testing"
)

const firstSecret, secondSecret = "the first key of a ring", "the second key of a ring"

func newKeyring(t testing.TB, fleet string, keys ...string) *Keyring {
	r, err := NewKeyring(fleet, keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The key is changed in three steps; in each, each router opens what each other seals.
func TestKeyRotation(t *testing.T) {
	old, both, turned, next := newKeyring(t, "f", firstSecret), newKeyring(t, "f", firstSecret, secondSecret), newKeyring(t, "f", secondSecret, firstSecret), newKeyring(t, "f", secondSecret)
	text := []byte("a packet")
	for _, pair := range [][2]*Keyring{{old, both}, {both, both}, {both, turned}, {turned, turned}, {turned, next}} {
		for i := range pair {
			sealed := pair[i].Seal(nil, text)
			if got, err := pair[1-i].Open(nil, sealed); err != nil || !bytes.Equal(got, text) || len(sealed) != len(text)+Overhead {
				t.Errorf("%q, %v", got, err)
			}
		}
	}
	sealed := old.Seal(nil, text)
	if _, err := next.Open(nil, sealed); !errors.Is(err, ErrNoMatchingKey) {
		t.Errorf("another key: %v", err)
	}
	if _, err := newKeyring(t, "g", firstSecret).Open(nil, sealed); !errors.Is(err, ErrFleetMismatch) {
		t.Errorf("another fleet: %v", err)
	}
	for i := range sealed { // no byte can be changed
		spoilt := bytes.Clone(sealed)
		spoilt[i] ^= 1
		if _, err := old.Open(nil, spoilt); err == nil {
			t.Errorf("byte %d changed: opened", i)
		}
	}
	if _, err := NewKeyring("f", []string{"short"}); err == nil {
		t.Error("a short key is taken")
	}
	if _, err := NewKeyring("f", nil); err == nil {
		t.Error("no key is taken")
	}
}

func FuzzOpen(f *testing.F) {
	r := newKeyring(f, "f", firstSecret)
	f.Add([]byte("gf\x01"))
	f.Add(r.Seal(nil, []byte("x"))[:Overhead])
	f.Fuzz(func(t *testing.T, sealed []byte) {
		if p, err := r.Open(nil, sealed); err == nil {
			t.Fatalf("opened %q", p)
		}
	})
}
