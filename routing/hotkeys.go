package routing

import "time"

// recordRequestFor counts one more request for an object and returns the decayed count.
func (r *Router) recordRequestFor(o ObjectID) float64 {
	e, _ := r.popularity.get(uint64(o))
	count := e.add(r.now, time.Duration(float64(popularityTimeConstant)/r.zoneFraction), 1)
	r.popularity.put(uint64(o), e)
	return count
}
