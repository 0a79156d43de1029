package recorder

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"garnetline/internal/trace"
	"garnetline/internal/trace/propagation"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

// TestSlowAllowsForResponseSize checks that the trace of a request is retained as slow if the
// request exceeds the latency objective of its class. The size of the response can allow extra
// time. If the request does not exceed the extra time, its trace is ordinary, that is, it is
// retained only if it is sampled. The test checks that such a trace is sampled.
func TestSlowAllowsForResponseSize(t *testing.T) {
	recorder := newHarness(t, &fakeSink{}, Settings{DefaultClass: ordinaryPerSecond(5)})
	recorder.record(testRequest{request: Request{Object: 1}, outcome: trace.Served, attempts: 1, duration: 450})
	// At 1000 bytes per second, the transfer of 100 bytes takes 100 ms. The class allows twice that
	// time in addition to its objective: 400 ms + 2 * 100 ms = 600 ms.
	recorder.record(testRequest{request: Request{Object: 2}, outcome: trace.Served, attempts: 1, responseBytes: 100, duration: 450})
	recorder.record(testRequest{request: Request{Object: 3}, outcome: trace.Failed})
	recorder.record(testRequest{request: Request{Object: 4}, outcome: trace.Served, attempts: 2, duration: 10})
	recorder.Shutdown()
	got := map[uint64]trace.Reason{}
	for _, retained := range recorder.sink.traces {
		got[retained.Object] |= retained.Reasons
	}
	want := map[uint64]trace.Reason{1: trace.ReasonSlow, 2: trace.ReasonSampled, 3: trace.ReasonFailed, 4: trace.ReasonRetried}
	for object, reasons := range want {
		if got := got[recorder.correlator.HashObject(object)]; got != reasons {
			t.Errorf("object %d: got a trace retained for reasons %b, want %b", object, got, reasons)
		}
	}
	if !recorder.sink.closed {
		t.Error("the sink is not closed after Shutdown")
	}
}

// TestBlockedSinkLosesAndCountsTraces checks that a blocked sink does not block the dispatcher.
// Retained traces that do not fit into the queue are lost and counted. The next retained trace
// reports the number of lost traces. The test also checks that the number of logged sink errors
// is limited.
func TestBlockedSinkLosesAndCountsTraces(t *testing.T) {
	const requests = queueCapacity + 200
	sink := &fakeSink{gate: make(chan bool), err: errors.New("disk full")}
	recorder := newHarness(t, sink, Settings{})
	for i := range requests {
		recorder.record(testRequest{request: Request{Object: routing.ObjectID(i + 1)}, outcome: trace.Failed, attempts: 1, duration: 1})
	}
	lost := recorder.counter(metricQueueFull)
	if lost < requests-queueCapacity-2 || lost > requests-queueCapacity {
		t.Errorf("got %d of %d traces lost, want only the traces that do not fit into a queue of %d", lost, requests, queueCapacity)
	}
	close(sink.gate)
	sink.waitAdded(t, requests-lost)
	recorder.record(testRequest{request: Request{Object: 9}, outcome: trace.Failed, attempts: 1, duration: 1})
	recorder.Shutdown()
	if got, want := int64(len(sink.traces)), requests-lost+1; got != want {
		t.Errorf("got %d traces added, want %d", got, want)
	}
	if last := sink.traces[len(sink.traces)-1]; int64(last.LostBefore) != lost {
		t.Errorf("got %d lost traces reported by the next trace, want %d", last.LostBefore, lost)
	}
	if got := strings.Count(recorder.log.String(), "disk full"); got < 5 || got > 14 {
		t.Errorf("got %d logged errors for over a thousand failures, want 5 to 14", got)
	}
}

// TestRequestsWithoutMemoryAreCounted checks that a request without memory for its spans is not
// traced. If there is a reason to retain its trace, the trace is counted as lost.
func TestRequestsWithoutMemoryAreCounted(t *testing.T) {
	recorder := newHarness(t, &fakeSink{}, Settings{UndecidedBytes: 2*reservedBytes + 10, RetryWindow: 1000})
	inFlight := recorder.Open(recorder.clock.Now(), Request{}, &partClass)
	recorder.Open(recorder.clock.Now(), Request{}, &partClass)
	for range 3 {
		untraced := recorder.record(testRequest{request: Request{Object: 8}, outcome: trace.Rejected, attempts: 2, duration: 5})
		if got := len(untraced.Spans); got > 1 {
			t.Errorf("got %d spans without memory, want at most the Request span", got)
		}
	}
	inFlight.AttemptStarted(recorder.clock.Now(), routing.SendAttempt{Server: 1})
	inFlight.Responded(recorder.clock.Now(), trace.ClientDisconnected)
	inFlight.AttemptEnded(recorder.clock.Now(), routing.Canceled, 0, routing.LoadReport{}, trace.WireTimes{})
	recorder.Close(recorder.clock.Now(), inFlight)
	recorder.Shutdown()
	if got := recorder.counter(metricUntraced); got != 3 {
		t.Errorf("got a count of %d requests without memory, want 3", got)
	}
	if got := recorder.sink.traces; len(got) != 1 || got[0].LostBefore != 3 {
		t.Errorf("got retained traces %+v, want one trace that reports 3 lost traces", got)
	}
}

