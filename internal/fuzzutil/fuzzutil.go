// Package fuzzutil gives fuzz tests a corpus of random inputs that is the same in every run. Only
// tests import it.
package fuzzutil

import (
	"math/rand/v2"
	"testing"
)

// seedStream is the stream of the random number generator that the corpus is drawn from.
const seedStream = 7

// AddRandomSeeds adds count inputs of size random bytes each to the seed corpus of a fuzz test
// whose only argument is a []byte. The inputs depend on count and size alone.
//
// Without -fuzz, go test runs a fuzz test on its seed corpus only. A test whose input is a script
// of random steps would then check almost nothing without such inputs.
func AddRandomSeeds(f *testing.F, count, size int) {
	f.Helper()
	for seed := range uint64(count) {
		f.Add(randomBytes(seed, size))
	}
}

// randomBytes returns the first size random bytes of a seed.
func randomBytes(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, seedStream))
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	return content
}
