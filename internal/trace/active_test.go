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

// sendAttempt records an attempt with the result Served. The start and the end are in Unix ms.
func sendAttempt(active *ActiveTrace, start, end float64, timing WireTimes) {
	active.AttemptStarted(start, routing.SendAttempt{Server: 5})
	active.AttemptEnded(end, routing.Served, 10, routing.LoadReport{}, timing)
}

// TestWaitSpanRequiresMinimumDuration checks which requests get a Wait span, and checks the
// times of the span.
func TestWaitSpanRequiresMinimumDuration(t *testing.T) {
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
				t.Fatalf("got %d wait spans, want %d: %+v", len(waits), test.want, waits)
			}
			if test.want == 0 {
				return
			}
			if wait := waits[0]; wait.Start != activeStart || wait.End != test.waitEnd {
				t.Errorf("got a wait span from %v to %v, want %v to %v", wait.Start, wait.End, activeStart, test.waitEnd)
			}
		})
	}
}

// TestConnectStartsWithinAttempt checks that a Connect span does not start before its attempt,
// even when the connection was requested for an earlier attempt.
func TestConnectStartsWithinAttempt(t *testing.T) {
	active := beginTrace()
	sendAttempt(active, activeStart+10, activeStart+30, WireTimes{DialedAt: activeStart + 2, ConnectedAt: activeStart + 12, WrittenAt: activeStart + 13})
	connects := spansOfKind(active, Connect)
	if len(connects) != 1 {
		t.Fatalf("got %d connect spans, want 1", len(connects))
	}
	attempt := spansOfKind(active, Attempt)[0]
	connect := connects[0]
	if connect.Parent != attempt.ID || connect.Start != attempt.Start || connect.End != activeStart+12 {
		t.Errorf("got connect span %+v, want parent %x and times from %v to %v", connect, attempt.ID, attempt.Start, activeStart+12)
	}
	if attempt.Flags&FlagSent == 0 {
		t.Errorf("got attempt flags %b, want FlagSent set", attempt.Flags)
	}
	if !math.IsNaN(float64(connect.Inflight)) {
		t.Errorf("got a load of %v in the connect span, want NaN", connect.Inflight)
	}
}

// TestDoneAfterResponseAndLastAttempt checks that a partial trace is not done while an attempt is
// in flight. The recording ends when the trace is done, so a trace that is done too early would
// lack the end of the attempt. The test also checks that the outcome does not change after the
// first response.
func TestDoneAfterResponseAndLastAttempt(t *testing.T) {
	active := beginTrace()
	active.AttemptStarted(activeStart+1, routing.SendAttempt{Server: 5})
	active.Responded(activeStart+2, ClientDisconnected)
	if active.Done() {
		t.Error("Done returned true while an attempt is in flight, want false")
	}
	active.AttemptEnded(activeStart+3, routing.Served, 10, routing.LoadReport{}, WireTimes{})
	active.Responded(activeStart+4, Served)
	if !active.Done() {
		t.Fatal("Done returned false after the response and the end of the last attempt, want true")
	}
	finished := active.Finished()
	if finished.Outcome != ClientDisconnected || finished.End != activeStart+2 {
		t.Errorf("got outcome %v at %v, want %v at %v", finished.Outcome, finished.End, ClientDisconnected, activeStart+2)
	}
	if request := finished.Spans[0]; request.Kind != Request || request.End != finished.End || Outcome(request.Result) != finished.Outcome {
		t.Errorf("got first span %+v, want the Request span with the trace's end and outcome", request)
	}
}

// TestUntracedAttemptsAreCounted checks the trace of a request for which no memory could be
// reserved. Its attempts are counted but get no spans.
func TestUntracedAttemptsAreCounted(t *testing.T) {
	active := beginTrace()
	active.UntracedAttemptStarted()
	active.Responded(activeStart+2, Served)
	if active.Done() {
		t.Error("Done returned true while an attempt is in flight, want false")
	}
	active.UntracedAttemptEnded()
	if !active.Done() {
		t.Error("Done returned false after the end of the attempt, want true")
	}
	if active.Attempts != 1 || len(active.Spans) != 1 {
		t.Errorf("got %d attempts and %d spans, want 1 attempt and only the Request span", active.Attempts, len(active.Spans))
	}
}
