// Package fuzzutil gives fuzz tests a corpus of random inputs that is the same in every run. Only
// tests import it.
package fuzzutil

import (
	"math/rand/v2"
	"testing"
)

// seedStream is the second half of the random number generator's initial state. The number of a
// seed is the first half.
const seedStream = 7

// AddRandomSeeds adds count inputs of size random bytes each to the seed corpus of a fuzz test
// whose only argument is a []byte. The inputs depend on count and size alone.
//
// Without the flag -fuzz, go test runs a fuzz test only on its seed corpus. If the corpus had no
// random inputs, a test whose input is a script of random steps would check almost nothing.
func AddRandomSeeds(f *testing.F, count, size int) {
	f.Helper()
	for seed := range uint64(count) {
		f.Add(randomBytes(seed, size))
	}
}

// randomBytes returns size random bytes that the seed determines. A longer result for the same seed
// begins with the shorter result.
func randomBytes(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, seedStream))
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	return content
}
