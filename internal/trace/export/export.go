// Package export sends retained traces to a collector as OTLP JSON over HTTP.
//
// An Exporter has a bounded queue and its own goroutine. Therefore a collector that is down, is
// slow or returns errors does not delay the router's requests. Traces that do not fit into the
// queue are dropped and counted. This package uses the word "call" for an HTTP request to the
// collector.
package export

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/adaptivetimeout"
	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
)

const (
	maxTimeout = 60_000.0 // ms, upper bound of the timeout of a call, unless Options.Timeout is longer
	// maxBatch is the maximum number of traces in one call.
	maxBatch = 64
	// defaultPort and defaultPath replace a missing port and a missing path in a collector's
	// URL. OTLP specifies the path.
	defaultPort = ":80"
	defaultPath = "/v1/traces"
	// backoffStream is the second half of the seed of the backoff's random number generator; the
	// first half is Options.Seed. The backoff therefore draws other numbers than generators that
	// combine the same Options.Seed with another second half.
	backoffStream = 3
)

// The names of the counters that an Exporter increments.
const (
	metricExported    = "traces_exported"
	metricNotExported = "traces_not_exported"
	metricFailures    = "export_failures" // counts failed calls, not traces
)

// ErrInvalidURL is returned by New if the collector's URL is not an http URL with a host.
var ErrInvalidURL = errors.New("export: expected an http URL with a host for the collector")

// Options configure an Exporter.
type Options struct {
	URL       string  // URL of the collector; the scheme must be http
	QueueSize int     // maximum number of traces in the queue
	Timeout   float64 // ms, for connecting; after connecting, the same time again for the request and the response; doubles after a call that timed out, up to maxTimeout
	Metrics   *metrics.Registry
	Log       *zerolog.Logger
	Seed      uint64 // seed of the random waits after failures; must differ between routers
}

// Exporter is a recorder.Sink that sends traces to a collector.
type Exporter struct {
	Options
	collector *url.URL
	queue     chan *trace.Trace
	quit      chan struct{} // closed by Close
	stopped   chan struct{} // closed when run has returned

	// Owned by the goroutine of run.
	batch   []*trace.Trace // traces taken from the queue and not yet exported
	backoff backoff
	timeout adaptivetimeout.Timeout

	calls       context.Context // is done soon after Close; ends the call in progress
	cancelCalls context.CancelFunc
}

// New returns an Exporter whose goroutine runs until Close. If the URL is invalid, New returns
// an error that wraps ErrInvalidURL. It returns no other errors.
func New(options Options) (*Exporter, error) {
	collector, err := parseCollectorURL(options.URL)
	if err != nil {
		return nil, err
	}
	calls, cancelCalls := context.WithCancel(context.Background())
	created := &Exporter{
		Options:   options,
		collector: collector,
		queue:     make(chan *trace.Trace, options.QueueSize),
		quit:      make(chan struct{}),
		stopped:   make(chan struct{}),
		backoff:   backoff{random: rand.New(rand.NewPCG(options.Seed, backoffStream))},
		timeout:   adaptivetimeout.New(options.Timeout, maxTimeout),

		calls:       calls,
		cancelCalls: cancelCalls,
	}
	go created.run()
	return created, nil
}

// parseCollectorURL parses the URL of a collector. It adds the default port or the default path
// if the URL has none.
func parseCollectorURL(text string) (*url.URL, error) {
	collector, err := url.Parse(text)
	if err != nil || collector.Scheme != "http" || collector.Host == "" {
		return nil, fmt.Errorf("%w, got %q", ErrInvalidURL, text)
	}
	if collector.Port() == "" {
		collector.Host += defaultPort
	}
	if collector.Path == "" {
		collector.Path = defaultPath
	}
	return collector, nil
}

// Add queues a trace, or counts it as not exported if the queue is full. It does not block,
// and its error is always nil.
func (x *Exporter) Add(t *trace.Trace) error {
	select {
	case x.queue <- t:
	default:
		x.Metrics.Add(metricNotExported, 1)
	}
	return nil
}

