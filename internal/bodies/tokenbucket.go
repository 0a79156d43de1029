package bodies

// tokenBucket limits a rate. A burst can use at most the tokens that are added in one second.
type tokenBucket struct {
	rate      float64 // tokens per second
	tokens    float64
	updatedAt float64 // time of the last update of tokens, in Unix ms
}

// setRate sets the rate, in tokens per second.
func (b *tokenBucket) setRate(rate float64) {
	b.rate = rate
	b.tokens = min(b.tokens, rate)
}

// allow takes n tokens and reports whether there were enough. If there are fewer than n tokens, it
// takes none. The argument now is the current time in Unix ms.
func (b *tokenBucket) allow(now, n float64) bool {
	added := b.rate * max(0, now-b.updatedAt) / 1000
	b.tokens = min(b.rate, b.tokens+added)
	b.updatedAt = max(b.updatedAt, now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}
