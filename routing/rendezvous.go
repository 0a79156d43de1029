package routing

import "math"

// Weighted rendezvous hashing determines the home servers of objects. All routers must compute the same
// home servers, so the results of the functions in this file must never change.

// rendezvousScore returns the score of a server for a key. The server with the lowest score is the home
// of the key. A server is home of a fraction of all keys that is proportional to its capacity.
func rendezvousScore(key uint64, id ServerID, capacity float64) float64 {
	return -math.Log(uniform(key^mix64(uint64(id)))) / capacity
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform maps keys to evenly distributed numbers above 0 and below 1.
func uniform(key uint64) float64 {
	const mantissaBits = 53
	return (float64(mix64(key)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// chunkKey returns the rendezvous key of a request's chunk. Caches store each chunk separately.
func (q *request) chunkKey() uint64 {
	return mix64(uint64(q.Object) + uint64(q.Chunk)*chunkStride)
}

// chunkStride gives the chunks of an object different keys. All routers must use the same value.
const chunkStride = 0x9e3779b97f4a7c15
