// Package fuzzutil gives fuzz tests random steps that are the same each time.
package fuzzutil

import (
	"math/rand/v2"
	"testing"
)

// Add adds n seeds of size random bytes.
func AddRandomSeeds(f *testing.F, n, size int) {
	for seed := range uint64(n) {
		rng := rand.New(rand.NewPCG(seed, 7))
		b := make([]byte, size)
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		f.Add(b)
	}
}
