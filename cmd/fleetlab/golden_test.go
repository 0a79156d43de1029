package main

import (
	"testing"

	"garnetline/internal/golden"
)

// The tour is a file of faults that users change and give back. UPDATE_GOLDEN=1 rewrites testdata.
func TestTourIsUnchanged(t *testing.T) {
	golden.Compare(t, "tour.golden", []byte(tour))
}
