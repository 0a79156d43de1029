package routing

import (
	"math"
	"slices"
	"time"
)

// maxRecentEntries is how many objects or parts a half of a table holds: some MB at the most.
const maxRecentEntries = 1 << 15

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	updatedAt time.Duration
	value     float64
}

// add decays the sum over a mean life, adds x and returns it.
func (r *decayingSum) add(now, life time.Duration, x float64) float64 {
	r.value = r.value*math.Exp(-(now-r.updatedAt).Seconds()/life.Seconds()) + x
	r.updatedAt = now
	return r.value
}

// choose returns a where c holds, else b.
func choose[T any](c bool, a, b T) T {
	if c {
		return a
	}
	return b
}

// mix64 is a fixed mixing function: all routers must agree on homes.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform maps a key evenly to numbers above 0 and below 1.
func uniform(key uint64) float64 { return (float64(mix64(key)>>11) + 0.5) / (1 << 53) }

// boundedTable is a table of limited size: when its young half is full that becomes
// the old one, and what was not touched since is forgotten.
type boundedTable[V any] struct{ recent, previous map[uint64]V }

func (t *boundedTable[V]) get(k uint64) (V, bool) {
	v, ok := t.recent[k]
	if !ok {
		v, ok = t.previous[k]
	}
	return v, ok
}

func (t *boundedTable[V]) put(k uint64, v V) {
	if t.recent == nil || len(t.recent) >= maxRecentEntries {
		t.recent, t.previous = map[uint64]V{}, t.recent
	}
	t.recent[k] = v
}

// decayingRatio is a smoothed ratio that goes back to 1 where nothing more is felt.
type decayingRatio struct {
	updatedAt time.Duration
	excess    float64 // what it is over 1
}

func (r *decayingRatio) value(now, life time.Duration) float64 {
	return 1 + r.excess*math.Exp(-(now-r.updatedAt).Seconds()/life.Seconds())
}

// observe moves the ratio by a part of the way to x, but never under 1.
func (r *decayingRatio) observe(now, life time.Duration, gain, x float64) {
	v := r.value(now, life)
	r.updatedAt, r.excess = now, max(0, v+(x-v)*gain-1)
}

// longAgo is long before any start.
const longAgo = time.Duration(math.MinInt64 / 4)

func secondsToDuration(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// chunkKey is the key of the part: caches keep each part by itself.
func (q *request) chunkKey() uint64 {
	return mix64(uint64(q.Object) + uint64(q.Chunk)*0x9e3779b97f4a7c15)
}

// containsServer tells whether a server is one of those listed.
func containsServer(list []*server, id ServerID) bool {
	return slices.ContainsFunc(list, func(s *server) bool { return s.ID == id })
}
