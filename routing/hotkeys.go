package routing

import "time"

// recordRequestFor counts a request for an object and returns the decayed count. The count decays more
// slowly if this router receives a smaller fraction of the zone's requests. An object that is requested
// equally often in the zone thus has about the same count with any number of routers.
func (r *Router) recordRequestFor(object ObjectID) float64 {
	count, _ := r.popularity.get(uint64(object))
	timeConstant := time.Duration(float64(popularityTimeConstant) / r.zoneFraction)
	total := count.add(r.now, timeConstant, 1)
	r.popularity.put(uint64(object), count)
	return total
}
