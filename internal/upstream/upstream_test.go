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

// FuzzUpstream runs random operations and checks that each attempt completes exactly once, also
// after a cancel, that none is written to a closed connection, and that no id is in flight twice
// on one connection.
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

// runStep performs one operation; choice selects its variant.
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

// anyConnection returns the open connection that choice selects, or nil if none is open.
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

// checkCommands checks that the written commands are complete, and that an id is only reused on a
// connection after its reply has come.
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

// checkConnections checks the attempts in flight on each connection, the count of open
// connections, and that connections that are no longer used are closed.
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

// An attempt must not be written if its cache or its fill source left the ready servers while the
// attempt was queued.
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

// A purge that is received while an attempt is queued limits the age of an acceptable copy.
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

// If traces are not propagated, the command fields are byte for byte the same for traced and
// untraced attempts, whatever traces are retained. If they are, the fields contain the trace
// context, and each retained trace is named once, at most retainedTracesPerCommand per command.
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

// tracedFields returns the fields of three commands that are written, traced or not, while one
// more trace is retained than fits into one command.
func tracedFields(t *testing.T, traced, propagate bool) []string {
	t.Helper()
	harness := newHarness(t)
	harness.upstream.PropagateTraces = propagate
	pool := &Pool{Options: harness.upstream.Options, upstreams: map[routing.ServerID]*Upstream{1: harness.upstream}}
	for i := range retainedTracesPerCommand + 1 {
		pool.TraceRetained(1, trace.ID{byte(i + 1)})
	}
	pool.TraceRetained(2, trace.ID{9}) // not a server of the pool
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

// While an attempt waits in the mailbox or for a connection, its server may become excluded, its
// client may disconnect, or its send deadline or expiry may pass. It must then not be written.
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
			first := harness.send("a") // waits for a dial
			test.change(harness, first)
			if got := harness.upstream.rejectBeforeWrite(first); got != test.want {
				t.Errorf("got rejection %+v, want the case's rejection", got)
			}
			harness.finishDial()
			second := harness.send("b") // its message is handled when a connection exists
			test.change(harness, second)
			harness.upstream.sendQueued(t.Context())
			if got := harness.completions[first]; len(got) != 1 || got[0] != test.want.result || harness.conns[0].wrote("a") {
				t.Errorf("completed as %v after writing %q, want the rejection's result and nothing written", got, harness.conns[0].written.String())
			}
		})
	}
}
