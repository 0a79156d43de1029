package serverspans

import (
	"testing"

	"garnetline/internal/trace"
)

const decisionTimeout = 1000.0 // ms

// noFill is the fill argument of serverTrace for a server that began no fill.
const noFill trace.SpanID = 0

// serverTrace returns the partial trace of a server. It contains a ServerWork span with the ID
// work and links to the joined fills. Unless fill is noFill, it also contains the Fill span of a
// fill that the server began.
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

// add adds a partial trace and fails the test if the buffer evicts a partial trace.
func add(t *testing.T, buffer *Buffer, now float64, added *trace.Trace, failed bool) {
	t.Helper()
	if evicted := buffer.Add(now, added, failed); len(evicted) != 0 {
		t.Fatalf("Add evicted %d traces below the memory limit, want 0", len(evicted))
	}
}

// checkTraces compares the traces that a buffer returned with the expected traces. Both lists
// must contain the same pointers in the same order.
func checkTraces(t *testing.T, event string, got []*trace.Trace, want ...*trace.Trace) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: got %d traces, want %d", event, len(got), len(want))
		return
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("%s: trace at index %d: got %v with span %v, want %v with span %v", event, i, got[i].ID, got[i].Spans[0].ID, want[i].ID, want[i].Spans[0].ID)
		}
	}
}

// The router's decision to retain a trace also retains a fill that the trace joined. The fill
// belongs to another trace, for which no decision arrived. Each of the two partial traces is
// returned only once.
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
		t.Errorf("buffer holds %d bytes at the end, want 0", got)
	}
}

// At the timeout, partial traces that failed are retained without a decision. All other partial
// traces are discarded.
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
		t.Errorf("buffer holds %d bytes at the end, want 0", got)
	}
}
