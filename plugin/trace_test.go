package plugin

import (
	"context"
	"slices"
	"sync"
	"testing"

	oteltrace "go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/codes"
	health "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"garnetline/internal/trace"
	"garnetline/internal/trace/store"
)

// The span of a call is a child of the caller's span, and the span of each attempt is a child of
// the span of the call. The server of an attempt receives the id of the attempt's span. The test
// compares the span ids that the servers received with the stored span ids.
func TestCallsAreTraced(t *testing.T) {
	folder := t.TempDir()
	client := newTestClient(t, "get", 3, func(options *Options) {
		options.Trace = &Trace{Folder: folder, Name: "page", OrdinaryPerSecond: 1}
	})
	received := &receivedSpans{t: t}
	for i, server := range client.servers {
		server.setRespond(func(ctx context.Context) error {
			received.record(ctx)
			return status.Errorf(codes.Internal, "server %d is broken", i)
		})
	}
	caller := callerSpan()
	if _, err := client.health.Check(callerContext(t, caller), &health.HealthCheckRequest{Service: "traced"}); err == nil {
		t.Error("got no error though all servers return errors")
	}
	client.plugin.Close()

	stored := readTraces(t, folder, trace.ID(caller.TraceID()))
	if len(stored) != 1 || stored[0].ClientSpan != 0x102 || stored[0].Router != "page" {
		t.Fatalf("got traces %+v, want one trace of router \"page\" under the caller's span", stored)
	}
	attempts := attemptSpans(stored[0])
	spans := received.all()
	if len(spans) < 3 || len(attempts) != len(spans) {
		t.Fatalf("got %d stored attempts and %d attempts received by the servers, want equal numbers, at least 3 each", len(attempts), len(spans))
	}
	for i, span := range spans {
		want := trace.SpanContext{Trace: trace.ID(caller.TraceID()), Span: attempts[i], Sampled: true}
		if span.Trace != want.Trace || span.Span != want.Span || !span.Sampled {
			t.Errorf("attempt %d: got span context %v at the server, want %v", i, span, want)
		}
	}
}

func TestContextIsUnchangedWithoutTracing(t *testing.T) {
	ctx := callerContext(t, callerSpan())
	if got := withAttemptTraceparent(ctx, nil); got != ctx {
		t.Errorf("got context %v, want %v", got, ctx)
	}
}

func TestCallerTraceparent(t *testing.T) {
	const sent = "00-01020300000000000000000000000000-0000000000000102-01"
	withMetadata := func(pairs ...string) context.Context {
		return metadata.AppendToOutgoingContext(t.Context(), pairs...)
	}
	for _, test := range []struct {
		name string
		ctx  context.Context
		want string
	}{
		{"the span of the context", callerContext(t, callerSpan()), sent},
		{"metadata", withMetadata(traceparentKey, sent), sent},
		{"metadata twice", withMetadata(traceparentKey, sent, traceparentKey, sent), ""},
		{"other metadata", withMetadata("kept", "as it is"), ""},
		{"nothing", t.Context(), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := callerTraceparent(test.ctx); got != test.want {
				t.Errorf("got traceparent %q, want %q", got, test.want)
			}
		})
	}
}

// callerSpan returns the span context of a caller. The id of the span is 0x102.
func callerSpan() oteltrace.SpanContext {
	return oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
		TraceID:    oteltrace.TraceID{1, 2, 3},
		SpanID:     oteltrace.SpanID{0, 0, 0, 0, 0, 0, 1, 2},
		TraceFlags: oteltrace.FlagsSampled,
	})
}

// callerContext returns a context with the given span. Its outgoing metadata holds a traceparent,
// which the plugin must replace, and another key, which the plugin must keep.
func callerContext(t *testing.T, span oteltrace.SpanContext) context.Context {
	t.Helper()
	ctx := oteltrace.ContextWithSpanContext(t.Context(), span)
	return metadata.AppendToOutgoingContext(ctx, "kept", "as it is", traceparentKey, "another")
}

// receivedSpans collects the span contexts that servers received with their calls.
type receivedSpans struct {
	t     *testing.T
	mu    sync.Mutex
	spans []trace.SpanContext
}

// record collects the span context of a call. It ignores a call that does not have exactly one
// traceparent, or that lacks the metadata key "kept", which callerContext sets.
func (s *receivedSpans) record(ctx context.Context) {
	incoming, _ := metadata.FromIncomingContext(ctx)
	values := incoming.Get(traceparentKey)
	if len(values) != 1 || !slices.Equal(incoming.Get("kept"), []string{"as it is"}) {
		return
	}
	span, ok := trace.ParseTraceparent(values[0])
	if !ok {
		s.t.Errorf("got malformed traceparent %q", values[0])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, span)
}

func (s *receivedSpans) all() []trace.SpanContext {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.spans)
}

// readTraces returns the stored traces with the given id.
func readTraces(t *testing.T, folder string, id trace.ID) []*trace.Trace {
	t.Helper()
	index, err := store.Read(folder)
	if err != nil {
		t.Fatal(err)
	}
	var traces []*trace.Trace
	_, err = index.Query(store.Filter{ID: id}, func(found *trace.Trace) bool {
		traces = append(traces, found)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return traces
}

// attemptSpans returns the ids of the attempt spans of a trace.
func attemptSpans(stored *trace.Trace) []trace.SpanID {
	var ids []trace.SpanID
	for _, span := range stored.Spans {
		if span.Kind == trace.Attempt {
			ids = append(ids, span.ID)
		}
	}
	return ids
}
