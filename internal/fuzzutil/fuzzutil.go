// Package fuzzutil gives fuzz tests a corpus of random inputs that is the same in each run. Only
// tests import it.
package fuzzutil

import (
	"math/rand/v2"
	"testing"
)

// seedStream is the stream of random numbers that seeds are drawn from.
const seedStream = 7

// AddRandomSeeds adds seeds of random bytes to the corpus of a fuzz test whose only argument is a
// []byte: count seeds of size bytes each. They depend on count and size alone.
//
// A plain go test runs a fuzz test on its corpus only. A test whose input is a script of random
// steps would check next to nothing there without such seeds.
func AddRandomSeeds(f *testing.F, count, size int) {
	f.Helper()
	for seed := range uint64(count) {
		f.Add(randomBytes(seed, size))
	}
}

// randomBytes returns the bytes of one seed.
func randomBytes(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, seedStream))
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	return content
}
