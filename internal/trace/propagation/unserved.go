package propagation

import "garnetline/internal/trace"

// generationCapacity is the largest number of requests in one generation of an unservedTable.
const generationCapacity = 1 << 14

// unservedRequest is a request that ended without being served, so that its client may retry it.
type unservedRequest struct {
	traceID trace.ID
	endedAt float64 // Unix ms
	retry   uint8   // Correlation.Retry of the request; wraps to 0 after 255
}

// unservedTable holds the most recent unserved requests in two generations. When the current
// generation is full, it replaces the previous one, whose requests are dropped. This bounds the
// table without a timer or a list in order of age.
type unservedTable struct {
	current  map[uint64]unservedRequest
	previous map[uint64]unservedRequest
}

func newUnservedTable() unservedTable {
	return unservedTable{current: map[uint64]unservedRequest{}}
}

// lookup returns the request under a key, and whether there is one. Key 0 has none.
func (t *unservedTable) lookup(key uint64) (unservedRequest, bool) {
	if key == 0 {
		return unservedRequest{}, false
	}
	request, found := t.current[key]
	if !found {
		request, found = t.previous[key]
	}
	return request, found
}

// add adds a request, or replaces the one under its key.
func (t *unservedTable) add(key uint64, request unservedRequest) {
	if len(t.current) >= generationCapacity {
		t.previous = t.current
		t.current = map[uint64]unservedRequest{}
	}
	t.current[key] = request
}

// remove removes the request under a key, if there is one.
func (t *unservedTable) remove(key uint64) {
	delete(t.current, key)
	delete(t.previous, key)
}
