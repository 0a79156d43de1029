package httpfront

import (
	"time"

	"garnetline/internal/clock"
)

const (
	// maxRequestRate limits the requests of one connection per second. Clients have one request at a
	// time on a connection, so only a client that floods the server reaches it.
	maxRequestRate = 1000.0
	// requestBurst is the number of requests that may follow each other without a pause.
	requestBurst = 100.0
)

// pacer is a token bucket for the requests of one connection.
type pacer struct {
	tokens    float64
	updatedAt float64 // time in ms; 0: no request yet
}

// wait takes a token, and waits until the connection may read its next request.
func (p *pacer) wait(now float64) {
	if delayMs := p.take(now); delayMs > 0 {
		time.Sleep(clock.Duration(delayMs))
	}
}

// take takes a token and returns the time in ms until the bucket has one again, or 0.
func (p *pacer) take(now float64) (delayMs float64) {
	if p.updatedAt == 0 {
		p.tokens = requestBurst
	} else {
		p.tokens = min(requestBurst, p.tokens+max(0, now-p.updatedAt)*maxRequestRate/1000)
	}
	p.updatedAt = now
	p.tokens = max(p.tokens-1, -1)
	if p.tokens >= 0 {
		return 0
	}
	return -p.tokens * 1000 / maxRequestRate
}
