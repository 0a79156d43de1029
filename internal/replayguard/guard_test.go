package replayguard

import (
	"fmt"
	"os"
	"testing"

	"garnetline/internal/metrics"
)

func id(i int) string { return fmt.Sprintf("%016x", i+1) }

// TestTableIsBounded checks that a flood of ids replaces the oldest ones, and that a removed id is
// unknown.
func TestTableIsBounded(t *testing.T) {
	registry := metrics.New()
	guard := New(registry)
	const flood = 4 * bucketCount * bucketEntries
	for i := range flood {
		guard.Record(id(i), float64(i+1))
	}
	if at, ok := guard.ExecutedHere(id(flood - 1)); !ok || at != flood {
		t.Errorf("got time %v, %v of the newest id, want %d", at, ok, flood)
	}
	if _, ok := guard.ExecutedHere(id(0)); ok {
		t.Error("the oldest id is still known")
	}
	if registry.Counter("replay_forgotten").Load() < flood/2 {
		t.Error("replaced ids were not counted")
	}
	guard.Forget(id(flood - 1))
	if _, ok := guard.ExecutedHere(id(flood - 1)); ok {
		t.Error("a removed id is still known")
	}
}

// TestSuccessorTakesOverSlot checks that a process that takes the slot of one that was killed knows its
// ids, and that a file that was cut off counts as empty.
func TestSuccessorTakesOverSlot(t *testing.T) {
	dir := t.TempDir()
	share := func(slot int) *Guard {
		t.Helper()
		guard := New(metrics.New())
		if err := guard.Share(dir, slot); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(guard.Close)
		return guard
	}
	share(0).Record(id(7), 5)
	if at, ok := share(0).ExecutedHere(id(7)); !ok || at != 5 {
		t.Errorf("got time %v, %v of an id of the process before, want 5", at, ok)
	}
	other := share(1)
	if !other.ExecutedElsewhere(id(7)) || other.ExecutedElsewhere(id(8)) {
		t.Error("the other process does not know exactly the recorded id")
	}
	if err := os.Truncate(other.path(0), 100); err != nil {
		t.Fatal(err)
	}
	if _, ok := share(0).ExecutedHere(id(7)); ok {
		t.Error("got an id from a file that was cut off")
	}
}
