package upstream

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// FuzzUpstream runs random operations and checks the guarantees of an Upstream. Each attempt
// completes exactly once, even after a cancel. No attempt is written to a closed connection. No id
// is in flight twice on one connection.
func FuzzUpstream(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 32, 300)
	f.Fuzz(func(t *testing.T, steps []byte) {
		harness := newHarness(t)
		for i := 0; i+1 < len(steps) && i < 2000; i += 2 {
			harness.runStep(steps[i]%9, int(steps[i+1]))
			harness.check()
		}
		harness.refuseDials = false
		harness.finishDial()
		for _, attempt := range harness.attempts {
			harness.cancel(attempt)
		}
		harness.check()
		for i, attempt := range harness.attempts {
			if got := harness.completions[attempt]; len(got) != 1 {
				t.Errorf("attempt %d has completions %v, want exactly one", i, got)
			}
		}
	})
}

// runStep performs one operation. The argument choice selects the variant of the operation.
func (h *harness) runStep(operation byte, choice int) {
	h.t.Helper()
	switch operation {
	case 0, 1, 2:
		if len(h.upstream.queued) < 64 {
			h.send(fmt.Sprintf("%016x", choice%8))
		}
	case 3:
		h.refuseDials = choice%3 == 0
		h.finishDial()
	case 4:
		if len(h.attempts) > 0 {
			h.cancel(h.attempts[choice%len(h.attempts)])
		}
	case 5, 6:
		if conn := h.anyConnection(choice); conn != nil {
			h.replyAtRandom(conn, choice)
		}
	case 7:
		if conn := h.anyConnection(choice); conn != nil {
			h.breakAtRandom(conn, choice)
		}
	case 8:
		h.clock.Advance(float64(choice * 100))
		h.upstream.closeIdle()
	}
}

// anyConnection returns the open connection that the argument choice selects, or nil if no
// connection is open.
func (h *harness) anyConnection(choice int) *connection {
	if len(h.upstream.connections) == 0 {
		return nil
	}
	return h.upstream.connections[choice%len(h.upstream.connections)]
}

func (h *harness) replyAtRandom(conn *connection, choice int) {
	h.t.Helper()
	id := fmt.Sprintf("%016x", choice/6%8)
	if conn.inFlight[id] != nil || conn.canceledIDs[id] {
		conn.text.NetConn.(*fakeConn).replies[id]++
	}
	status := []string{"DONE", "LACK", "WAIT", "BROKE", "KEEP", "??"}[choice%6]
	h.reply(conn, id, status)
}

func (h *harness) breakAtRandom(conn *connection, choice int) {
	h.t.Helper()
	if choice%2 == 0 {
		h.endConnection(conn, io.EOF)
	} else {
		conn.text.NetConn.(*fakeConn).failWrites = true
	}
}

// check checks the written commands, the open connections and the completions.
func (h *harness) check() {
	h.t.Helper()
	h.checkCommands()
	h.checkConnections()
	for attempt, results := range h.completions {
		if len(results) > 1 {
			h.t.Fatalf("attempt %s completed more than once: %v", attempt.Request.TransactionID, results)
		}
	}
}

// checkCommands checks that the written commands are complete. It also checks that an id is used
// again on a connection only after the reply to its earlier attempt has come.
func (h *harness) checkCommands() {
	h.t.Helper()
	for _, conn := range h.conns {
		served := map[string]int{}
		for _, command := range parseCommands(h.t, conn.written.Bytes()) {
			id := command[1]
			if command[0] == "serve" {
				served[id]++
			}
			if served[id] > 1+conn.replies[id] {
				h.t.Fatalf("attempt %s was written again on a connection where a late reply to its id may come", id)
			}
		}
	}
}

// checkConnections checks the attempts in flight on each connection and the count of open
// connections. It also checks that each connection that the Upstream has dropped is closed.
func (h *harness) checkConnections() {
	h.t.Helper()
	open := map[*fakeConn]bool{}
	for _, conn := range h.upstream.connections {
		open[conn.text.NetConn.(*fakeConn)] = true
		if len(conn.inFlight) > harnessMaxStreams {
			h.t.Fatalf("%d requests in flight on a connection, want at most %d", len(conn.inFlight), harnessMaxStreams)
		}
		for id, sent := range conn.inFlight {
			if len(h.completions[sent.attempt]) > 0 {
				h.t.Fatalf("attempt %s is in flight but already completed", id)
			}
		}
	}
	want := int64(len(h.upstream.connections))
	if h.upstream.dialing {
		want++
	}
	if got := h.upstream.openConnections.Load(); got != want || got > harnessMaxConnections {
		h.t.Fatalf("got a count of %d open connections, want %d and at most %d", got, want, harnessMaxConnections)
	}
	for i, conn := range h.conns {
		if !open[conn] && !conn.isClosed() {
			h.t.Fatalf("connection %d was dropped without being closed", i)
		}
	}
}

// TestQueuedAttemptChecksEndpointList checks that a queued attempt is not written if its cache or
// its fill source is no longer ready.
func TestQueuedAttemptChecksEndpointList(t *testing.T) {
	for _, excluded := range []routing.ServerID{1, 8} {
		harness := newHarness(t)
		attempt := harness.send("a")
		harness.guard = &routing.Guard{Ready: map[routing.ServerID]bool{9 - excluded: true}}
		harness.finishDial()
		written := harness.conns[0].written.String()
		if got := harness.completions[attempt]; len(got) != 1 || got[0] != routing.NotSent || written != "" {
			t.Errorf("server %d excluded: completed as %v after writing %q, want NotSent and nothing written", excluded, got, written)
		}
	}
}

