package routing

// boundedTable is a map of limited size that consists of two halves. put stores entries in the recent
// half. When the recent half is full, it becomes the previous half, and a new recent half begins. The
// entries of the former previous half are dropped.
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
