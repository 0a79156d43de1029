package routing

import "testing"

func TestBoundedTableIsBounded(t *testing.T) {
	var b boundedTable[int]
	for i := range uint64(5 * maxRecentEntries) {
		b.put(i, 1)
	}
	if n := len(b.recent) + len(b.previous); n > 2*maxRecentEntries {
		t.Errorf("got %d entries, want at most %d", n, 2*maxRecentEntries)
	}
}
