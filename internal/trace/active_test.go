package trace

import (
	"math"
	"testing"

	"garnetline/routing"
)

const activeStart = 1000.0 // Unix ms

func beginTrace() *ActiveTrace {
	return Begin(Trace{ID: ID{5}, Start: activeStart}, 1)
}

// spansOfKind returns the spans of one kind in the order in which they were recorded.
func spansOfKind(active *ActiveTrace, kind Kind) []Span {
	var found []Span
	for _, span := range active.Spans {
		if span.Kind == kind {
			found = append(found, span)
		}
	}
	return found
}

// sendAttempt records an attempt that was served.
func sendAttempt(active *ActiveTrace, start, end float64, timing WireTimes) {
	active.AttemptStarted(start, routing.SendAttempt{Server: 5})
	active.AttemptEnded(end, routing.Served, 10, routing.LoadReport{}, timing)
}

func TestWaitIsRecordedFromThresholdOn(t *testing.T) {
	for _, test := range []struct {
		name    string
		record  func(active *ActiveTrace)
		want    int
		waitEnd float64
	}{
		{"shorter before an attempt", func(active *ActiveTrace) { sendAttempt(active, activeStart+0.1, activeStart+5, WireTimes{}) }, 0, 0},
		{"before an attempt", func(active *ActiveTrace) { sendAttempt(active, activeStart+1, activeStart+5, WireTimes{}) }, 1, activeStart + 1},
		{"before a failure", func(active *ActiveTrace) { active.Responded(activeStart+2, Rejected) }, 1, activeStart + 2},
		{"before a response without an attempt", func(active *ActiveTrace) { active.Responded(activeStart+2, NotModified) }, 0, 0},
		{"of an untraced request", func(active *ActiveTrace) {
			active.UntracedAttemptStarted()
			active.UntracedAttemptEnded()
			active.Responded(activeStart+2, Failed)
		}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			active := beginTrace()
			test.record(active)
			waits := spansOfKind(active, Wait)
			if len(waits) != test.want {
				t.Fatalf("%d wait spans, want %d: %+v", len(waits), test.want, waits)
			}
			if test.want == 0 {
				return
			}
			if wait := waits[0]; wait.Start != activeStart || wait.End != test.waitEnd {
				t.Errorf("the wait lasts from %v to %v, want %v to %v", wait.Start, wait.End, activeStart, test.waitEnd)
			}
		})
	}
}

// Guards against a connection that seems to be older than its attempt: it may have been
// requested for an earlier one.
func TestConnectStartsWithinAttempt(t *testing.T) {
	active := beginTrace()
	sendAttempt(active, activeStart+10, activeStart+30, WireTimes{DialedAt: activeStart + 2, ConnectedAt: activeStart + 12, WrittenAt: activeStart + 13})
	connects := spansOfKind(active, Connect)
	if len(connects) != 1 {
		t.Fatalf("%d connect spans, want 1", len(connects))
	}
	attempt := spansOfKind(active, Attempt)[0]
	connect := connects[0]
	if connect.Parent != attempt.ID || connect.Start != attempt.Start || connect.End != activeStart+12 {
		t.Errorf("connect is %+v, want it below %x from %v to %v", connect, attempt.ID, attempt.Start, activeStart+12)
	}
	if attempt.Flags&FlagSent == 0 {
		t.Errorf("the attempt's flags are %b, want FlagSent among them", attempt.Flags)
	}
	if !math.IsNaN(float64(connect.Inflight)) {
		t.Errorf("the connection has a load report, %v", connect.Inflight)
	}
}

// Guards against a partial trace that is stored while an attempt is in flight, and against an
// outcome that changes after the response.
func TestDoneAfterResponseAndLastAttempt(t *testing.T) {
	active := beginTrace()
	active.AttemptStarted(activeStart+1, routing.SendAttempt{Server: 5})
	active.Responded(activeStart+2, ClientDisconnected)
	if active.Done() {
		t.Error("done while an attempt is in flight")
	}
	active.AttemptEnded(activeStart+3, routing.Served, 10, routing.LoadReport{}, WireTimes{})
	active.Responded(activeStart+4, Served)
	if !active.Done() {
		t.Fatal("not done after the response and the end of the attempt")
	}
	finished := active.Finished()
	if finished.Outcome != ClientDisconnected || finished.End != activeStart+2 {
		t.Errorf("ended as %v at %v, want %v at %v", finished.Outcome, finished.End, ClientDisconnected, activeStart+2)
	}
	if request := finished.Spans[0]; request.Kind != Request || request.End != finished.End || Outcome(request.Result) != finished.Outcome {
		t.Errorf("the first span is %+v, want the request's with its end and outcome", request)
	}
}

// Guards against spans that are recorded for a request whose memory was not granted.
func TestUntracedAttemptsAreCounted(t *testing.T) {
	active := beginTrace()
	active.UntracedAttemptStarted()
	active.Responded(activeStart+2, Served)
	if active.Done() {
		t.Error("done while an attempt is in flight")
	}
	active.UntracedAttemptEnded()
	if !active.Done() {
		t.Error("not done after the end of the attempt")
	}
	if active.Attempts != 1 || len(active.Spans) != 1 {
		t.Errorf("%d attempts and %d spans, want 1 attempt and the request's span alone", active.Attempts, len(active.Spans))
	}
}
