package transport

// rateLimiter limits what is sent a second. A second's worth may be sent at once.
type rateLimiter struct {
	packetsPerSecond, bytesPerSecond float64
	packetTokens, byteTokens         float64
	refilledAt                       float64 // ms; 0: never
}

// allow takes the tokens of a packet of size bytes, if reserve, a share of a second's worth,
// is left after it.
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
