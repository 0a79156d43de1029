package routing

import "time"

// recordRequestFor counts one more request for an object and returns the decayed count. It decays
// more slowly the fewer of the zone's requests this router receives, so that the count means the
// same at any number of routers.
func (r *Router) recordRequestFor(object ObjectID) float64 {
	count, _ := r.popularity.get(uint64(object))
	timeConstant := time.Duration(float64(popularityTimeConstant) / r.zoneFraction)
	total := count.add(r.now, timeConstant, 1)
	r.popularity.put(uint64(object), count)
	return total
}
