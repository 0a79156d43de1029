package plugin

import (
	"cmp"
	"context"
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

// traceparentKey is the metadata in which W3C Trace Context travels.
const traceparentKey = "traceparent"

// Trace tells where traces of RPCs are stored: a span for each call, under the caller's own
// span, and one for each attempt, whose id goes to the server as traceparent. The command
// `garnetline trace --folder Folder` shows them.
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

// newRecorder makes what follows the calls; nil where there is no Trace.
func (t *Trace) newRecorder(c clock.Clock, count *metrics.Registry, classes []Class) (*recorder.Recorder, error) {
	if t == nil {
		return nil, nil
	}
	most := int64(t.MaxSizeMB)
	w, err := store.Open(t.Folder, most<<20/16, most<<20)
	if err != nil {
		return nil, err
	}
	o := recorder.Options{Clock: c, Router: t.Name, Secret: t.Secret, Seed: rand.Uint64(), Metrics: count, Log: logs.New(io.Discard), // the host's log is its own
		Sink: w, ClientBytesPerSecond: func() float64 { return 0 }}
	s := recorder.Settings{UndecidedBytes: 4 << 20, RetainClientSampled: true, Classes: map[string]sampling.Class{}}
	for _, k := range classes {
		s.Classes[k.Name] = sampling.Class{LatencyObjective: clock.Millis(k.LatencyObjective), OrdinaryPerSecond: t.OrdinaryPerSecond}
	}
	return recorder.New(o, s), nil
}

// callerTraceparent is the traceparent of the caller's own span: of the span in its context or,
// where it has none, of the metadata that it sends.
func callerTraceparent(ctx context.Context) string {
	if s := oteltrace.SpanContextFromContext(ctx); s.IsValid() {
		id, span := s.TraceID(), s.SpanID()
		var n uint64
		for _, b := range span {
			n = n<<8 | uint64(b)
		}
		return trace.SpanContext{Trace: trace.ID(id), Span: trace.SpanID(n), Sampled: s.IsSampled()}.String()
	}
	if md, ok := metadata.FromOutgoingContext(ctx); ok {
		if v := md.Get(traceparentKey); len(v) == 1 {
			return v[0]
		}
	}
	return ""
}

// withAttemptTraceparent has what an attempt does stand under its span. The caller's own traceparent
// is replaced; without tracing ctx is returned as it is.
func withAttemptTraceparent(ctx context.Context, t *dispatch.AttemptTrace) context.Context {
	if t == nil || t.Context.Span == 0 {
		return ctx
	}
	md, _ := metadata.FromOutgoingContext(ctx)
	md = md.Copy()
	if md == nil {
		md = metadata.MD{}
	}
	md.Set(traceparentKey, t.Context.String())
	return metadata.NewOutgoingContext(ctx, md)
}
