package seal

import (
	"bytes"
	"errors"
	"testing"
)

const a, b = "the first key of a ring", "the second key of a ring"

func ring(t testing.TB, fleet string, keys ...string) *Ring {
	r, err := New(fleet, keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The key is changed in three steps; in each, each router opens what each other seals.
func TestRing(t *testing.T) {
	old, both, turned, next := ring(t, "f", a), ring(t, "f", a, b), ring(t, "f", b, a), ring(t, "f", b)
	text := []byte("a packet")
	for _, pair := range [][2]*Ring{{old, both}, {both, both}, {both, turned}, {turned, turned}, {turned, next}} {
		for i := range pair {
			sealed := pair[i].Seal(nil, text)
			if got, err := pair[1-i].Open(nil, sealed); err != nil || !bytes.Equal(got, text) || len(sealed) != len(text)+Overhead {
				t.Errorf("%q, %v", got, err)
			}
		}
	}
	sealed := old.Seal(nil, text)
	if _, err := next.Open(nil, sealed); !errors.Is(err, ErrKey) {
		t.Errorf("another key: %v", err)
	}
	if _, err := ring(t, "g", a).Open(nil, sealed); !errors.Is(err, ErrFleet) {
		t.Errorf("another fleet: %v", err)
	}
	for i := range sealed { // no byte can be changed
		spoilt := bytes.Clone(sealed)
		spoilt[i] ^= 1
		if _, err := old.Open(nil, spoilt); err == nil {
			t.Errorf("byte %d changed: opened", i)
		}
	}
	if _, err := New("f", []string{"short"}); err == nil {
		t.Error("a short key is taken")
	}
	if _, err := New("f", nil); err == nil {
		t.Error("no key is taken")
	}
}

func FuzzOpen(f *testing.F) {
	r := ring(f, "f", a)
	f.Add([]byte("gf\x01"))
	f.Add(r.Seal(nil, []byte("x"))[:Overhead])
	f.Fuzz(func(t *testing.T, sealed []byte) {
		if p, err := r.Open(nil, sealed); err == nil {
			t.Fatalf("opened %q", p)
		}
	})
}
