package plugin

import (
	"context"
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

// A call is a span under its caller's own, each of its attempts a span under that whose
// id reaches the server; what the servers saw and what is kept are the same. Without
// tracing the caller's metadata goes on as it is.
func TestCallsAreTraced(t *testing.T) {
	folder := t.TempDir()
	r := newRig(t, "get", 3, func(o *Options) { o.Trace = &Trace{Folder: folder, Name: "page", Ordinary: 1} })
	var mu sync.Mutex
	var seen []trace.SpanContext
	for i, s := range r.servers {
		s.set(func(ctx context.Context) error {
			md, _ := metadata.FromIncomingContext(ctx)
			mu.Lock()
			defer mu.Unlock()
			if v := md.Get(traceparentKey); len(v) == 1 && md.Get("kept")[0] == "as it is" {
				p, ok := trace.ParseTraceparent(v[0])
				if !ok {
					t.Errorf("%q", v[0])
				}
				seen = append(seen, p)
			}
			return status.Errorf(codes.Internal, "server %d is broken", i)
		})
	}
	own := oteltrace.NewSpanContext(oteltrace.SpanContextConfig{TraceID: oteltrace.TraceID{1, 2, 3}, SpanID: oteltrace.SpanID{0, 0, 0, 0, 0, 0, 1, 2}, TraceFlags: oteltrace.FlagsSampled})
	ctx := metadata.AppendToOutgoingContext(oteltrace.ContextWithSpanContext(t.Context(), own), "kept", "as it is", traceparentKey, "another")
	if _, err := r.client.Check(ctx, &health.HealthCheckRequest{Service: "traced"}); err == nil {
		t.Error("served though all servers are broken")
	}
	r.p.Close()
	x, err := store.Read(folder)
	if err != nil {
		t.Fatal(err)
	}
	var pieces []*trace.Trace
	if _, err := x.Query(store.Filter{ID: trace.ID(own.TraceID())}, func(p *trace.Trace) bool { pieces = append(pieces, p); return true }); err != nil {
		t.Fatal(err)
	}
	if len(pieces) != 1 || pieces[0].ClientSpan != 0x102 || pieces[0].Router != "page" {
		t.Fatalf("%+v: want one piece under the caller's span", pieces)
	}
	var attempts []trace.SpanID
	for _, s := range pieces[0].Spans {
		if s.Kind == trace.Attempt {
			attempts = append(attempts, s.ID)
		}
	}
	if len(seen) < 3 || len(attempts) != len(seen) {
		t.Fatalf("%d attempts are traced, servers saw %d", len(attempts), len(seen))
	}
	for i, p := range seen {
		if p.Trace != trace.ID(own.TraceID()) || p.Span != attempts[i] || !p.Sampled {
			t.Errorf("attempt %d reached its server as %v, is traced as %x", i, p, attempts[i])
		}
	}
	if plain := withAttemptTraceparent(ctx, nil); plain != ctx {
		t.Error("without tracing the context was changed")
	}
}
