// Package export sends kept traces to a collector, as OTLP in JSON over HTTP. It has a
// bounded queue and an actor of its own: a collector that is gone, slow, or answers
// errors costs no request anything. What finds no room in the queue is counted.
package export

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/textconn"
	"garnetline/internal/trace"
	"garnetline/internal/trace/render"
)

const (
	maxBatch        = 64       // traces in one call
	maxResponseSize = 64 << 10 // bytes of an answer that are read
)

// Options are what an Exporter is made with.
type Options struct {
	URL       string  // http
	QueueSize int     // traces that wait
	Timeout   float64 // ms, of one call
	Metrics   *metrics.Registry
	Log       *zerolog.Logger
	Seed      uint64
}

// Exporter is a record.Sink.
type Exporter struct {
	Options
	collector *url.URL
	queue     chan *trace.Trace
	quit      chan struct{}
	stopped   chan struct{}
}

// New returns an Exporter whose actor runs until Close.
func New(o Options) (*Exporter, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("%q is not an http URL", o.URL)
	}
	if u.Port() == "" {
		u.Host += ":80"
	}
	if u.Path == "" {
		u.Path = "/v1/traces"
	}
	x := &Exporter{Options: o, collector: u, queue: make(chan *trace.Trace, o.QueueSize), quit: make(chan struct{}), stopped: make(chan struct{})}
	go x.run()
	return x, nil
}

// Add queues a trace. It never waits.
func (x *Exporter) Add(t *trace.Trace) error {
	select {
	case x.queue <- t:
	default:
		x.Metrics.Add("traces_not_exported", 1)
	}
	return nil
}

// Flush has nothing to do: what is queued is sent as soon as it can be.
func (x *Exporter) Flush(float64) error { return nil }

// Close makes one last call with what is queued, a batch at the most, and returns when
// it has ended, within the timeout. The rest is counted as not exported.
func (x *Exporter) Close(float64) error {
	close(x.quit)
	<-x.stopped
	return nil
}

// run sends batches; one that failed is sent again after a pause.
func (x *Exporter) run() {
	defer close(x.stopped)
	p := backoff{random: rand.New(rand.NewPCG(x.Seed, 3))}
	var batch []*trace.Trace
	for {
		if len(batch) == 0 {
			select {
			case t := <-x.queue:
				batch = append(batch, t)
			case <-x.quit:
				return
			}
		}
		batch = x.fillBatch(batch)
		after, err := x.send(batch)
		switch {
		case err == nil:
			x.Metrics.Add("traces_exported", int64(len(batch)))
			p.bound, batch = 0, nil
			continue
		case errors.Is(err, errPermanent):
			x.Metrics.Add("traces_not_exported", int64(len(batch)))
			batch = nil
		}
		if p.bound == 0 { // once, until a call succeeds again
			x.Log.Warn().Err(err).Str("collector", x.collector.Host).Msg("traces not exported")
		}
		x.Metrics.Add("export_failures", 1)
		select {
		case <-time.After(clock.Duration(p.next(after))):
		case <-x.quit:
			if batch = x.fillBatch(batch); len(batch) > 0 {
				if _, err := x.send(batch); err == nil {
					x.Metrics.Add("traces_exported", int64(len(batch)))
					batch = nil
				}
			}
			x.Metrics.Add("traces_not_exported", int64(len(batch)+len(x.queue)))
			return
		}
	}
}

// more fills a batch with what is queued.
func (x *Exporter) fillBatch(batch []*trace.Trace) []*trace.Trace {
	for len(batch) < maxBatch {
		select {
		case t := <-x.queue:
			batch = append(batch, t)
		default:
			return batch
		}
	}
	return batch
}

// errFinal reports an answer after which the same batch would fare no better.
var errPermanent = errors.New("refused for good")

// send makes one call. after is how long the collector asks to be left alone, ms.
func (x *Exporter) send(batch []*trace.Trace) (after float64, err error) {
	body, err := render.Batch(batch)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errPermanent, err)
	}
	within := clock.Duration(x.Timeout)
	ctx, stop := context.WithTimeout(context.Background(), within)
	defer stop()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", x.collector.Host)
	if err != nil {
		return 0, err
	}
	k := textconn.New(nc)
	defer k.Close()
	if err := nc.SetReadDeadline(time.Now().Add(within)); err != nil {
		return 0, err
	}
	head := fmt.Appendf(k.WriteBuffer(), "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		x.collector.RequestURI(), x.collector.Host, len(body))
	if err := k.Flush(head, body, x.Timeout); err != nil {
		return 0, err
	}
	k.LimitRead(maxResponseSize)
	line, err := k.ReadLine()
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(rest[:min(len(rest), 3)])
	if err != nil || !strings.HasPrefix(line, "HTTP/1.") {
		return 0, fmt.Errorf("answer %.40q", line)
	}
	header, err := k.ReadMIMEHeader()
	if err != nil {
		return 0, err
	}
	switch {
	case status/100 == 2:
		_, err := io.Copy(io.Discard, k.R) // a close before it is read could reset the call
		if errors.Is(err, textconn.ErrMessageTooLong) {
			err = nil
		}
		return 0, err
	case status == 429 || status == 502 || status == 503 || status == 504: // as OTLP says
		seconds, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
		return min(max(seconds, 0)*1000, maxBackoff), fmt.Errorf("status %d", status)
	}
	return 0, fmt.Errorf("%w: status %d", errPermanent, status)
}

// pause is the wait after a call that failed: it doubles from shortest to longest, and
// each is drawn from the upper half of its length, so that routers come back apart.
type backoff struct {
	random *rand.Rand
	bound  float64
}

const (
	minBackoff = 200.0 // ms
	maxBackoff = 30_000.0
)

// next returns the wait, in ms: at least what the collector asked for.
func (p *backoff) next(after float64) float64 {
	p.bound = min(max(2*p.bound, minBackoff), maxBackoff)
	return max(p.bound*(1+p.random.Float64())/2, after)
}
