package routing

import "time"

// recordRequestFor counts a request for an object and returns the decayed count. The smaller the
// fraction of the zone's requests that this router receives, the more slowly the count decays, so that
// it has the same meaning with any number of routers.
func (r *Router) recordRequestFor(object ObjectID) float64 {
	count, _ := r.popularity.get(uint64(object))
	timeConstant := time.Duration(float64(popularityTimeConstant) / r.zoneFraction)
	total := count.add(r.now, timeConstant, 1)
	r.popularity.put(uint64(object), count)
	return total
}
