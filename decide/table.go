package decide

import (
	"math"
	"slices"
	"time"
)

// tableMax is how many objects or parts a half of a table holds: some MB at the most.
const tableMax = 1 << 15

// rate is an exponentially decaying sum.
type rate struct {
	at time.Duration
	v  float64
}

// add decays the sum over a mean life, adds x and returns it.
func (r *rate) add(now, life time.Duration, x float64) float64 {
	r.v = r.v*math.Exp(-(now-r.at).Seconds()/life.Seconds()) + x
	r.at = now
	return r.v
}

// pick returns a where c holds, else b.
func pick[T any](c bool, a, b T) T {
	if c {
		return a
	}
	return b
}

// mix is a fixed mixing function: all routers must agree on homes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform maps a key evenly to numbers above 0 and below 1.
func uniform(key uint64) float64 { return (float64(mix(key)>>11) + 0.5) / (1 << 53) }

// bounded is a table of limited size: when its young half is full that becomes
// the old one, and what was not touched since is forgotten.
type bounded[V any] struct{ young, old map[uint64]V }

func (t *bounded[V]) get(k uint64) (V, bool) {
	v, ok := t.young[k]
	if !ok {
		v, ok = t.old[k]
	}
	return v, ok
}

func (t *bounded[V]) put(k uint64, v V) {
	if t.young == nil || len(t.young) >= tableMax {
		t.young, t.old = map[uint64]V{}, t.young
	}
	t.young[k] = v
}

// ratio is a smoothed ratio that goes back to 1 where nothing more is felt.
type ratio struct {
	at   time.Duration
	over float64 // what it is over 1
}

func (r *ratio) get(now, life time.Duration) float64 {
	return 1 + r.over*math.Exp(-(now-r.at).Seconds()/life.Seconds())
}

// feel moves the ratio by a part of the way to x, but never under 1.
func (r *ratio) feel(now, life time.Duration, gain, x float64) {
	v := r.get(now, life)
	r.at, r.over = now, max(0, v+(x-v)*gain-1)
}

// never is long before any start.
const never = time.Duration(math.MinInt64 / 4)

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// partKey is the key of the part: caches keep each part by itself.
func (q *request) partKey() uint64 { return mix(uint64(q.Object) + uint64(q.Part)*0x9e3779b97f4a7c15) }

// has tells whether a server is one of those listed.
func has(list []*server, id ServerID) bool {
	return slices.ContainsFunc(list, func(s *server) bool { return s.ID == id })
}
