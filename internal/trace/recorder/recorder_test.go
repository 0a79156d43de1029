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

// A response later than the latency objective of its class is slow, unless its size allows for
// the time; ordinary traces are sampled when their window is over.
func TestSlowAllowsForResponseSize(t *testing.T) {
	recorder := newHarness(t, &fakeSink{}, Settings{DefaultClass: ordinaryPerSecond(5)})
	recorder.play(playback{request: Request{Object: 1}, outcome: trace.Served, attempts: 1, duration: 450})
	// 100 bytes are 100 ms of transfer, and the class allows twice that.
	recorder.play(playback{request: Request{Object: 2}, outcome: trace.Served, attempts: 1, responseBytes: 100, duration: 450})
	recorder.play(playback{request: Request{Object: 3}, outcome: trace.Failed})
	recorder.play(playback{request: Request{Object: 4}, outcome: trace.Served, attempts: 2, duration: 10})
	recorder.Shutdown()
	got := map[uint64]trace.Reason{}
	for _, retained := range recorder.sink.traces {
		got[retained.Object] |= retained.Reasons
	}
	want := map[uint64]trace.Reason{1: trace.ReasonSlow, 2: trace.ReasonSampled, 3: trace.ReasonFailed, 4: trace.ReasonRetried}
	for object, reasons := range want {
		if got := got[recorder.correlator.HashObject(object)]; got != reasons {
			t.Errorf("object %d is retained for reasons %b, want %b", object, got, reasons)
		}
	}
	if !recorder.sink.closed {
		t.Error("the sink was not closed")
	}
}

// A sink that blocks does not block the dispatcher: retained traces beyond the queue are lost
// and counted, and the next one reports them. Errors of the sink are logged ever more rarely.
func TestBlockedSinkLosesAndCountsTraces(t *testing.T) {
	const requests = queueCapacity + 200
	sink := &fakeSink{gate: make(chan bool), err: errors.New("disk full")}
	recorder := newHarness(t, sink, Settings{})
	for i := range requests {
		recorder.play(playback{request: Request{Object: routing.ObjectID(i + 1)}, outcome: trace.Failed, attempts: 1, duration: 1})
	}
	lost := recorder.counter(metricQueueFull)
	if lost < requests-queueCapacity-2 || lost > requests-queueCapacity {
		t.Errorf("%d of %d traces were lost, want those beyond a queue of %d", lost, requests, queueCapacity)
	}
	close(sink.gate)
	sink.waitAdded(t, requests-lost)
	recorder.play(playback{request: Request{Object: 9}, outcome: trace.Failed, attempts: 1, duration: 1})
	recorder.Shutdown()
	if got, want := int64(len(sink.traces)), requests-lost+1; got != want {
		t.Errorf("%d traces were added, want %d", got, want)
	}
	if last := sink.traces[len(sink.traces)-1]; int64(last.LostBefore) != lost {
		t.Errorf("the next trace reports %d lost before it, want %d", last.LostBefore, lost)
	}
	if got := strings.Count(recorder.log.String(), "disk full"); got < 5 || got > 14 {
		t.Errorf("%d errors logged for over a thousand, want 5 to 14", got)
	}
}

// Without memory for its spans a request is not traced: if its trace would have been retained
// it is counted as lost.
func TestRequestsWithoutMemoryAreCounted(t *testing.T) {
	recorder := newHarness(t, &fakeSink{}, Settings{UndecidedBytes: 2*reservedBytes + 10, RetryWindow: 1000})
	inFlight := recorder.Open(recorder.clock.Now(), Request{}, &partClass)
	recorder.Open(recorder.clock.Now(), Request{}, &partClass)
	for range 3 {
		untraced := recorder.play(playback{request: Request{Object: 8}, outcome: trace.Rejected, attempts: 2, duration: 5})
		if got := len(untraced.Spans); got > 1 {
			t.Errorf("%d spans without memory, want at most that of the request", got)
		}
	}
	inFlight.AttemptStarted(recorder.clock.Now(), routing.SendAttempt{Server: 1})
	inFlight.Responded(recorder.clock.Now(), trace.ClientDisconnected)
	inFlight.AttemptEnded(recorder.clock.Now(), routing.Canceled, 0, routing.LoadReport{}, trace.WireTimes{})
	recorder.Close(recorder.clock.Now(), inFlight)
	recorder.Shutdown()
	if got := recorder.counter(metricUntraced); got != 3 {
		t.Errorf("%d requests without memory are counted, want 3", got)
	}
	if got := recorder.sink.traces; len(got) != 1 || got[0].LostBefore != 3 {
		t.Errorf("retained %+v, want one trace that reports 3 lost before it", got)
	}
}

