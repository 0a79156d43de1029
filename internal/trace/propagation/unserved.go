package propagation

import "garnetline/internal/trace"

// generationCapacity is the maximum number of requests in each of the two generations of an
// unservedTable: the current one and the previous one.
const generationCapacity = 1 << 14

// unservedRequest describes a request that ended without being served. The client may retry the
// request.
type unservedRequest struct {
	traceID trace.ID
	endedAt float64 // Unix ms
	retry   uint8   // Correlation.Retry of the request; overflows from 255 to 0
}

// unservedTable holds the most recent unserved requests in two generations. When the current
// generation is full, it replaces the previous generation, whose requests are dropped. Replacing
// whole generations limits the size of the table without a timer or a list ordered by age.
type unservedTable struct {
	current  map[uint64]unservedRequest
	previous map[uint64]unservedRequest
}

func newUnservedTable() unservedTable {
	return unservedTable{current: map[uint64]unservedRequest{}}
}

// lookup returns the request with the given key and reports whether the table contains it. The
// table contains no request with key 0.
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

// add adds a request. It replaces an earlier request with the same key.
func (t *unservedTable) add(key uint64, request unservedRequest) {
	if len(t.current) >= generationCapacity {
		t.previous = t.current
		t.current = map[uint64]unservedRequest{}
	}
	t.current[key] = request
}

// remove removes the request with the given key, if the table contains one.
func (t *unservedTable) remove(key uint64) {
	delete(t.current, key)
	delete(t.previous, key)
}
