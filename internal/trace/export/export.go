// Package export sends retained traces to a collector, as OTLP in JSON over HTTP.
//
// An Exporter has a bounded queue and a goroutine of its own: a collector that is down, slow
// or answers errors delays no request. Traces that do not fit into the queue are counted.
package export

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
)

const (
	// maxBatch is how many traces one call takes.
	maxBatch = 64
	// defaultPort and defaultPath complete a collector's URL. The path is OTLP's.
	defaultPort = ":80"
	defaultPath = "/v1/traces"
	// backoffStream separates the random numbers of the backoff from others of the same seed.
	backoffStream = 3
)

// The metrics that an Exporter counts.
const (
	metricExported    = "traces_exported"
	metricNotExported = "traces_not_exported"
	metricFailures    = "export_failures" // calls
)

// ErrInvalidURL is returned by New for a collector's URL that is not an http URL with a host.
var ErrInvalidURL = errors.New("not an http URL")

// Options configure an Exporter.
type Options struct {
	URL       string  // of the collector; http only
	QueueSize int     // traces
	Timeout   float64 // ms, for connecting, and from then on for writing and for the response
	Metrics   *metrics.Registry
	Log       *zerolog.Logger
	Seed      uint64 // of the backoff's jitter; differs from router to router
}

// Exporter is a recorder.Sink that sends traces to a collector.
type Exporter struct {
	Options
	collector *url.URL
	queue     chan *trace.Trace
	quit      chan struct{} // closed by Close
	stopped   chan struct{} // closed when run has returned

	// Owned by the goroutine of run.
	batch   []*trace.Trace // taken from the queue and not yet exported
	backoff backoff
}

// New returns an Exporter whose goroutine runs until Close. Its errors are ErrInvalidURL.
func New(options Options) (*Exporter, error) {
	collector, err := parseCollectorURL(options.URL)
	if err != nil {
		return nil, err
	}
	x := &Exporter{
		Options:   options,
		collector: collector,
		queue:     make(chan *trace.Trace, options.QueueSize),
		quit:      make(chan struct{}),
		stopped:   make(chan struct{}),
		backoff:   backoff{random: rand.New(rand.NewPCG(options.Seed, backoffStream))},
	}
	go x.run()
	return x, nil
}

// parseCollectorURL parses a URL and completes its port and path.
func parseCollectorURL(text string) (*url.URL, error) {
	collector, err := url.Parse(text)
	if err != nil || collector.Scheme != "http" || collector.Host == "" {
		return nil, fmt.Errorf("%q is %w", text, ErrInvalidURL)
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

// Flush does nothing: queued traces are sent without delay.
func (x *Exporter) Flush(float64) error { return nil }

// Close stops the Exporter and waits until its goroutine has returned. If the collector is
// failing, one last call is made, with one batch; what remains is counted as not exported.
// Close must be called once, and Add not after it.
func (x *Exporter) Close(float64) error {
	close(x.quit)
	<-x.stopped
	return nil
}

// run sends batches until Close. A batch whose call failed is sent again after a backoff.
func (x *Exporter) run() {
	defer close(x.stopped)
	for x.waitForBatch() {
		retryAfter, err := x.send(x.batch)
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

// waitForBatch waits until there is a batch to send, and reports false on Close. A batch from
// before is filled up and sent again.
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

// fillBatch adds to the batch what is queued, without waiting.
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

// recordExported counts the batch as exported.
func (x *Exporter) recordExported() {
	x.Metrics.Add(metricExported, int64(len(x.batch)))
	x.batch = nil
}

// recordFailure counts a call that failed, and drops the batch if the collector will not take
// it later either. It logs the first failure after a success.
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

// waitForBackoff waits until the next call may be made, and reports false on Close.
func (x *Exporter) waitForBackoff(retryAfter float64) bool {
	select {
	case <-time.After(clock.Duration(x.backoff.next(retryAfter))):
		return true
	case <-x.quit:
		return false
	}
}

// sendLast sends one more batch, and counts what remains as not exported.
func (x *Exporter) sendLast() {
	x.fillBatch()
	if len(x.batch) > 0 {
		if _, err := x.send(x.batch); err == nil {
			x.recordExported()
		}
	}
	x.Metrics.Add(metricNotExported, int64(len(x.batch)+len(x.queue)))
}