// A request whose client disconnected is not done while an attempt is in flight, but a retry of
// the client is recognized at once, with memory for its spans or without.
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
				t.Error("the request is done with an attempt in flight")
			}
			retry := recorder.correlator.Correlate(recorder.clock.Now(), propagation.Request{Class: partClass.Name, ClientAddress: client})
			if retry.ID != opened.ID {
				t.Errorf("a retry while an attempt is in flight has trace %v, want %v", retry.ID, opened.ID)
			}
			opened.AttemptEnded(recorder.clock.Now(), routing.Canceled, 0, routing.LoadReport{}, trace.WireTimes{})
			if !opened.Done() {
				t.Error("the request is not done after the end of its attempt")
			}
			recorder.Close(recorder.clock.Now(), opened)
			recorder.Shutdown()
			if got := len(recorder.sink.traces); got != test.wantRetained {
				t.Errorf("%d traces are retained, want %d", got, test.wantRetained)
			}
			if got := recorder.counter(metricUntraced); got != test.wantUntraced {
				t.Errorf("%d requests without memory are counted, want %d", got, test.wantUntraced)
			}
		})
	}
}

// All traces of a class that retains all are retained, and two requests with one idempotency
// key have one trace, which does not hold the key.
func TestIdempotentRequestsShareTheirRetainedTrace(t *testing.T) {
	const key = "secretkey"
	settings := Settings{Classes: map[string]sampling.Class{formClass.Name: {RetainAll: true}}}
	recorder := newHarness(t, &fakeSink{}, settings)
	for _, client := range []string{"1.1.1.1", "2.2.2.2"} {
		request := Request{IdempotencyKey: key, Object: 5, ReceivedAt: startTime, ClientAddress: client}
		recorder.play(playback{request: request, outcome: trace.Served, attempts: 1, duration: 1})
	}
	recorder.Shutdown()
	got := recorder.sink.traces
	if len(got) != 2 {
		t.Fatalf("%d traces are retained, want 2", len(got))
	}
	if got[0].ID != got[1].ID {
		t.Errorf("traces %v and %v, want one for one key", got[0].ID, got[1].ID)
	}
	if got[0].Reasons != trace.ReasonIdempotent {
		t.Errorf("retained for reasons %b, want %b", got[0].Reasons, trace.ReasonIdempotent)
	}
	if text := fmt.Sprintf("%+v %+v", *got[0], *got[1]); strings.Contains(text, key) {
		t.Errorf("the key is in a trace: %s", text)
	}
}

// A trace that its client samples is retained, until the settings say otherwise.
func TestNewSettingsApplyToNextRequest(t *testing.T) {
	sampled := Request{Object: 6, ReceivedAt: startTime, TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}
	classes := map[string]sampling.Class{formClass.Name: {RetainAll: true}} // which the new settings do not name
	recorder := newHarness(t, &fakeSink{}, Settings{RetainClientSampled: true, Classes: classes})
	recorder.play(playback{request: sampled, outcome: trace.Served, attempts: 1, duration: 1})
	recorder.UpdateSettings(Settings{UndecidedBytes: 1 << 20})
	recorder.play(playback{request: sampled, outcome: trace.Served, attempts: 1, duration: 1})
	recorder.Shutdown()
	got := recorder.sink.traces
	if len(got) != 1 {
		t.Fatalf("%d traces are retained, want that of the first request alone", len(got))
	}
	if got[0].Reasons != trace.ReasonClientSampled || got[0].ClientSpan == 0 {
		t.Errorf("retained for reasons %b under client span %v, want %b under the client's", got[0].Reasons, got[0].ClientSpan, trace.ReasonClientSampled)
	}
}
