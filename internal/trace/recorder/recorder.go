// Package recorder records the traces of a dispatcher's requests. Package sampling decides which
// traces are retained, and the recorder passes the retained traces to a sink.
//
// The work on the dispatcher's goroutine is bounded and never blocks. Retained traces pass through a
// bounded queue to a separate goroutine, which calls the sink.
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
	// flushInterval is the interval at which Run flushes the sink. A killed process loses the
	// retained traces that the sink has not flushed. The interval limits the age of these
	// traces.
	flushInterval = 250 * time.Millisecond
	// reservedBytes is the number of bytes reserved for the trace of a request in flight. It is
	// the size of a trace with the spans of two attempts.
	reservedBytes = 760
)

// spanSeedShift is the number of bits by which the request number is shifted in the seed of span
// IDs. Each request can use 2^20 seeds, which do not overlap with the seeds of the next request.
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

// applySettings applies the latest settings that were passed to UpdateSettings. It does nothing
// if they have been applied already.
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

// Close ends the trace of a request at the time now, in Unix ms, and passes the trace to the
// sampler. The caller must call Close once, on the dispatcher's goroutine, after
// trace.ActiveTrace.Done has reported true.
func (r *Recorder) Close(now float64, t *RequestTrace) {
	finished := t.Finished()
	if bytesPerSecond := r.ClientBytesPerSecond(); bytesPerSecond > 0 {
		finished.SizeAllowance = t.transferFactor * float64(t.responseBytes) / bytesPerSecond * 1000
	}
	// Tick closes the sampling windows that have ended. Without this call, the trace could be
	// sampled together with the traces of a window that has already ended.
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

// enqueue passes retained traces to Run through the queue. For each trace that fits into the queue,
// it notifies the servers to which attempts were sent. If the queue is full, enqueue drops the trace
// and calls RecordLost. The next retained trace then reports the dropped trace as lost, unless
// sampling was the only reason to retain the dropped trace.
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

// notifyServers notifies servers that a trace is retained: the servers to which attempts of the
// trace were sent. It omits a server if the trace's first attempt at the server was not sent. The
// trace already belongs to the goroutine of Run, so notifyServers must not modify it.
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

// hasAttemptAt reports whether the spans contain an attempt at the given server.
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

// reportSinkError counts an error of the sink. It does nothing if err is nil. It logs only the
// 1st, 2nd, 4th, 8th error and so on. If it logged each error, repeated errors, for example of a
// full disk, would flood the log.
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

// Shutdown ends the current sampling windows and queues the traces that were sampled in them. It
// returns after Run has passed all retained traces to the sink and has closed the sink. Run must
// have been started, and the dispatcher must have stopped, before Shutdown is called.
func (r *Recorder) Shutdown() {
	r.enqueue(r.sampler.Close()...)
	close(r.shutdown)
	<-r.stopped
}
