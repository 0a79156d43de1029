// Package recorder follows the requests of a core and keeps the traces of those that
// package keep wants, in segments. What it does on the core's goroutine is bounded and
// never blocks; files are written by an actor of its own.
package recorder

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/internal/trace/propagation"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

const (
	queueCapacity = 1024                   // kept traces that wait to be written; more are lost, and counted
	flushInterval = 250 * time.Millisecond // what a kill can lose of what was kept
	reservedBytes = 760                    // bytes of a trace whose request is open, with the spans of two attempts
)

// Sink is where kept traces go: segments, or another place. It has one caller.
type Sink interface {
	Add(t *trace.Trace) error
	Flush(now float64) error
	Close(now float64) error
}

// Sinks hands what is kept to each of several sinks. All are told, whatever one answers.
type Sinks []Sink

// Add hands a trace to all.
func (s Sinks) Add(t *trace.Trace) (err error) {
	for _, x := range s {
		err = errors.Join(err, x.Add(t))
	}
	return err
}

// Flush has all write what they hold.
func (s Sinks) Flush(now float64) (err error) {
	for _, x := range s {
		err = errors.Join(err, x.Flush(now))
	}
	return err
}

// Close closes all.
func (s Sinks) Close(now float64) (err error) {
	for _, x := range s {
		err = errors.Join(err, x.Close(now))
	}
	return err
}

// Options are what a Recorder is made with.
type Options struct {
	Clock   clock.Clock
	Router  string // its name, as it stands in traces
	Secret  string // mixed into whatever names a key; the same at all routers
	Seed    uint64 // differs at each start
	Metrics *metrics.Registry
	Log     *zerolog.Logger
	Sink    Sink
	// Kept tells a server that a trace in which it had a part is kept; nil: none is told.
	// It is called on the core's goroutine and must not block.
	NotifyRetained       func(server routing.ServerID, id trace.ID)
	ClientBytesPerSecond func() float64 // bytes a second of a transfer to a client, as of now; 0: not told
}

// Settings are what may change while the program runs.
type Settings struct {
	UndecidedBytes      int     // bytes
	RetryWindow         float64 // ms
	RetainClientSampled bool    // what a client samples is kept
	DefaultClass        sampling.Class
	Classes             map[string]sampling.Class
}

// Recorder follows requests. Open and Close belong to the core's goroutine.
type Recorder struct {
	Options
	pendingSettings     atomic.Pointer[Settings] // to go over to, once
	correlator          *propagation.Correlator
	sampler             *sampling.Sampler
	requests            uint64
	retainClientSampled bool // Settings.Sampled
	retained            chan *trace.Trace
	shutdown            chan struct{}
	stopped             chan struct{}
}

// New returns a Recorder; Run is to be called.
func New(o Options, s Settings) *Recorder {
	return &Recorder{Options: o, correlator: propagation.New(o.Secret, s.RetryWindow, o.Seed), sampler: sampling.New(s.UndecidedBytes, s.DefaultClass, s.Classes), retainClientSampled: s.RetainClientSampled,
		retained: make(chan *trace.Trace, queueCapacity), shutdown: make(chan struct{}), stopped: make(chan struct{})}
}

// Adopt goes over to other settings, at the next request.
func (r *Recorder) UpdateSettings(s Settings) { r.pendingSettings.Store(&s) }

// Asked is a request as it is followed.
type Request struct {
	TransactionID, IdempotencyKey string
	Object                        routing.ObjectID
	Chunk, PurgeGroup             int
	ReceivedAt                    float64 // when its last byte came; 0: now
	TraceParent, ClientAddress    string  // the traceparent that came with it, not checked; the client's address
}

// Trail is one request that is followed.
type RequestTrace struct {
	*trace.ActiveTrace
	correlator     *propagation.Correlator
	correlation    propagation.Correlation
	spansReserved  bool    // there was memory for its spans
	transferFactor float64 // of its class's aim
	responseBytes  int     // that came
}

// AttemptStarted notes an attempt.
func (t *RequestTrace) AttemptStarted(now float64, g routing.SendAttempt) trace.SpanContext {
	if t.spansReserved {
		return t.ActiveTrace.AttemptStarted(now, g)
	}
	t.ActiveTrace.RecordUntraced(1)
	return trace.SpanContext{}
}

// Responded notes the answer. From here on the client may come again, though an attempt
// may still be out.
func (t *RequestTrace) Responded(now float64, o trace.Outcome) {
	t.ActiveTrace.Responded(now, o)
	t.correlator.RequestEnded(now, t.correlation, o == trace.Served || o == trace.NotModified)
}

// AttemptEnded notes the end of one.
func (t *RequestTrace) AttemptEnded(now float64, res routing.Result, bytes int, load routing.LoadReport, w trace.WireTimes) {
	t.responseBytes = bytes
	if t.spansReserved {
		t.ActiveTrace.AttemptEnded(now, res, bytes, load, w)
	} else {
		t.ActiveTrace.RecordUntraced(-1)
	}
}

