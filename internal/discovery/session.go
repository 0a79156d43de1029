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

// Times of a session, in milliseconds.
const (
	frameTimeout   = 1600.0 // without a frame; the change log sends one each second
	dialTimeout    = 500.0  // also for writing the request
	initialBackoff = 50.0   // before the next connection; doubles
	maxBackoff     = 800.0
)

// runSession follows one connection until it breaks, or until another configuration or the
// end of ctx cuts it. Its reader has ended when runSession returns.
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

// readFrames connects to the change log, asks for the events after a number, and sends each
// frame to results, until the connection breaks, which is the last result, or ctx ends.
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
	if err := stream.Flush(request, nil, dialTimeout); err != nil {
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

// reconnectBackoff computes the delays between connections: they double up to maxBackoff
// while no frame is received, and each is drawn from the upper half of its range.
//
// Symptom guarded against: all routers of a fleet, hundreds of them, lost the change log at
// one moment and connected to it again at one moment.
type reconnectBackoff struct {
	random  *rand.Rand
	ceiling float64 // ms; of the latest delay, 0 before the first
}

// nextDelay returns the delay, in milliseconds, after a session in which a frame was
// received or not.
func (b *reconnectBackoff) nextDelay(receivedFrame bool) float64 {
	b.ceiling = min(2*b.ceiling, maxBackoff)
	if receivedFrame || b.ceiling == 0 {
		b.ceiling = initialBackoff
	}
	return b.ceiling * (1 + b.random.Float64()) / 2
}

// reset has the next delay begin at initialBackoff.
func (b *reconnectBackoff) reset() { b.ceiling = 0 }
