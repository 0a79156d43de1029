// Package recorder records the traces of a dispatcher's requests and passes those that package
// sampling retains to sinks.
//
// What it does on the dispatcher's goroutine is bounded and never blocks: retained traces go
// through a queue to a goroutine of their own, which calls the sinks.
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
	// queueCapacity is how many retained traces wait for the sinks at the most; those beyond it
	// are lost, and counted.
	queueCapacity = 1024
	// flushInterval bounds which retained traces are lost when the process is killed.
	flushInterval = 250 * time.Millisecond
	// reservedBytes is reserved for the trace of a request in flight: its size with the spans of
	// two attempts.
	reservedBytes = 760
)

// spanSeedShift leaves 2^20 span ids to each request before those of the next one follow.
const spanSeedShift = 20

// Names of the metrics, all of them counters.
const (
	metricRetained  = "traces_kept"
	metricQueueFull = "traces_not_taken"
	metricUntraced  = "traces_without_room"
	metricSinkError = "traces_failed"
)

// Recorder records the traces of requests. Open and Close belong to the dispatcher's goroutine,
// Run to a goroutine of its own; UpdateSettings may be called from any.
type Recorder struct {
	Options
	pendingSettings     atomic.Pointer[Settings] // applied by the next Open
	correlator          *propagation.Correlator
	sampler             *sampling.Sampler
	requests            uint64 // opened so far
	retainClientSampled bool
	retained            chan *trace.Trace
	shutdown            chan struct{}
	stopped             chan struct{}
}

// New returns a Recorder. Run must be called for retained traces to reach the sink.
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

// UpdateSettings replaces the settings from the next request on. It may be called from any
// goroutine.
func (r *Recorder) UpdateSettings(settings Settings) { r.pendingSettings.Store(&settings) }

// applySettings applies the last settings that UpdateSettings was called with, once.
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

// Close ends the trace of a request that is done, see trace.ActiveTrace.Done, at now in Unix
// ms. It must be called on the dispatcher's goroutine, once.
func (r *Recorder) Close(now float64, t *RequestTrace) {
	finished := t.Finished()
	if bytesPerSecond := r.ClientBytesPerSecond(); bytesPerSecond > 0 {
		finished.SizeAllowance = t.transferFactor * float64(t.responseBytes) / bytesPerSecond * 1000
	}
	// Windows that are over are closed before this trace becomes a candidate of its own.
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

// enqueue passes retained traces to Run. One for which the queue has no place is lost, and if
// it had to be retained the next one reports it.
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

// notifyServers notifies each server to which an attempt was sent that the trace is retained,
// unless an earlier attempt at the same server was not sent. The trace belongs to Run by now,
// and is only read.
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

// hasAttemptAt reports whether one of the spans is an attempt at a server.
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

// drain passes what is still queued to the sink and closes it.
func (r *Recorder) drain() {
	for len(r.retained) > 0 {
		r.reportSinkError(r.Sink.Add(<-r.retained))
	}
	r.reportSinkError(r.Sink.Close(r.Clock.Now()))
}

// reportSinkError counts an error of the sink, if there is one, and logs the 1st, 2nd, 4th, 8th
// and so on, so that a full disk does not fill the log as well.
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

// Shutdown samples the ordinary traces that are undecided and returns when the sink has been
// given all retained traces and is closed. The dispatcher must have stopped, and Run must have
// been called.
func (r *Recorder) Shutdown() {
	r.enqueue(r.sampler.Close()...)
	close(r.shutdown)
	<-r.stopped
}