// Open begins to follow a request.
func (r *Recorder) Open(now float64, q Request, class *routing.Class) *RequestTrace {
	if s := r.pendingSettings.Swap(nil); s != nil {
		r.correlator.SetRetryWindow(s.RetryWindow)
		r.sampler.UpdateSettings(s.UndecidedBytes, s.DefaultClass, s.Classes)
		r.retainClientSampled = s.RetainClientSampled
	}
	if q.ReceivedAt == 0 {
		q.ReceivedAt = now
	}
	ask := propagation.Request{TraceParent: q.TraceParent, ClientAddress: q.ClientAddress, Class: class.Name, Object: uint64(q.Object), Chunk: q.Chunk}
	if class.Idempotency == routing.IdempotentWithKey {
		ask.IdempotencyKey = q.IdempotencyKey
	}
	t := &RequestTrace{correlator: r.correlator, correlation: r.correlator.Correlate(now, ask), spansReserved: r.sampler.Reserve(reservedBytes), transferFactor: class.ObjectiveTransferFactor}
	r.requests++
	piece := trace.Trace{ID: t.correlation.ID, ClientSpan: t.correlation.ClientSpan, Retry: t.correlation.Retry, Router: r.Router, TransactionID: q.TransactionID, Class: class.Name,
		Object: r.correlator.HashObject(uint64(q.Object)), Chunk: uint32(q.Chunk), PurgeGroup: uint16(q.PurgeGroup), Start: min(q.ReceivedAt, now),
		ClientSampled: t.correlation.ClientSampled && r.retainClientSampled}
	t.ActiveTrace = trace.Begin(piece, r.Seed+r.requests<<20|1)
	return t
}

// Close takes a request that is done.
func (r *Recorder) Close(now float64, t *RequestTrace) {
	p := t.Finished()
	if pace := r.ClientBytesPerSecond(); pace > 0 {
		p.SizeAllowance = t.transferFactor * float64(t.responseBytes) / pace * 1000
	}
	served := p.Outcome == trace.Served || p.Outcome == trace.NotModified
	r.enqueue(r.sampler.Tick(now)) // windows that are over, before what ends now is drawn in its own
	if !t.spansReserved {
		r.sampler.RecordUntraced(p)
		r.Metrics.Add("traces_without_room", 1)
		return
	}
	if kept := r.sampler.Finish(p, reservedBytes); kept != nil {
		if !served {
			r.Log.Debug().Str("trace", p.ID.String()).Str("class", p.Class).Int("attempts", int(p.Attempts)).
				Float64("took_ms", p.Duration()).Msg("request " + p.Outcome.String())
		}
		r.enqueue([]*trace.Trace{kept})
	}
}

// send hands kept traces to the actor. One for which there is no room is lost, and if
// it had to be kept the next one says so.
func (r *Recorder) enqueue(kept []*trace.Trace) {
	for _, t := range kept {
		select {
		case r.retained <- t:
			r.Metrics.Add("traces_kept", 1)
			r.notifyServers(t)
		default:
			r.Metrics.Add("traces_not_taken", 1)
			r.sampler.RecordLost(t)
		}
	}
}

// tell tells the servers that had a part in a trace that it is kept. t belongs to the
// actor by now, and is only read.
func (r *Recorder) notifyServers(t *trace.Trace) {
	if r.NotifyRetained == nil {
		return
	}
	for i, s := range t.Spans {
		again := slices.ContainsFunc(t.Spans[:i], func(x trace.Span) bool { return x.Kind == trace.Attempt && x.Server == s.Server })
		if s.Kind == trace.Attempt && s.Flags&trace.FlagSent != 0 && !again {
			r.NotifyRetained(s.Server, t.ID)
		}
	}
}

// Run writes what is kept until Finish.
func (r *Recorder) Run() {
	defer close(r.stopped)
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case t := <-r.retained:
			r.reportSinkError(r.Sink.Add(t))
		case <-tick.C:
			r.reportSinkError(r.Sink.Flush(r.Clock.Now()))
		case <-r.shutdown:
			for len(r.retained) > 0 {
				r.reportSinkError(r.Sink.Add(<-r.retained))
			}
			r.reportSinkError(r.Sink.Close(r.Clock.Now()))
			return
		}
	}
}

// failed notes an error of the sink, the first of a kind at each counted step.
func (r *Recorder) reportSinkError(err error) {
	if err != nil {
		r.Metrics.Add("traces_failed", 1)
		if n := r.Metrics.Counter("traces_failed").Load(); n&(n-1) == 0 { // the 1st, 2nd, 4th, 8th ...
			r.Log.Error().Err(err).Int64("failures", n).Msg("traces not written")
		}
	}
}

// Finish decides what is undecided and returns when all that is kept is written. The
// core must have stopped, and Run have been called.
func (r *Recorder) Shutdown() {
	r.enqueue(r.sampler.Close())
	close(r.shutdown)
	<-r.stopped
}
