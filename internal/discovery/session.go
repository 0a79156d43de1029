package discovery

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
)

// reconnectBackoff are the waits between connections: they double up to retryMost while
// nothing is heard, and each is drawn from the upper half of its length.
//
// Symptom guarded against: a log that goes away is missed by all routers at one
// moment, and all of them, hundreds in a fleet, came back to it at one moment too.
type reconnectBackoff struct {
	random  *rand.Rand
	ceiling float64 // the longest that the latest could be, ms; 0: there was none
}

// nextDelay returns the wait, in milliseconds, after a connection on which something
// was heard or not.
func (p *reconnectBackoff) nextDelay(heard bool) float64 {
	if p.ceiling = min(2*p.ceiling, maxBackoff); heard || p.ceiling == 0 {
		p.ceiling = initialBackoff
	}
	return p.ceiling * (1 + p.random.Float64()) / 2
}

// runSession follows one connection until it breaks or another configuration
// comes, which cuts it.
func (l *Watcher) runSession(ctx context.Context) (heard bool, next *platformconfig.Config, err error) {
	ctx, cut := context.WithCancel(ctx)
	frames := make(chan frameResult)
	done := make(chan struct{})
	go func(c *platformconfig.Config, seq uint64) {
		defer close(done)
		l.readFrames(ctx, c, seq, frames)
	}(l.config, l.lastSeq)
	defer func() { cut(); <-done }()
	return l.processEvents(ctx, frames, nil)
}

// readFrames reads one connection, from a number on, until it breaks.
func (l *Watcher) readFrames(ctx context.Context, conf *platformconfig.Config, seq uint64, to chan<- frameResult) {
	f := frameResult{}
	hand := func() bool {
		select {
		case to <- f:
			return f.err == nil
		case <-ctx.Done():
			return false
		}
	}
	dctx, stop := context.WithTimeout(ctx, clock.Duration(dialTimeout))
	c, err := l.dial(dctx, conf.Discovery)
	stop()
	if f.err = err; err != nil {
		hand()
		return
	}
	k := textconn.New(c)
	defer k.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })()
	f.err = k.Flush(binary.BigEndian.AppendUint64(k.WriteBuffer(), seq), nil, dialTimeout)
	for first := true; first || hand(); first = false {
		if f.err == nil {
			f.err = c.SetReadDeadline(time.Now().Add(clock.Duration(frameTimeout)))
		}
		if f.err == nil {
			f.event, f.kind, f.err = readFrame(k, len(conf.Zones), len(conf.Kinds))
		}
	}
}
