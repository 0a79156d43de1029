package serverspans

import (
	"testing"

	"garnetline/internal/trace"
)

const decisionTimeout = 1000.0 // ms

// noFill is passed for a server that did not fill.
const noFill trace.SpanID = 0

// serverTrace is a server's partial trace: its work, the fill that it began, and links to fills
// that it joined.
func serverTrace(id byte, work, fill trace.SpanID, joined ...trace.Link) *trace.Trace {
	t := &trace.Trace{
		ID:     trace.ID{id},
		Router: "s-00000005",
		Spans:  []trace.Span{{ID: work, Kind: trace.ServerWork}},
		Links:  joined,
	}
	if fill != noFill {
		t.Spans = append(t.Spans, trace.Span{ID: fill, Parent: work, Kind: trace.Fill})
	}
	return t
}

// add adds a partial trace, for which there is memory.
func add(t *testing.T, buffer *Buffer, now float64, added *trace.Trace, failed bool) {
	t.Helper()
	if evicted := buffer.Add(now, added, failed); len(evicted) != 0 {
		t.Fatalf("%d traces were evicted below the memory limit", len(evicted))
	}
}

// checkTraces compares traces that a buffer returned.
func checkTraces(t *testing.T, what string, got []*trace.Trace, want ...*trace.Trace) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: %d traces, want %d", what, len(got), len(want))
		return
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("%s: trace %d is %v of span %v, want %v of span %v", what, i, got[i].ID, got[i].Spans[0].ID, want[i].ID, want[i].Spans[0].ID)
		}
	}
}

// A decision retains its trace and the fill that it joined, which belongs to another trace that
// is not retained itself; both are returned once.
func TestDecisionRetainsJoinedFill(t *testing.T) {
	buffer := New(decisionTimeout, 1<<20)
	filling := serverTrace(1, 10, 11)
	joining := serverTrace(2, 20, noFill, trace.Link{From: 20, Trace: trace.ID{1}, To: 11})
	add(t, buffer, 0, filling, false)
	add(t, buffer, 1, joining, false)
	checkTraces(t, "the decision", buffer.Retain(trace.ID{2}), filling, joining)
	checkTraces(t, "the same decision again", buffer.Retain(trace.ID{2}))
	checkTraces(t, "a decision on the trace of the fill", buffer.Retain(trace.ID{1}))
	if got := buffer.Bytes(); got != 0 {
		t.Errorf("%d bytes are held in the end", got)
	}
}

// At the timeout what failed is retained without a decision, and all else is discarded.
func TestTimeoutRetainsFailedTraces(t *testing.T) {
	buffer := New(decisionTimeout, 1<<20)
	filling := serverTrace(1, 10, 11)
	joining := serverTrace(2, 20, noFill, trace.Link{From: 20, Trace: trace.ID{1}, To: 11})
	add(t, buffer, 0, filling, false)
	add(t, buffer, 1, joining, false)
	checkTraces(t, "a decision before the timeout", buffer.Retain(trace.ID{2}), filling, joining)
	failed := serverTrace(4, 40, noFill)
	add(t, buffer, 2, serverTrace(3, 30, noFill), false)
	add(t, buffer, 3, failed, true)
	checkTraces(t, "before the timeout", buffer.Tick(decisionTimeout+1))
	checkTraces(t, "at the timeout", buffer.Tick(decisionTimeout+3), failed)
	checkTraces(t, "a decision after the timeout", buffer.Retain(trace.ID{3}))
	if got := buffer.Bytes(); got != 0 {
		t.Errorf("%d bytes are held in the end", got)
	}
}
