package discovery

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/internal/textconn"
)

// Timeouts and delays of a session, in milliseconds.
const (
	frameTimeout   = 1600.0 // a session ends after this time without a frame; the change log sends a frame each second
	dialTimeout    = 500.0  // limits the dial, and also the write of the request
	initialBackoff = 50.0   // upper bound of the first delay before a reconnect; the bound doubles each time
	maxBackoff     = 800.0
)

// runSession connects to the change log and processes events until the connection breaks, another
// configuration arrives or ctx is done. When runSession returns, its reader goroutine has ended.
func (w *Watcher) runSession(ctx context.Context) sessionEnd {
	ctx, cancel := context.WithCancel(ctx)
	frames := make(chan frameResult)
	readerDone := make(chan struct{})
	go func(config *platformconfig.Config, afterSeq uint64) {
		defer close(readerDone)
		w.readFrames(ctx, config, afterSeq, frames)
	}(w.config, w.lastSeq)
	defer func() {
		cancel()
		<-readerDone
	}()
	return w.processEvents(ctx, frames, nil)
}

// readFrames connects to the change log, requests the events after afterSeq, and sends each frame
// to results. If the connection breaks, readFrames sends the error to results and returns. It also
// returns when ctx is done.
func (w *Watcher) readFrames(ctx context.Context, config *platformconfig.Config, afterSeq uint64, results chan<- frameResult) {
	send := func(result frameResult) bool {
		select {
		case results <- result:
			return result.err == nil
		case <-ctx.Done():
			return false
		}
	}
	conn, err := w.connect(ctx, config)
	if err != nil {
		send(frameResult{err: err})
		return
	}
	stream := textconn.New(conn)
	defer func() { _ = stream.Close() }()
	interrupt := func() { _ = conn.SetDeadline(time.Now()) }
	defer context.AfterFunc(ctx, interrupt)()
	request := binary.BigEndian.AppendUint64(stream.WriteBuffer(), afterSeq)
	if err := stream.Flush(request, dialTimeout); err != nil {
		send(frameResult{err: err})
		return
	}
	for {
		var result frameResult
		result.err = conn.SetReadDeadline(time.Now().Add(clock.Duration(frameTimeout)))
		if result.err == nil {
			result.frame, result.err = readFrame(stream, len(config.Zones), len(config.Kinds))
		}
		if !send(result) {
			return
		}
	}
}

func (w *Watcher) connect(ctx context.Context, config *platformconfig.Config) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(dialTimeout))
	defer cancel()
	return w.dial(ctx, config.Discovery)
}

// reconnectBackoff computes the delays between connections. While no frame is received, the upper
// bound of the delay doubles up to maxBackoff. Each delay is a random value from half the bound to
// the bound. A fleet has hundreds of routers, and all of them may lose the change log at the same
// moment. Without the randomness, they would also connect again at the same moment.
type reconnectBackoff struct {
	random  *rand.Rand
	ceiling float64 // ms; upper bound of the latest delay; 0: no delay yet
}

// nextDelay returns the delay, in milliseconds, after a session. receivedFrame tells whether the
// session received a frame. If it did, the bound of the delay is initialBackoff again.
func (b *reconnectBackoff) nextDelay(receivedFrame bool) float64 {
	b.ceiling = min(2*b.ceiling, maxBackoff)
	if receivedFrame || b.ceiling == 0 {
		b.ceiling = initialBackoff
	}
	return b.ceiling * (1 + b.random.Float64()) / 2
}

// reset makes initialBackoff the bound of the next delay.
func (b *reconnectBackoff) reset() { b.ceiling = 0 }