// Flush does nothing, because the goroutine of run sends queued traces without delay.
func (x *Exporter) Flush(float64) error { return nil }

// Close stops the Exporter and waits until its goroutine has returned. A call in progress has
// Options.Timeout to end. If the last call failed, the Exporter makes one more call with one batch, and counts the traces that this call did not export
// as not exported. Close must be called only once. Add must not be called after Close.
func (x *Exporter) Close(float64) error {
	close(x.quit)
	timer := time.AfterFunc(clock.Duration(x.Timeout), x.cancelCalls)
	<-x.stopped
	timer.Stop()
	x.cancelCalls()
	return nil
}

// run sends batches until Close. After a failed call it waits for the backoff and sends the
// batch again, unless the failure is permanent.
func (x *Exporter) run() {
	defer close(x.stopped)
	for x.waitForBatch() {
		retryAfter, err := x.sendTimed()
		if err == nil {
			x.recordExported()
			x.backoff.reset()
			continue
		}
		x.recordFailure(err)
		if !x.waitForBackoff(retryAfter) {
			x.sendLast()
			return
		}
	}
}

// sendTimed sends the batch, and adapts the timeout of the next call to the result. A collector that is
// always slower than Options.Timeout would otherwise get the same batch again and again.
func (x *Exporter) sendTimed() (retryAfter float64, err error) {
	start := time.Now()
	retryAfter, err = x.send(x.calls, x.batch, x.timeout.Current())
	x.timeout.Record(clock.Millis(time.Since(start)), err)
	return retryAfter, err
}

// waitForBatch waits until there is a batch to send. It returns false if Close was called
// instead. If a failed call left a batch, waitForBatch does not wait, but adds queued traces to
// that batch.
func (x *Exporter) waitForBatch() bool {
	if len(x.batch) == 0 {
		select {
		case t := <-x.queue:
			x.batch = append(x.batch, t)
		case <-x.quit:
			return false
		}
	}
	x.fillBatch()
	return true
}

// fillBatch moves traces from the queue to the batch until the batch is full or the queue is
// empty.
func (x *Exporter) fillBatch() {
	for len(x.batch) < maxBatch {
		select {
		case t := <-x.queue:
			x.batch = append(x.batch, t)
		default:
			return
		}
	}
}

// recordExported counts the traces of the batch as exported, and empties the batch.
func (x *Exporter) recordExported() {
	x.Metrics.Add(metricExported, int64(len(x.batch)))
	x.batch = nil
}

// recordFailure counts a failed call. If the failure is permanent, it drops the batch. It logs
// only the first failure after a successful call, so that a long outage does not fill the log.
func (x *Exporter) recordFailure(err error) {
	if errors.Is(err, errPermanent) {
		x.Metrics.Add(metricNotExported, int64(len(x.batch)))
		x.batch = nil
	}
	if !x.backoff.active() {
		x.Log.Warn().Err(err).Str("collector", x.collector.Host).Msg("traces not exported")
	}
	x.Metrics.Add(metricFailures, 1)
}

// waitForBackoff waits until the next call may be made. It returns false if Close is called
// during the wait. retryAfter is the minimum wait, in ms, that the collector asked for.
func (x *Exporter) waitForBackoff(retryAfter float64) bool {
	select {
	case <-time.After(clock.Duration(x.backoff.nextWait(retryAfter))):
		return true
	case <-x.quit:
		return false
	}
}

// sendLast sends one last batch. It counts the traces that remain in the batch or in the queue
// as not exported.
func (x *Exporter) sendLast() {
	x.fillBatch()
	if len(x.batch) > 0 {
		if _, err := x.send(context.Background(), x.batch, x.Timeout); err == nil {
			x.recordExported()
		}
	}
	x.Metrics.Add(metricNotExported, int64(len(x.batch)+len(x.queue)))
}
