package plugin

import (
	"cmp"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"

	oteltrace "go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/metadata"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/internal/trace/recorder"
	"garnetline/internal/trace/sampling"
	"garnetline/internal/trace/store"
)

// traceparentKey is the metadata key of the traceparent of W3C Trace Context.
const traceparentKey = "traceparent"

// Limits of the stored and buffered traces.
const (
	bytesPerMB       = 1 << 20
	segmentsPerStore = 16             // at the limit, the oldest segment is deleted to make room
	undecidedBytes   = 4 * bytesPerMB // memory for traces that are neither retained nor discarded yet
)

// Trace configures the tracing of RPCs. A trace has a span for each call and a span for each
// attempt. The span of a call is a child of the caller's own span. The server of an attempt
// receives the id of the attempt's span as traceparent. The command `garnetline trace --folder
// Folder` shows the stored traces. The value of a deprecated field applies only if the field that
// replaces it is zero.
//
// Calls that failed, were rejected, were retried or took longer than the latency objective of
// their class are always selected for retention. All other calls are ordinary, and
// OrdinaryPerSecond limits how many of them are retained.
type Trace struct {
	Folder            string  // folder of the trace segments; the process must be able to write to it
	Name              string  // name of this client in its traces
	Secret            string  // mixed into the hashes that identify calls; must be the same as on the routers
	OrdinaryPerSecond float64 // ordinary calls that are retained per second, in each class
	MaxSizeMB         int     // limit of the size of all segments, in MB; the oldest segments are deleted first; 0 selects 64

	// Deprecated: use OrdinaryPerSecond.
	Ordinary float64
	// Deprecated: use MaxSizeMB.
	KeepMB int
}

// withDefaults returns a copy of the settings in which it has set the zero fields. A zero field
// gets the value of the deprecated field that it replaces. If that value is zero too, the field
// gets its default.
func (t Trace) withDefaults() Trace {
	t.OrdinaryPerSecond = cmp.Or(t.OrdinaryPerSecond, t.Ordinary)
	t.MaxSizeMB = cmp.Or(t.MaxSizeMB, t.KeepMB, defaultMaxSizeMB)
	return t
}

// newRecorder returns the recorder of calls, or nil if settings is nil. The caller must have
// applied withDefaults to settings and classes. newRecorder returns an error if it cannot open the
// trace store.
func newRecorder(settings *Trace, clk clock.Clock, registry *metrics.Registry, classes []Class) (*recorder.Recorder, error) {
	if settings == nil {
		return nil, nil
	}
	maxBytes := int64(settings.MaxSizeMB) * bytesPerMB
	segments, err := store.Open(settings.Folder, maxBytes/segmentsPerStore, maxBytes)
	if err != nil {
		return nil, err
	}
	samplingClasses := map[string]sampling.Class{}
	for _, class := range classes {
		samplingClasses[class.Name] = sampling.Class{
			LatencyObjective:  clock.Millis(class.LatencyObjective),
			OrdinaryPerSecond: settings.OrdinaryPerSecond,
		}
	}
	return recorder.New(recorder.Options{
		Clock:                clk,
		Router:               settings.Name,
		Secret:               settings.Secret,
		Seed:                 rand.Uint64(),
		Metrics:              registry,
		Log:                  logs.New(io.Discard), // the plugin writes nothing to the application's log
		Sink:                 segments,
		ClientBytesPerSecond: func() float64 { return 0 },
	}, recorder.Settings{
		UndecidedBytes:      undecidedBytes,
		RetainClientSampled: true,
		Classes:             samplingClasses,
	}), nil
}

// callerTraceparent returns the traceparent of the caller's own span. If ctx has a valid span, the
// traceparent describes that span. If ctx has no valid span and the outgoing metadata has exactly
// one traceparent, callerTraceparent returns that traceparent. In all other cases, it returns "".
func callerTraceparent(ctx context.Context) string {
	if span := oteltrace.SpanContextFromContext(ctx); span.IsValid() {
		spanID := span.SpanID()
		return trace.SpanContext{
			Trace:   trace.ID(span.TraceID()),
			Span:    trace.SpanID(binary.BigEndian.Uint64(spanID[:])),
			Sampled: span.IsSampled(),
		}.String()
	}
	outgoing, _ := metadata.FromOutgoingContext(ctx)
	if values := outgoing.Get(traceparentKey); len(values) == 1 {
		return values[0]
	}
	return ""
}

// withAttemptTraceparent returns a context whose outgoing metadata has the traceparent of an
// attempt's span. It replaces the caller's own traceparent. If the attempt is not traced, it
// returns ctx itself.
func withAttemptTraceparent(ctx context.Context, attempt *dispatch.AttemptTrace) context.Context {
	if attempt == nil || attempt.Context.Span == 0 {
		return ctx
	}
	outgoing, ok := metadata.FromOutgoingContext(ctx)
	if ok {
		outgoing = outgoing.Copy()
	} else {
		outgoing = metadata.MD{}
	}
	outgoing.Set(traceparentKey, attempt.Context.String())
	return metadata.NewOutgoingContext(ctx, outgoing)
}
