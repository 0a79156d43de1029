package instrument

import (
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/internal/trace/recorder"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

const now = 1.7e12 // Unix ms

// discardSink is a sink that drops all traces.
type discardSink struct{}

func (discardSink) Add(*trace.Trace) error { return nil }
func (discardSink) Flush(float64) error    { return nil }
func (discardSink) Close(float64) error    { return nil }

func newTracer(counters *metrics.Registry) dispatch.Tracer {
	return Dispatcher(recorder.New(
		recorder.Options{
			Clock:                clock.NewManual(now),
			Router:               "n1",
			Metrics:              counters,
			Sink:                 discardSink{},
			ClientBytesPerSecond: func() float64 { return 0 },
		},
		recorder.Settings{UndecidedBytes: 1 << 20, RetainClientSampled: true, DefaultClass: sampling.Class{RetainAll: true}},
	))
}

// Open copies the fields of the dispatcher's request to the trace.
func TestRequestFieldsReachTrace(t *testing.T) {
	const clientTrace = "4bf92f3577b34da6a3ce929d0e0e4736"
	client := &dispatch.ClientInfo{ReceivedAt: now - 5, TraceParent: "00-" + clientTrace + "-00f067aa0ba902b7-01", Address: "1.1.1.1"}
	tests := []struct {
		name      string
		client    *dispatch.ClientInfo
		wantStart float64
		wantTrace string // empty if a new trace is expected
	}{
		{"with client", client, now - 5, clientTrace},
		{"without client", nil, now, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := &dispatch.Request{TransactionID: "x1", Object: 7, Chunk: 3, PurgeGroup: 17, Client: test.client}
			tracer := newTracer(metrics.New())
			opened := tracer.Open(now, request, &routing.Class{Name: "part"}).(*recorder.RequestTrace)
			if opened.TransactionID != "x1" || opened.Class != "part" || opened.Chunk != 3 || opened.PurgeGroup != 17 {
				t.Errorf("got %+v, want the request's transaction, class, chunk and purge group", opened.Trace)
			}
			if opened.Start != test.wantStart {
				t.Errorf("got start %v, want %v", opened.Start, test.wantStart)
			}
			if test.wantTrace != "" && opened.ID.String() != test.wantTrace {
				t.Errorf("got trace ID %v, want %s", opened.ID, test.wantTrace)
			}
		})
	}
}

// Close passes the trace to the recorder, which retains it.
func TestClosedRequestIsRetained(t *testing.T) {
	counters := metrics.New()
	tracer := newTracer(counters)
	opened := tracer.Open(now, &dispatch.Request{}, &routing.Class{Name: "part"})
	opened.Responded(now+1, trace.Served)
	tracer.Close(now+1, opened)
	if got := counters.Counter("traces_kept").Load(); got != 1 {
		t.Errorf("got %d retained traces, want 1", got)
	}
}
