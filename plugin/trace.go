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

// traceparentKey is the key of the metadata that carries W3C Trace Context.
const traceparentKey = "traceparent"

// Sizes of what is traced.
const (
	bytesPerMB       = 1 << 20
	segmentsPerStore = 16             // the oldest segment is deleted to make room
	undecidedBytes   = 4 * bytesPerMB // memory for traces that may still be retained
)

// Trace tells where traces of RPCs are stored: a span for each call, under the caller's own
// span, and one for each attempt, whose id goes to the server as traceparent. The command
// `garnetline trace --folder Folder` shows them. A deprecated field is used where the field
// that replaces it is zero.
type Trace struct {
	Folder            string  // of the segments; the process must be able to write there
	Name              string  // of this client in its traces
	Secret            string  // mixed into the hashes that stand for calls; the same as at the routers
	OrdinaryPerSecond float64 // calls without a fault that are retained, in each class; others always are
	MaxSizeMB         int     // of all segments, the oldest are deleted first; 0: 64

	// Deprecated: use OrdinaryPerSecond.
	Ordinary float64
	// Deprecated: use MaxSizeMB.
	KeepMB int
}

// withDefaults returns the settings with the values of deprecated fields and defaults in the
// fields that are zero.
func (t Trace) withDefaults() Trace {
	t.OrdinaryPerSecond = cmp.Or(t.OrdinaryPerSecond, t.Ordinary)
	t.MaxSizeMB = cmp.Or(t.MaxSizeMB, t.KeepMB, defaultMaxSizeMB)
	return t
}

// newRecorder returns the recorder of calls, or nil if settings is nil. Defaults of settings
// and classes are set.
func newRecorder(settings *Trace, clk clock.Clock, registry *metrics.Registry, classes []Class) (*recorder.Recorder, error) {
	if settings == nil {
		return nil, nil
	}
	maxBytes := int64(settings.MaxSizeMB) * bytesPerMB
	segments, err := store.Open(settings.Folder, maxBytes/segmentsPerStore, maxBytes)
	if err != nil {
		return nil, err
	}
	sampled := map[string]sampling.Class{}
	for _, class := range classes {
		sampled[class.Name] = sampling.Class{
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
		Log:                  logs.New(io.Discard), // the application's log is its own
		Sink:                 segments,
		ClientBytesPerSecond: func() float64 { return 0 },
	}, recorder.Settings{
		UndecidedBytes:      undecidedBytes,
		RetainClientSampled: true,
		Classes:             sampled,
	}), nil
}

// callerTraceparent returns the traceparent of the caller's own span: of the span in its
// context or, where it has none, of the metadata that it sends. It is empty if there is none.
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

// withAttemptTraceparent returns a context whose metadata carries the span of an attempt, in
// place of the caller's own traceparent. If the attempt is not traced, it returns ctx itself.
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