// TestDisconnectedRequestWaitsForItsAttempt checks a request whose client disconnected while an
// attempt is in flight. The request is not done before the attempt ends, but a retry by the
// client is already recognized. The test covers requests with and without memory for their
// spans.
func TestDisconnectedRequestWaitsForItsAttempt(t *testing.T) {
	const client = "1.1.1.1"
	tests := map[string]struct {
		memory       int
		wantRetained int
		wantUntraced int64
	}{
		"traced":   {memory: 2*reservedBytes + 10, wantRetained: 1},
		"untraced": {memory: reservedBytes - 1, wantUntraced: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := newHarness(t, &fakeSink{}, Settings{UndecidedBytes: test.memory, RetryWindow: 1000})
			opened := recorder.Open(recorder.clock.Now(), Request{ClientAddress: client}, &partClass)
			opened.AttemptStarted(recorder.clock.Now(), routing.SendAttempt{Server: 1})
			opened.Responded(recorder.clock.Now(), trace.ClientDisconnected)
			if opened.Done() {
				t.Error("Done returned true while an attempt is in flight, want false")
			}
			retry := recorder.correlator.Correlate(recorder.clock.Now(), propagation.Request{Class: partClass.Name, ClientAddress: client})
			if retry.ID != opened.ID {
				t.Errorf("retry while an attempt is in flight: got trace ID %v, want %v", retry.ID, opened.ID)
			}
			opened.AttemptEnded(recorder.clock.Now(), routing.Canceled, 0, routing.LoadReport{}, trace.WireTimes{})
			if !opened.Done() {
				t.Error("Done returned false after the end of the attempt, want true")
			}
			recorder.Close(recorder.clock.Now(), opened)
			recorder.Shutdown()
			if got := len(recorder.sink.traces); got != test.wantRetained {
				t.Errorf("got %d retained traces, want %d", got, test.wantRetained)
			}
			if got := recorder.counter(metricUntraced); got != test.wantUntraced {
				t.Errorf("got a count of %d requests without memory, want %d", got, test.wantUntraced)
			}
		})
	}
}

// TestIdempotentRequestsShareTheirRetainedTrace checks that every trace of a class with
// RetainAll is retained. Two requests with the same idempotency key must have the same trace ID,
// and their traces must not contain the key.
func TestIdempotentRequestsShareTheirRetainedTrace(t *testing.T) {
	const key = "secretkey"
	settings := Settings{Classes: map[string]sampling.Class{formClass.Name: {RetainAll: true}}}
	recorder := newHarness(t, &fakeSink{}, settings)
	for _, client := range []string{"1.1.1.1", "2.2.2.2"} {
		request := Request{IdempotencyKey: key, Object: 5, ReceivedAt: startTime, ClientAddress: client}
		recorder.record(testRequest{request: request, outcome: trace.Served, attempts: 1, duration: 1})
	}
	recorder.Shutdown()
	got := recorder.sink.traces
	if len(got) != 2 {
		t.Fatalf("got %d retained traces, want 2", len(got))
	}
	if got[0].ID != got[1].ID {
		t.Errorf("got trace IDs %v and %v for two requests with the same key, want equal IDs", got[0].ID, got[1].ID)
	}
	if got[0].Reasons != trace.ReasonIdempotent {
		t.Errorf("got a trace retained for reasons %b, want %b", got[0].Reasons, trace.ReasonIdempotent)
	}
	if text := fmt.Sprintf("%+v %+v", *got[0], *got[1]); strings.Contains(text, key) {
		t.Errorf("got traces that contain the idempotency key, want none: %s", text)
	}
}

// TestNewSettingsApplyToNextRequest checks that traces that clients sample are retained until
// new settings disable this.
func TestNewSettingsApplyToNextRequest(t *testing.T) {
	sampled := Request{Object: 6, ReceivedAt: startTime, TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}
	classes := map[string]sampling.Class{formClass.Name: {RetainAll: true}} // the new settings do not contain this class
	recorder := newHarness(t, &fakeSink{}, Settings{RetainClientSampled: true, Classes: classes})
	recorder.record(testRequest{request: sampled, outcome: trace.Served, attempts: 1, duration: 1})
	recorder.UpdateSettings(Settings{UndecidedBytes: 1 << 20})
	recorder.record(testRequest{request: sampled, outcome: trace.Served, attempts: 1, duration: 1})
	recorder.Shutdown()
	got := recorder.sink.traces
	if len(got) != 1 {
		t.Fatalf("got %d retained traces, want only the trace of the first request", len(got))
	}
	if got[0].Reasons != trace.ReasonClientSampled || got[0].ClientSpan == 0 {
		t.Errorf("got a trace retained for reasons %b with client span %v, want reasons %b and the client's span", got[0].Reasons, got[0].ClientSpan, trace.ReasonClientSampled)
	}
}
