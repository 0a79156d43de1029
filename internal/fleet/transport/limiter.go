package transport

// rateLimiter is a pair of token buckets that limits the packets and the bytes sent per second.
// Each bucket holds at most the tokens of one second.
type rateLimiter struct {
	packetsPerSecond, bytesPerSecond float64
	packetTokens, byteTokens         float64
	refilledAt                       float64 // ms; 0: never
}

// allow takes the tokens of a packet of the given size, in bytes, and reports whether it took them.
// The argument reserve is a share of each bucket's capacity. allow takes no tokens if either bucket
// would then hold less than this share.
func (l *rateLimiter) allow(now float64, size int, reserve float64) bool {
	l.refill(now)
	packets := l.packetTokens - 1
	bytes := l.byteTokens - float64(size)
	if packets < reserve*l.packetsPerSecond || bytes < reserve*l.bytesPerSecond {
		return false
	}
	l.packetTokens = packets
	l.byteTokens = bytes
	return true
}

func (l *rateLimiter) refill(now float64) {
	elapsed := (now - l.refilledAt) / 1000
	switch {
	case l.refilledAt == 0:
		l.packetTokens = l.packetsPerSecond
		l.byteTokens = l.bytesPerSecond
	case elapsed > 0:
		l.packetTokens = min(l.packetsPerSecond, l.packetTokens+elapsed*l.packetsPerSecond)
		l.byteTokens = min(l.bytesPerSecond, l.byteTokens+elapsed*l.bytesPerSecond)
	}
	l.refilledAt = now
}