// TestQueuedAttemptChecksPurges checks that a purge limits the age of an acceptable copy even if it
// is received while the attempt is queued.
func TestQueuedAttemptChecksPurges(t *testing.T) {
	harness := newHarness(t)
	harness.send("a")
	harness.clock.Advance(40)
	guard := *harness.guard
	guard.Purges = []routing.PurgeRecord{{Group: 3, At: clock.Duration(harness.clock.Now() - 25.5)}}
	harness.guard = &guard
	harness.finishDial()
	if got := harness.conns[0].written.String(); !strings.Contains(got, ",fresh=25\r\n") {
		t.Errorf("wrote %q, want fresh=25", got)
	}
}

// TestTraceFieldsOnlyWhenPropagated checks the command fields for traces. If the servers do not
// accept these fields, the commands of traced and untraced attempts have the same fields, byte for
// byte, and do not name retained traces. If the servers accept them, the fields contain the trace
// context. Each retained trace is then named once, with at most retainedTracesPerCommand traces in
// one command.
func TestTraceFieldsOnlyWhenPropagated(t *testing.T) {
	plain := "sort=part,asset=0000000000000007,slice=0,patience=2000,op=k,via=s-00000008,tier=2,opts=join"
	for _, traced := range []bool{false, true} {
		for _, fields := range tracedFields(t, traced, false) {
			if fields != plain {
				t.Errorf("got fields %q, want %q", fields, plain)
			}
		}
	}
	got := tracedFields(t, true, true)
	context := plain + ",trace=00-05000000000000000000000000000000-0000000000000006-01"
	slices.SortFunc(got, func(a, b string) int { return len(b) - len(a) })
	if len(got) != 3 || !strings.HasPrefix(got[0], context+",kept=0100") || strings.Count(got[0], "+") != retainedTracesPerCommand-1 ||
		!strings.HasPrefix(got[1], context+",kept=0500") || strings.Contains(got[1], "+") || got[2] != context {
		t.Errorf("got fields %q, want the trace context in each and each retained trace once", got)
	}
}

// tracedFields returns the fields of three commands. The argument traced tells whether their
// attempts are traced, and propagate tells whether the servers accept trace fields. One more trace
// is retained than fits into one command.
func tracedFields(t *testing.T, traced, propagate bool) []string {
	t.Helper()
	harness := newHarness(t)
	harness.upstream.PropagateTraces = propagate
	pool := &Pool{Options: harness.upstream.Options, upstreams: map[routing.ServerID]*Upstream{1: harness.upstream}}
	for i := range retainedTracesPerCommand + 1 {
		pool.TraceRetained(1, trace.ID{byte(i + 1)})
	}
	pool.TraceRetained(2, trace.ID{9}) // the pool has no server 2
	for _, id := range []string{"a", "b", "c"} {
		attempt := harness.newAttempt(id)
		attempt.Request.IdempotencyKey = "k"
		attempt.Decision.CopyRank = 2
		attempt.Decision.JoinFill = true
		if traced {
			attempt.Trace = &dispatch.AttemptTrace{Context: trace.SpanContext{Trace: trace.ID{5}, Span: 6, Sampled: true}}
		}
		harness.sendAttempt(attempt)
		harness.finishDial()
	}
	var out []string
	for _, conn := range harness.conns {
		for _, command := range parseCommands(t, conn.written.Bytes()) {
			out = append(out, command[2])
		}
	}
	return out
}

// TestAttemptRejectedBeforeWrite checks that an attempt is not written if the conditions change
// while it waits in the mailbox or for a connection. Its server may become excluded, its client may
// disconnect, or its send deadline or expiry may pass.
func TestAttemptRejectedBeforeWrite(t *testing.T) {
	for _, test := range []struct {
		want   *rejection
		change func(harness *harness, attempt *dispatch.Attempt)
	}{
		{rejectedExcluded, func(harness *harness, _ *dispatch.Attempt) { harness.guard = &routing.Guard{} }},
		{rejectedClientDisconnected, func(_ *harness, attempt *dispatch.Attempt) { disconnectClient(t, attempt) }},
		{rejectedSendWindowClosed, func(harness *harness, attempt *dispatch.Attempt) {
			attempt.SendDeadline = harness.clock.Now() + 30
			harness.clock.Advance(30)
		}},
		{rejectedExpired, func(harness *harness, _ *dispatch.Attempt) { harness.clock.Advance(harnessTimeout) }},
	} {
		t.Run(test.want.reason, func(t *testing.T) {
			harness := newHarness(t)
			first := harness.send("a") // the attempt waits for a dial
			test.change(harness, first)
			if got := harness.upstream.rejectBeforeWrite(first); got != test.want {
				t.Errorf("got rejection %+v, want the rejection of the test case", got)
			}
			harness.finishDial()
			second := harness.send("b") // the actor handles the message of attempt "b" when a connection exists
			test.change(harness, second)
			harness.upstream.sendQueued(t.Context())
			if got := harness.completions[first]; len(got) != 1 || got[0] != test.want.result || harness.conns[0].wrote("a") {
				t.Errorf("completed as %v after writing %q, want the result of the rejection and nothing written", got, harness.conns[0].written.String())
			}
		})
	}
}
