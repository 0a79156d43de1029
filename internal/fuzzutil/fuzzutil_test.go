package fuzzutil

import (
	"bytes"
	"encoding/hex"
	"testing"
)

// A failure of a fuzz test is reported with the number of its seed. The bytes of a seed must not
// change, so that the failure can be reproduced.
func TestRandomBytesOfSeedsStay(t *testing.T) {
	for seed, want := range []string{
		"e6d87ae6ae0b448cb5ee5f8f",
		"6ac4a4a5ca034be2424ca250",
		"f5c85779abab87d6539d5601",
	} {
		if got := hex.EncodeToString(randomBytes(uint64(seed), 12)); got != want {
			t.Errorf("seed %d: got %s, want %s", seed, got, want)
		}
	}
}

func TestLongerSeedBeginsWithShorter(t *testing.T) {
	short := randomBytes(5, 10)
	long := randomBytes(5, 300)
	if len(short) != 10 || len(long) != 300 || !bytes.HasPrefix(long, short) {
		t.Errorf("got %x for size 10 and %x for size 300, want 10 bytes that are a prefix of 300 bytes", short, long)
	}
}
