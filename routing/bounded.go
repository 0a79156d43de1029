package routing

// boundedTable is a map of limited size. It consists of two halves: when the recent half is full, it
// replaces the previous half, and entries that exist only in the old previous half are dropped.
type boundedTable[V any] struct {
	recent   map[uint64]V
	previous map[uint64]V
}

func (t *boundedTable[V]) get(key uint64) (V, bool) {
	value, ok := t.recent[key]
	if !ok {
		value, ok = t.previous[key]
	}
	return value, ok
}

func (t *boundedTable[V]) put(key uint64, value V) {
	if t.recent == nil || len(t.recent) >= maxRecentEntries {
		t.previous = t.recent
		t.recent = map[uint64]V{}
	}
	t.recent[key] = value
}
