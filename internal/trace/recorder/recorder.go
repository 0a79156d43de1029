// Package recorder records the traces of a dispatcher's requests and passes the traces that package
// sampling retains to a sink.
//
// The work on the dispatcher's goroutine is bounded and never blocks. Retained traces pass through
// a bounded queue to a separate goroutine, which calls the sink.
package recorder

import (
	"slices"
	"sync/atomic"
	"time"

	"garnetline/internal/trace"
	"garnetline/internal/trace/propagation"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

const (
	// queueCapacity is the maximum number of retained traces that wait for the sink. Further
	// traces are lost and counted.
	queueCapacity = 1024
	// flushInterval is the interval at which Run flushes the sink. It limits the age of the
	// retained traces that are lost when the process is killed.
	flushInterval = 250 * time.Millisecond
	// reservedBytes is the number of bytes reserved for the trace of a request in flight. It is
	// the size of a trace with the spans of two attempts.
	reservedBytes = 760
)

// spanSeedShift is the number of bits by which the request number is shifted in the seed of span
// IDs, so that the 2^20 seeds of a request do not overlap with those of the next request.
const spanSeedShift = 20

// Names of the metrics. All of them are counters.
const (
	metricRetained  = "traces_kept"
	metricQueueFull = "traces_not_taken"
	metricUntraced  = "traces_without_room"
	metricSinkError = "traces_failed"
)

// Recorder records the traces of requests. Open and Close must be called on the dispatcher's
// goroutine, and Run on a separate one. UpdateSettings may be called on any goroutine.
type Recorder struct {
	Options
	pendingSettings     atomic.Pointer[Settings] // applied by the next Open
	correlator          *propagation.Correlator
	sampler             *sampling.Sampler
	requests            uint64 // number of traces opened
	retainClientSampled bool
	retained            chan *trace.Trace
	shutdown            chan struct{}
	stopped             chan struct{}
}

// New returns a Recorder. The caller must start Run, which passes retained traces to the sink.
func New(options Options, settings Settings) *Recorder {
	return &Recorder{
		Options:             options,
		correlator:          propagation.New(options.Secret, settings.RetryWindow, options.Seed),
		sampler:             sampling.New(settings.UndecidedBytes, settings.DefaultClass, settings.Classes),
		retainClientSampled: settings.RetainClientSampled,
		retained:            make(chan *trace.Trace, queueCapacity),
		shutdown:            make(chan struct{}),
		stopped:             make(chan struct{}),
	}
}

// UpdateSettings replaces the settings. The next call of Open applies them. It may be called on any
// goroutine.
func (r *Recorder) UpdateSettings(settings Settings) { r.pendingSettings.Store(&settings) }

// applySettings applies the latest settings of UpdateSettings, if they are not applied yet.
func (r *Recorder) applySettings() {
	settings := r.pendingSettings.Swap(nil)
	if settings == nil {
		return
	}
	r.correlator.SetRetryWindow(settings.RetryWindow)
	r.sampler.UpdateSettings(settings.UndecidedBytes, settings.DefaultClass, settings.Classes)
	r.retainClientSampled = settings.RetainClientSampled
}

// Open begins the trace of a request at now, in Unix ms. It must be called on the dispatcher's
// goroutine.
func (r *Recorder) Open(now float64, request Request, class *routing.Class) *RequestTrace {
	r.applySettings()
	if request.ReceivedAt == 0 {
		request.ReceivedAt = now
	}
	t := &RequestTrace{
		correlator:     r.correlator,
		correlation:    r.correlator.Correlate(now, request.propagationRequest(class)),
		spansReserved:  r.sampler.Reserve(reservedBytes),
		transferFactor: class.ObjectiveTransferFactor,
	}
	r.requests++
	partial := trace.Trace{
		ID:            t.correlation.ID,
		ClientSpan:    t.correlation.ClientSpan,
		Retry:         t.correlation.Retry,
		Router:        r.Router,
		TransactionID: request.TransactionID,
		Class:         class.Name,
		Object:        r.correlator.HashObject(uint64(request.Object)),
		Chunk:         uint32(request.Chunk),
		PurgeGroup:    uint16(request.PurgeGroup),
		Start:         min(request.ReceivedAt, now),
		ClientSampled: t.correlation.ClientSampled && r.retainClientSampled,
	}
	t.ActiveTrace = trace.Begin(partial, r.Seed+r.requests<<spanSeedShift|1)
	return t
}

// Close ends the trace of a request at now, in Unix ms, and passes it to the sampler. It must be
// called once, on the dispatcher's goroutine, after trace.ActiveTrace.Done reports true.
func (r *Recorder) Close(now float64, t *RequestTrace) {
	finished := t.Finished()
	if bytesPerSecond := r.ClientBytesPerSecond(); bytesPerSecond > 0 {
		finished.SizeAllowance = t.transferFactor * float64(t.responseBytes) / bytesPerSecond * 1000
	}
	// Tick closes windows that have ended, so that this trace becomes a candidate of the current
	// window.
	r.enqueue(r.sampler.Tick(now)...)
	if !t.spansReserved {
		r.sampler.RecordUntraced(finished)
		r.Metrics.Add(metricUntraced, 1)
		return
	}
	retained := r.sampler.Finish(finished, reservedBytes)
	if retained == nil {
		return
	}
	if !isServed(retained.Outcome) {
		r.logUnserved(retained)
	}
	r.enqueue(retained)
}

func (r *Recorder) logUnserved(t *trace.Trace) {
	r.Log.Debug().
		Str("trace", t.ID.String()).
		Str("class", t.Class).
		Int("attempts", int(t.Attempts)).
		Float64("took_ms", t.Duration()).
		Msg("request " + t.Outcome.String())
}

// enqueue passes retained traces to Run through the queue and notifies their servers. If the queue
// is full, a trace is lost, and RecordLost makes the next retained trace report it unless the
// lost trace was only sampled.
func (r *Recorder) enqueue(retained ...*trace.Trace) {
	for _, t := range retained {
		select {
		case r.retained <- t:
			r.Metrics.Add(metricRetained, 1)
			r.notifyServers(t)
		default:
			r.Metrics.Add(metricQueueFull, 1)
			r.sampler.RecordLost(t)
		}
	}
}

// notifyServers notifies each server to which an attempt was sent that the trace is retained. It
// omits a server if the first attempt at that server was not sent. Run owns the trace by now, so
// notifyServers must not modify it.
func (r *Recorder) notifyServers(t *trace.Trace) {
	if r.NotifyRetained == nil {
		return
	}
	for i, span := range t.Spans {
		if span.Kind != trace.Attempt || span.Flags&trace.FlagSent == 0 {
			continue
		}
		if !hasAttemptAt(t.Spans[:i], span.Server) {
			r.NotifyRetained(span.Server, t.ID)
		}
	}
}

// hasAttemptAt reports whether the spans contain an attempt at a server.
func hasAttemptAt(spans []trace.Span, server routing.ServerID) bool {
	return slices.ContainsFunc(spans, func(span trace.Span) bool {
		return span.Kind == trace.Attempt && span.Server == server
	})
}

// Run passes retained traces to the sink until Shutdown is called.
func (r *Recorder) Run() {
	defer close(r.stopped)
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case t := <-r.retained:
			r.reportSinkError(r.Sink.Add(t))
		case <-flush.C:
			r.reportSinkError(r.Sink.Flush(r.Clock.Now()))
		case <-r.shutdown:
			r.drain()
			return
		}
	}
}

// drain passes the queued traces to the sink and closes the sink.
func (r *Recorder) drain() {
	for len(r.retained) > 0 {
		r.reportSinkError(r.Sink.Add(<-r.retained))
	}
	r.reportSinkError(r.Sink.Close(r.Clock.Now()))
}

// reportSinkError counts an error of the sink and does nothing if err is nil. It logs the 1st, 2nd,
// 4th, 8th error and so on, so that repeated errors, for example of a full disk, do not flood the
// log.
func (r *Recorder) reportSinkError(err error) {
	if err == nil {
		return
	}
	r.Metrics.Add(metricSinkError, 1)
	failures := r.Metrics.Counter(metricSinkError).Load()
	if isPowerOfTwo := failures&(failures-1) == 0; isPowerOfTwo {
		r.Log.Error().Err(err).Int64("failures", failures).Msg("traces not written")
	}
}

// Shutdown closes the sampling windows, waits until Run has passed all retained traces to the sink
// and has closed the sink, and then returns. The dispatcher must have stopped before, and Run must
// have been started.
func (r *Recorder) Shutdown() {
	r.enqueue(r.sampler.Close()...)
	close(r.shutdown)
	<-r.stopped
}
